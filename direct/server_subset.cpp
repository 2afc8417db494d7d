#include "direct/server_subset.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mimosacart {

const std::vector<const DiscoveredServer *> &
ServerSubset::preferred(const ServerRegistry &Registry,
                        const ServiceName &Service, std::size_t Hosts) {
  const auto &Usable = Registry.usable(Service);
  const std::size_t Size = subsetSize(Usable.size(), Hosts, Policy.MinServers);
  if (Usable.size() <= Size)
    return Usable;
  CachedSubset &Subset = Subsets[Service];
  const std::uint64_t Revision = Registry.revision(Service);
  if (Subset.Revision != Revision || Subset.Size != Size)
    Subset = {Revision, Size, selectServers(Usable, Size)};
  return Subset.Servers;
}

std::size_t ServerSubset::subsetSize(std::size_t Usable, std::size_t Hosts,
                                     std::size_t MinServers) const {
  return std::max(MinServers, Usable * Policy.HostsPerServer /
                                  std::max<std::size_t>(1, Hosts));
}

const std::vector<const DiscoveredServer *> &
ServerSubset::reused(Instant Now, const ServerRegistry &Registry,
                     const ServiceName &Service, std::size_t Hosts) {
  ServiceReuse &State = Reuse[Service];
  const auto &Usable = Registry.usable(Service);
  const std::size_t Size =
      subsetSize(Usable.size(), Hosts, updateMinServers(Now, State));
  const auto &Preferred = preferred(Registry, Service, Hosts);
  if (Preferred.size() <= Size)
    return Preferred;
  const std::int64_t Rotation =
      Now.time_since_epoch() / Policy.RotationInterval;
  const std::uint64_t Revision = Registry.revision(Service);
  if (State.Subset.Revision != Revision || State.Subset.Size != Size ||
      State.Rotation != Rotation) {
    State.Subset = {Revision, Size, selectServers(Usable, Size)};
    State.Rotation = Rotation;
    rotate(State.Subset.Servers, Usable, Rotation);
  }
  return State.Subset.Servers;
}

/// The number grows if the rate asks for half a step more, and falls if it asks
/// for a step and a half less, so that it does not flap.
std::size_t ServerSubset::updateMinServers(Instant Now,
                                           ServiceReuse &State) const {
  const std::optional<double> Rate = State.Rate.perSecond(Now);
  if (!Rate)
    return Policy.MinServers;
  if (State.MinServers == 0)
    State.MinServers = Policy.MinServers;
  const double Wanted = *Rate * toSeconds(Policy.ReuseInterval);
  const auto Step = static_cast<double>(Policy.SizeStep);
  const auto Current = static_cast<double>(State.MinServers);
  if (Wanted <= Current + Step / 2 && Wanted >= Current - 1.5 * Step)
    return State.MinServers;
  const double Limited =
      std::clamp(Wanted, static_cast<double>(Policy.MinReusedServers),
                 static_cast<double>(Policy.MinServers));
  State.MinServers =
      std::min(Policy.MinServers,
               static_cast<std::size_t>(std::ceil(Limited / Step) * Step));
  return State.MinServers;
}

void ServerSubset::rotate(std::vector<const DiscoveredServer *> &Servers,
                          const std::vector<const DiscoveredServer *> &Usable,
                          std::int64_t Rotation) const {
  const std::uint64_t Seed =
      stableHash(Host, static_cast<std::uint64_t>(Rotation));
  const DiscoveredServer *Added = nullptr;
  std::tuple<bool, std::uint64_t> AddedKey;
  for (const DiscoveredServer *Server : Usable) {
    if (std::find(Servers.begin(), Servers.end(), Server) != Servers.end())
      continue;
    const std::tuple Key(Server->DataCentre != DataCentre,
                         stableHash(Server->Id.value(), Seed));
    if (Added == nullptr || Key < AddedKey) {
      Added = Server;
      AddedKey = Key;
    }
  }
  if (Added != nullptr)
    Servers.back() = Added;
}

std::vector<const DiscoveredServer *>
ServerSubset::selectServers(const std::vector<const DiscoveredServer *> &Usable,
                            std::size_t Size) const {
  using Entry = std::tuple<bool, std::uint64_t, const DiscoveredServer *>;
  const std::uint64_t Seed = stableHash(Host);
  std::vector<Entry> Entries;
  Entries.reserve(Usable.size());
  for (const DiscoveredServer *Server : Usable)
    Entries.emplace_back(Server->DataCentre != DataCentre,
                         stableHash(Server->Id.value(), Seed), Server);
  const auto End = Entries.begin() + static_cast<std::ptrdiff_t>(Size);
  std::nth_element(Entries.begin(), End, Entries.end());
  std::vector<const DiscoveredServer *> Result;
  std::transform(Entries.begin(), End, std::back_inserter(Result),
                 [](const Entry &Selected) { return std::get<2>(Selected); });
  return Result;
}

} // namespace mimosacart
