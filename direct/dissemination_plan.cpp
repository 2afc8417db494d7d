#include "direct/dissemination_plan.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace mimosacart {

namespace {

/// Sort key for the choice of hosts that forward updates: hosts that answer
/// pings come first, then the order of a hash that is equal on every host.
auto relayOrder(const MemberRecord &Peer) {
  return std::tuple(Peer.Status, stableHash(Peer.Host.value()));
}

/// Addresses of \p Peers by data centre in the order of relayOrder(), each
/// once although a host that has restarted may be known under two names.
std::map<std::string, std::vector<std::string>>
groupByDataCentre(std::vector<MemberRecord> Peers) {
  std::sort(Peers.begin(), Peers.end(),
            [](const MemberRecord &Left, const MemberRecord &Right) {
              return relayOrder(Left) < relayOrder(Right);
            });
  std::map<std::string, std::vector<std::string>> Result;
  for (const MemberRecord &Peer : Peers) {
    std::vector<std::string> &Group = Result[Peer.DataCentre];
    if (std::find(Group.begin(), Group.end(), Peer.PeerAddress) == Group.end())
      Group.push_back(Peer.PeerAddress);
  }
  return Result;
}

} // namespace

std::vector<ForwardingTarget>
splitForwarding(const std::vector<std::string> &Addresses, std::size_t Groups) {
  std::vector<ForwardingTarget> Result;
  for (std::size_t Index = 0; Index < Addresses.size(); ++Index) {
    if (Index < Groups)
      Result.push_back({Addresses[Index], {}});
    else
      Result[Index % Groups].ForwardTo.push_back(Addresses[Index]);
  }
  return Result;
}

std::size_t smallUpdateGroups(std::size_t Hosts) {
  if (Hosts <= DisseminationPlan::MaxDirectPeers)
    return Hosts;
  return static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(Hosts))));
}

DisseminationPlan::DisseminationPlan(const std::string &DataCentre,
                                     const std::vector<MemberRecord> &Peers) {
  const bool Direct = Peers.size() <= MaxDirectPeers;
  for (auto &[PeerDataCentre, Group] : groupByDataCentre(Peers)) {
    const bool IsLocal = PeerDataCentre == DataCentre;
    if (Direct || IsLocal)
      for (const std::string &Address : Group)
        Targets.push_back({Address, false});
    else
      Targets.push_back({Group.front(), true});
    if (IsLocal)
      LocalPeers = std::move(Group);
    else
      RemotePeers.push_back(std::move(Group));
  }
}

std::vector<DisseminationTarget> DisseminationPlan::remoteTargets() const {
  std::vector<DisseminationTarget> Result = Targets;
  std::erase_if(Result, [this](const DisseminationTarget &Target) {
    return std::find(LocalPeers.begin(), LocalPeers.end(), Target.Address) !=
           LocalPeers.end();
  });
  return Result;
}

std::vector<ForwardingTarget> DisseminationPlan::forwardingTargets() const {
  std::vector<ForwardingTarget> Result =
      splitForwarding(LocalPeers, ForwardingFanOut);
  for (const std::vector<std::string> &Group : RemotePeers)
    Result.push_back({Group.front(), {Group.begin() + 1, Group.end()}});
  return Result;
}

} // namespace mimosacart
