/// \file
/// The planned stop of a Node.
#include "core/node.h"

namespace mimosacart {

namespace {

/// A handover that was not confirmed is sent again after this.
constexpr Duration HandoverInterval = std::chrono::milliseconds(500);

} // namespace

void Node::onStop(Instant At) {
  Now = At;
  if (StopStartedAt)
    return;
  StopStartedAt = Now;
  log("stop_started", {});
  Members.leave();
  updateOwnership();
}

std::optional<HostName> Node::chooseSuccessor() const {
  const std::vector<MemberRecord> Hosts = Members.working();
  const MemberRecord *Chosen = nullptr;
  for (const MemberRecord &Host : Hosts) {
    if (Host.Status != MemberStatus::Alive)
      continue;
    const bool Near = Host.DataCentre == Settings.Self.DataCentre;
    if (Chosen == nullptr || Near)
      Chosen = &Host;
  }
  if (Chosen == nullptr)
    return std::nullopt;
  return Chosen->Host;
}

/// A planned stop: serve until no caller can still hold an answer that names
/// this host, finish what is open, hand the claims over, then say goodbye.
void Node::advanceStop() {
  if (Done)
    return;
  const Duration Elapsed = Now - *StopStartedAt;
  const bool OutOfTime = Elapsed >= Settings.StopTimeout;
  const bool CallersGone = Elapsed >= Settings.EntriesLifetime;
  const bool Idle = CallerRequests.pending() == 0 &&
                    Requests.openRequests() == 0 && Local.runningCalls() == 0 &&
                    Local.queuedAttempts() == 0 && Results.unconfirmed() == 0;
  if (!OutOfTime && !(CallersGone && Idle))
    return;
  CallerRequests.seal();
  if (!HandoverTo || (HandoversOpen > 0 && Now >= NextHandoverTry)) {
    HandoverTo = chooseSuccessor();
    NextHandoverTry = Now + HandoverInterval;
    const std::vector<Handover> All = Claims.handovers(Now);
    HandoversOpen = HandoverTo ? All.size() : 0;
    for (const Handover &Part : All)
      if (HandoverTo)
        sendTo(*HandoverTo, Part);
  }
  if (HandoversOpen > 0 && !OutOfTime)
    return;
  Done = true;
  const bool Handed = HandoverTo && HandoversOpen == 0;
  log("stop_finished", {{"successor", Handed ? HandoverTo->value() : ""}});
  Members.markLeft(Handed ? *HandoverTo : HostName());
  act(Stopped{});
}

} // namespace mimosacart
