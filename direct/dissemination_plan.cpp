#include "direct/dissemination_plan.h"

#include "core/hash.h"

#include <map>
#include <tuple>

namespace mimosacart {

namespace {

/// Hosts that answer come first, then the order that all hosts agree on.
auto order(const MemberRecord &Peer) {
  return std::tuple(Peer.Status, stableHash(Peer.Host.value()));
}

} // namespace

DisseminationPlan::DisseminationPlan(const std::string &DataCentre,
                                     const std::vector<MemberRecord> &Peers) {
  const bool Direct = Peers.size() <= MaxDirectPeers;
  std::map<std::string, const MemberRecord *> Elsewhere;
  for (const MemberRecord &Peer : Peers) {
    if (Peer.DataCentre == DataCentre)
      Neighbours.push_back(Peer.PeerAddress);
    if (Direct || Peer.DataCentre == DataCentre) {
      Targets.push_back({Peer.PeerAddress, false});
      continue;
    }
    const MemberRecord *&First = Elsewhere[Peer.DataCentre];
    if (First == nullptr || order(Peer) < order(*First))
      First = &Peer;
  }
  for (const auto &[Name, First] : Elsewhere)
    Targets.push_back({First->PeerAddress, true});
}

} // namespace mimosacart
