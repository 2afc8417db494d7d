#include "core/ownership.h"

#include "core/hash.h"

#include <algorithm>
#include <map>

namespace mimosacart {

namespace {

/// Slots of the service that each host owns so far.
using OwnedSlots = std::map<HostName, unsigned>;

std::vector<const MemberRecord *>
candidatesFor(const BackendServer &Server,
              const std::vector<MemberRecord> &Hosts) {
  std::vector<const MemberRecord *> Near;
  std::vector<const MemberRecord *> All;
  for (const MemberRecord &Host : Hosts) {
    All.push_back(&Host);
    if (Host.DataCentre == Server.DataCentre)
      Near.push_back(&Host);
  }
  return Near.empty() ? All : Near;
}

const MemberRecord *choose(const BackendServer &Server,
                           const std::vector<const MemberRecord *> &Candidates,
                           const OwnedSlots &Owned) {
  const auto OwnedBy = [&Owned](const MemberRecord &Host) {
    const auto Found = Owned.find(Host.Host);
    return Found == Owned.end() ? 0U : Found->second;
  };
  const std::uint64_t ServerHash = stableHash(Server.Name.value());
  const auto Weight = [ServerHash](const MemberRecord &Host) {
    return stableHash(Host.Host.value(), ServerHash);
  };
  return *std::min_element(
      Candidates.begin(), Candidates.end(),
      [&](const MemberRecord *Left, const MemberRecord *Right) {
        if (OwnedBy(*Left) != OwnedBy(*Right))
          return OwnedBy(*Left) < OwnedBy(*Right);
        return Weight(*Left) > Weight(*Right);
      });
}

} // namespace

std::vector<HostName> assignOwners(const Service &Subject,
                                   const std::vector<MemberRecord> &Hosts) {
  std::vector<HostName> Owners;
  OwnedSlots Owned;
  for (const BackendServer &Server : Subject.Servers) {
    const auto Candidates = candidatesFor(Server, Hosts);
    if (Candidates.empty()) {
      Owners.emplace_back();
      continue;
    }
    const MemberRecord *Chosen = choose(Server, Candidates, Owned);
    Owned[Chosen->Host] += Server.Slots;
    Owners.push_back(Chosen->Host);
  }
  return Owners;
}

} // namespace mimosacart
