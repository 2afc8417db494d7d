#include "direct/dissemination_plan.h"

#include "core/hash.h"

#include <map>
#include <tuple>

namespace mimosacart {

namespace {

/// Sort key for the choice of a relay: hosts that answer pings come first, then
/// the order of a hash that is equal on every host.
auto relayOrder(const MemberRecord &Peer) {
  return std::tuple(Peer.Status, stableHash(Peer.Host.value()));
}

} // namespace

DisseminationPlan::DisseminationPlan(const std::string &DataCentre,
                                     const std::vector<MemberRecord> &Peers) {
  const bool Direct = Peers.size() <= MaxDirectPeers;
  std::map<std::string, const MemberRecord *> Relays;
  for (const MemberRecord &Peer : Peers) {
    if (Peer.DataCentre == DataCentre)
      LocalPeers.push_back(Peer.PeerAddress);
    if (Direct || Peer.DataCentre == DataCentre) {
      Targets.push_back({Peer.PeerAddress, false});
      continue;
    }
    const MemberRecord *&Relay = Relays[Peer.DataCentre];
    if (Relay == nullptr || relayOrder(Peer) < relayOrder(*Relay))
      Relay = &Peer;
  }
  for (const auto &[RelayDataCentre, Relay] : Relays)
    Targets.push_back({Relay->PeerAddress, true});
}

} // namespace mimosacart
