#include "direct/server_subset.h"

#include "core/hash.h"

#include <algorithm>
#include <tuple>

namespace mimosacart {

const std::vector<const DiscoveredServer *> &
ServerSubset::preferred(const ServerRegistry &Registry,
                        const ServiceName &Service, std::size_t Hosts) {
  const auto &Usable = Registry.usable(Service);
  const std::size_t Size =
      std::max(Policy.MinServers, Usable.size() * Policy.HostsPerServer /
                                      std::max<std::size_t>(1, Hosts));
  if (Usable.size() <= Size)
    return Usable;
  CachedSubset &Subset = Subsets[Service];
  const std::uint64_t Revision = Registry.revision(Service);
  if (Subset.Revision != Revision || Subset.Size != Size)
    Subset = {Revision, Size, selectServers(Usable, Size)};
  return Subset.Servers;
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
