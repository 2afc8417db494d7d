/// \file
/// Requests of RequestFlow that wait for a server, and the order among them.
#include "core/hash.h"
#include "direct/request_flow.h"

#include <algorithm>

namespace mimosacart {

void RequestFlow::waitForServer(Instant Now, FlowState &Flow,
                                Instant NextSendableAt, SendBlock Block) {
  if (!Flow.OpenCalls.empty()) {
    recordHedgeRefusal(Flow, HedgeRefusal::ServersShort);
    Flow.ChoosingServer = false;
    updateTimer(Flow);
    return;
  }
  if (NextSendableAt <= holdUntil(Policy, Flow)) {
    Flow.ChooseAgainAt = NextSendableAt;
    if (isShared(Flow))
      Shares.addWaiting(Now, Flow.Request);
    updateTimer(Flow);
    return;
  }
  Flow.ChoosingServer = false;
  const bool ComesLater = NextSendableAt != Instant::max();
  if (ComesLater)
    Flow.ServersBusyFor = NextSendableAt - Now;
  log("no_server_allowed", Flow,
      {{"why", toString(Block)},
       {"next_ms", ComesLater ? toMsText(NextSendableAt - Now) : "none"}});
  finishWithFailure(Now, Flow, RefusalReason::NoServer);
}

Instant RequestFlow::holdUntil(const FlowPolicy &Policy,
                               const FlowState &Flow) {
  return Flow.Request.Arrived +
         scaled(Flow.Request.Route.Objective, Policy.MaxHoldShare);
}

void RequestFlow::holdRequest(Instant Now, FlowState &Flow,
                              const RankedServer *Available) {
  const Instant HoldUntil = holdUntil(Policy, Flow);
  if (Now < HoldUntil && !waitsInVain(Now, Flow, HoldUntil)) {
    logHold(Flow, Available);
    waitUntil(Now, Flow, Now + Policy.HoldRecheckInterval);
    return;
  }
  // An answer after the objective is still useful before the deadline.
  if (Available != nullptr &&
      Now + Available->ExpectedLatency < Flow.Request.Deadline) {
    sendInTurn(Now, Flow, *Available);
    return;
  }
  Flow.ChoosingServer = false;
  finishWithFailure(Now, Flow, RefusalReason::Overloaded);
}

void RequestFlow::waitUntil(Instant Now, FlowState &Flow, Instant Next) {
  if (isShared(Flow))
    Shares.addWaiting(Now, Flow.Request);
  Flow.ProbedServers.clear();
  // Each recheck probes for one round.
  Flow.ProbeRounds = Policy.MaxProbeRounds - 1;
  Flow.ChooseAgainAt = Next;
  updateTimer(Flow);
}

void RequestFlow::logHold(FlowState &Flow, const RankedServer *Available) {
  if (Flow.WasHeld)
    return;
  Flow.WasHeld = true;
  ++Counters.Held;
  log("held", Flow,
      {{"best", Available ? Available->Server->Id.value() : "all_full"},
       {"expected_ms",
        Available ? toMsText(Available->ExpectedLatency) : "none"},
       {"figures_age_ms", Available && Available->LoadAge < Policy.ProbeTimeout
                              ? toMsText(Available->LoadAge)
                              : "none"},
       {"asked", std::to_string(Flow.ProbedServers.size())},
       {"until_ms", toMsText(holdUntil(Policy, Flow) - Flow.Request.Arrived)}});
}

bool RequestFlow::isShared(const FlowState &Flow) {
  return Flow.Request.ReplacesKey && Flow.Attempts == 0 &&
         Flow.OpenCalls.empty();
}

bool RequestFlow::waitsInVain(Instant Now, const FlowState &Flow,
                              Instant HoldUntil) {
  if (!isShared(Flow))
    return false;
  const Duration Expected = Shares.expectedWait(Now, Flow.Request);
  const Duration Left = HoldUntil - Now;
  if (Expected <= scaled(Left, Policy.WaitErrorFactor))
    return false;
  ++Counters.HoldsCutShort;
  log("hold_cut_short", Flow,
      {{"expected_ms",
        Expected == Duration::max() ? "none_sent" : toMsText(Expected)},
       {"left_ms", toMsText(Left)}});
  return true;
}

void RequestFlow::sendInTurn(Instant Now, FlowState &Flow,
                             const RankedServer &Target) {
  const auto First =
      isShared(Flow)
          ? Shares.findBefore(
                Flow.Request,
                [&](RequestId Id) { return canUse(Now, Flows.at(Id), Target); })
          : std::nullopt;
  if (!First) {
    sendCall(Now, Flow, Target);
    return;
  }
  FlowState &FirstFlow = Flows.at(*First);
  FirstFlow.ChooseAgainAt = Now;
  updateTimer(FirstFlow);
  const Instant HoldUntil = holdUntil(Policy, Flow);
  if (Now >= HoldUntil) {
    Flow.ChoosingServer = false;
    finishWithFailure(Now, Flow, RefusalReason::Overloaded);
    return;
  }
  if (!Flow.WasHeld) {
    ++Counters.Yielded;
    log("yielded", Flow, {{"to", FirstFlow.Request.Request->TraceId}});
  }
  logHold(Flow, &Target);
  waitUntil(Now, Flow, std::min(HoldUntil, Now + Policy.YieldInterval));
}

bool RequestFlow::canUse(Instant Now, const FlowState &Flow,
                         const RankedServer &Target) {
  if (!Flow.ChoosingServer)
    return false;
  Candidates Sendable;
  addSendable(Now, Flow, {Target.Server}, Sendable);
  if (Sendable.Servers.empty())
    return false;
  if (Target.HasFreshLoad && Target.IsNominal)
    return true;
  const bool HasCapacity =
      Flow.Request.isMostUrgent() ? Target.HasFreeSlot : Target.HasHeadroom;
  RankedServer Own = Target;
  Own.ExpectedLatency = scaled(findBaseline(Flow), Target.LatencyFactor);
  return HasCapacity && meetsObjective(Now, Flow, Own);
}

Duration RequestFlow::retryAfter(const FlowState &Flow, Duration Least) const {
  if (!Flow.Request.ReplacesKey)
    return Least;
  const double Excess =
      std::min(Shares.excessUse(Flow.Request), Policy.MaxRetryAfterFactor);
  constexpr double Steps = 1024;
  const std::uint64_t Hash = stableHash(std::to_string(Flow.Request.Id.value()),
                                        Flow.Request.Fingerprint);
  const double Jitter =
      static_cast<double>(Hash % static_cast<std::uint64_t>(Steps)) / Steps;
  return scaled(Least, Excess * (1 + Jitter));
}

} // namespace mimosacart
