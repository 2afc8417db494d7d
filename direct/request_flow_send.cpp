/// \file
/// Calls of RequestFlow to servers: what may be sent, and the sending.
#include "direct/request_flow.h"

#include <algorithm>

namespace mimosacart {

void RequestFlow::sendCall(Instant Now, FlowState &Flow,
                           const RankedServer &Target) {
  Flow.ChoosingServer = false;
  Flow.ChooseAgainAt = Instant::max();
  // On a host with little processor time the event loop may be late, so that
  // requests would be sent to servers after their deadline.
  const Instant SendTime = std::max(Now, Callbacks.Clock());
  if (dropIfCallerGone(SendTime, Flow) || !admitCall(SendTime, Flow, Target))
    return;
  const Duration Remaining = Flow.Request.Deadline - SendTime;
  const DiscoveredServer Server = *Target.Server;
  const CallId Id(++LastCall);
  logSend(Now, Flow, Id, Target);
  const OpenCall Call = makeCall(Now, Flow, Target);
  Calls[Id] = Call;
  if (Flow.OpenCalls.empty())
    Flow.CallsOpenSince = Now;
  Flow.OpenCalls.insert(Id);
  Flow.TriedServers.insert(Server.Id);
  ++Flow.Attempts;
  ++Counters.Calls;
  ServerLoads.recordStart(Server.Id);
  Constraints.recordSend(Now, Server.Id);
  if (Flow.Request.ReplacesKey) {
    Shares.recordSend(Now, Flow.Request);
    Shares.removeWaiting(Now, Flow.Request);
  }
  scheduleHedge(Now, Flow, Call.ExpectedFactor);
  updateTimer(Flow);
  Callbacks.Call({Id, Server, Flow.Request.Request, Remaining,
                  Remaining + Policy.LateAnswerGrace, Flow.Request.Workspace,
                  Flow.Request.ReplacesKey});
}

bool RequestFlow::dropIfCallerGone(Instant Now, const FlowState &Flow) {
  if (!Callbacks.IsCallerGone(Flow.Request.Id))
    return false;
  ++Counters.SendsToGoneCallers;
  abandon(Now, Flow.Request.Id);
  return true;
}

bool RequestFlow::admitCall(Instant Now, FlowState &Flow,
                            const RankedServer &Target) {
  RefusalReason Reason = RefusalReason::None;
  if (Flow.Request.Deadline - Now < Policy.MinRemaining) {
    Reason = RefusalReason::DeadlinePassed;
    ++Counters.LateSends;
  } else if (isQuarantined(Flow)) {
    // Another host may have reported a crash while this request waited.
    Reason = RefusalReason::Quarantined;
  } else if (Flow.Attempts > 0 && !spendRetry(Now, Flow, Target)) {
    // A call that never reached a server does not count as an attempt.
    Reason = RefusalReason::Overloaded;
  }
  if (Reason == RefusalReason::None)
    return true;
  if (Flow.OpenCalls.empty())
    finishWithFailure(Now, Flow, Reason);
  else
    updateTimer(Flow);
  return false;
}

bool RequestFlow::spendRetry(Instant Now, FlowState &Flow,
                             const RankedServer &Target) {
  const ServiceName &Service = Flow.Request.Service.Name;
  const bool IsHedge = !Flow.OpenCalls.empty();
  // Since the hedge was due, probes have taken time.
  if (IsHedge && Hedging.isLimited() &&
      refuseHedge(Now, Flow, Target.ExpectedLatency))
    return false;
  if (!findBudget(Service).trySpend(Now, Callbacks.SharingHosts(),
                                    IsHedge ? Policy.HedgeBudgetShare
                                            : Policy.RetryBudgetShare)) {
    if (IsHedge)
      recordHedgeRefusal(Flow, HedgeRefusal::RetriesFirst);
    return false;
  }
  ++Counters.Retries;
  if (IsHedge) {
    ++Counters.HedgesSent;
    Hedging.countHedge(Now, Service);
  } else {
    Hedging.countRetryAfterFailure(Now, Service);
  }
  return true;
}

RequestFlow::OpenCall RequestFlow::makeCall(Instant Now, const FlowState &Flow,
                                            const RankedServer &Target) const {
  OpenCall Call{.Request = Flow.Request.Id,
                .Server = Target.Server->Id,
                .Address = Target.Server->Address,
                .Route = Flow.Request.Route.Name,
                .Fingerprint = Flow.Request.Fingerprint,
                .HealthPath = Flow.Request.Service.HealthPath,
                .Incarnation = Target.Server->Incarnation,
                .StartedAt = Now,
                .BaselineFactor = std::nullopt,
                .ExpectedFactor =
                    Target.HasRecentLoad ? Target.LatencyFactor : 1,
                .IsHedge = !Flow.OpenCalls.empty()};
  if (Target.HasFreshLoad && Target.IsNominal)
    Call.BaselineFactor = Target.LatencyFactor;
  return Call;
}

void RequestFlow::logSend(Instant Now, const FlowState &Flow, CallId Id,
                          const RankedServer &Target) const {
  const DiscoveredServer &Server = *Target.Server;
  const ServerLoadState *State = ServerLoads.find(Server.Id);
  std::string LoadAge = "none";
  std::string Slowness = "none";
  if (State && State->Load) {
    Slowness = std::to_string(State->Load->SlownessPercent);
    LoadAge = toMsText(Now - State->LoadUpdatedAt);
  }
  log("send", Flow,
      {{"call", std::to_string(Id.value())},
       {"server", Server.Id.value()},
       {"address", Server.Address},
       {"expected_ms", toMsText(Target.ExpectedLatency)},
       {"slowness", Slowness},
       {"figures_age_ms", LoadAge},
       {"candidates", std::to_string(Flow.ProbedServers.size())},
       {"remaining_ms", toMsText(Flow.Request.Deadline - Now)},
       {"sharing_hosts", std::to_string(Callbacks.SharingHosts())},
       {"why", Flow.Attempts == 0       ? "first"
               : Flow.OpenCalls.empty() ? "repeat"
                                        : "hedge"}});
}

} // namespace mimosacart
