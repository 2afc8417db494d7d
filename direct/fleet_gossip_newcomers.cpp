/// \file
/// What FleetGossip sends to hosts that it has just learned of.
#include "direct/fleet_gossip.h"

#include <algorithm>
#include <utility>

namespace mimosacart {

namespace {

/// Largest number of members that are sent to a host that was unknown here.
constexpr std::size_t MaxInitialMembers = 24;
/// Largest number of members out of reach that are sent to it as well.
constexpr std::size_t MaxInitialUnreachable = 200;

} // namespace

/// Returns the hosts that this one cannot reach, but that may be at work.
std::vector<MemberRecord>
FleetGossip::unreachableHosts(const MemberRecord &Newcomer) const {
  std::vector<MemberRecord> Result = Size.unreachableHosts(Now, PeerAddresses);
  std::erase_if(Result, [&Newcomer](const MemberRecord &Member) {
    return Member.PeerAddress == Newcomer.PeerAddress;
  });
  Result.resize(std::min(Result.size(), MaxInitialUnreachable));
  return Result;
}

void FleetGossip::sendUnreachableHosts(const MemberRecord &Newcomer) {
  SoftState Unreachable;
  Unreachable.Members = unreachableHosts(Newcomer);
  if (!Unreachable.Members.empty())
    send(Newcomer.PeerAddress, std::move(Unreachable));
}

void FleetGossip::sendInitialView(const MemberRecord &Newcomer) {
  SoftState InitialView;
  InitialView.Members = Members.reachablePeers();
  InitialView.Members.push_back(Members.self());
  std::erase_if(InitialView.Members, [&Newcomer](const MemberRecord &Member) {
    return Member.Host == Newcomer.Host;
  });
  // Each newcomer gets a different selection, so that newcomers contact
  // different hosts next.
  std::shuffle(InitialView.Members.begin(), InitialView.Members.end(), Random);
  if (InitialView.Members.size() > MaxInitialMembers)
    InitialView.Members.resize(MaxInitialMembers);
  for (MemberRecord &Member : unreachableHosts(Newcomer))
    InitialView.Members.push_back(std::move(Member));
  InitialView.Crashes = Notices.crashes(Now);
  send(Newcomer.PeerAddress, std::move(InitialView));
}

} // namespace mimosacart
