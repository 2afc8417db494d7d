/// \file
/// The planned stop of a Node.
#include "core/node.h"

namespace mimosacart {

namespace {

/// Time after which an unconfirmed handover is sent again.
constexpr Duration HandoverRetryInterval = std::chrono::milliseconds(500);

} // namespace

void Node::onStop(Instant EventTime) {
  Now = EventTime;
  if (StopStartedAt)
    return;
  StopStartedAt = Now;
  log("stop_started", {});
  Members.leave();
  updateOwnership();
}

std::optional<HostName> Node::chooseSuccessor() const {
  const std::vector<MemberRecord> Hosts = Members.working();
  const MemberRecord *Successor = nullptr;
  for (const MemberRecord &Host : Hosts) {
    if (Host.Status != MemberStatus::Alive)
      continue;
    const bool SameDataCentre = Host.DataCentre == Settings.Self.DataCentre;
    if (Successor == nullptr || SameDataCentre)
      Successor = &Host;
  }
  if (Successor == nullptr)
    return std::nullopt;
  return Successor->Host;
}

/// Advances a planned stop. The host serves until no caller's cached list can
/// still name it, completes open work, hands over its claims and then marks
/// itself as left.
void Node::advanceStop() {
  if (StopComplete)
    return;
  const Duration Elapsed = Now - *StopStartedAt;
  const bool OutOfTime = Elapsed >= Settings.StopTimeout;
  const bool CallerListsExpired = Elapsed >= Settings.EntriesLifetime;
  const bool Idle =
      CallerRequests.pending() == 0 && RequestDispatcher.openRequests() == 0 &&
      LocalScheduler.runningCalls() == 0 &&
      LocalScheduler.queuedAttempts() == 0 && ResultDelivery.unconfirmed() == 0;
  if (!OutOfTime && !(CallerListsExpired && Idle))
    return;
  CallerRequests.stopGrantingClaims();
  if (!HandoverTarget || (PendingHandovers > 0 && Now >= NextHandoverAt)) {
    HandoverTarget = chooseSuccessor();
    NextHandoverAt = Now + HandoverRetryInterval;
    const std::vector<Handover> Parts = Claims.handovers(Now);
    PendingHandovers = HandoverTarget ? Parts.size() : 0;
    for (const Handover &Part : Parts)
      if (HandoverTarget)
        sendTo(*HandoverTarget, Part);
  }
  if (PendingHandovers > 0 && !OutOfTime)
    return;
  StopComplete = true;
  const bool HandedOver = HandoverTarget && PendingHandovers == 0;
  log("stop_finished",
      {{"successor", HandedOver ? HandoverTarget->value() : ""}});
  Members.markLeft(HandedOver ? *HandoverTarget : HostName());
  addAction(Stopped{});
}

} // namespace mimosacart
