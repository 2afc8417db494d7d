#include "core/ownership.h"

#include "core/hash.h"

#include <algorithm>
#include <map>

namespace mimosacart {

namespace {

/// Number of slots of the service that each host owns so far.
using OwnedSlots = std::map<HostName, unsigned>;

std::vector<const MemberRecord *>
candidatesFor(const BackendServer &Server,
              const std::vector<MemberRecord> &Hosts) {
  std::vector<const MemberRecord *> SameDataCentre;
  std::vector<const MemberRecord *> All;
  for (const MemberRecord &Host : Hosts) {
    All.push_back(&Host);
    if (Host.DataCentre == Server.DataCentre)
      SameDataCentre.push_back(&Host);
  }
  return SameDataCentre.empty() ? All : SameDataCentre;
}

const MemberRecord *
chooseOwner(const BackendServer &Server,
            const std::vector<const MemberRecord *> &Candidates,
            const OwnedSlots &SlotsByHost) {
  const auto OwnedSlotsOf = [&SlotsByHost](const MemberRecord &Host) {
    const auto Found = SlotsByHost.find(Host.Host);
    return Found == SlotsByHost.end() ? 0U : Found->second;
  };
  const std::uint64_t ServerHash = stableHash(Server.Name.value());
  const auto RendezvousHash = [ServerHash](const MemberRecord &Host) {
    return stableHash(Host.Host.value(), ServerHash);
  };
  return *std::min_element(
      Candidates.begin(), Candidates.end(),
      [&](const MemberRecord *Left, const MemberRecord *Right) {
        if (OwnedSlotsOf(*Left) != OwnedSlotsOf(*Right))
          return OwnedSlotsOf(*Left) < OwnedSlotsOf(*Right);
        return RendezvousHash(*Left) > RendezvousHash(*Right);
      });
}

} // namespace

std::vector<HostName> assignOwners(const Service &ServiceConfig,
                                   const std::vector<MemberRecord> &Hosts) {
  std::vector<HostName> Owners;
  OwnedSlots SlotsByHost;
  for (const BackendServer &Server : ServiceConfig.Servers) {
    const auto Candidates = candidatesFor(Server, Hosts);
    if (Candidates.empty()) {
      Owners.emplace_back();
      continue;
    }
    const MemberRecord *Chosen = chooseOwner(Server, Candidates, SlotsByHost);
    SlotsByHost[Chosen->Host] += Server.Slots;
    Owners.push_back(Chosen->Host);
  }
  return Owners;
}

} // namespace mimosacart
