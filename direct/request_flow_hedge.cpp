/// \file
/// Hedges of RequestFlow.
#include "direct/request_flow.h"

#include <algorithm>
#include <utility>

namespace mimosacart {

void RequestFlow::scheduleHedge(Instant Now, FlowState &Flow, double Factor) {
  const HostRoute &Route = Flow.Request.Route;
  Flow.HedgeAt = Instant::max();
  if (!Route.Idempotent || Flow.Hedged || Flow.Attempts >= Route.MaxAttempts ||
      Hedging.isOff())
    return;
  const Duration Baseline = findBaseline(Flow);
  Duration Delay = scaled(Baseline, Policy.HedgeDelayFactor);
  if (Hedging.isLimited())
    Delay = Hedging.findDelay(Now, Route.Name, Factor).value_or(Delay);
  const Instant Latest = Flow.Request.Arrived + Route.Objective -
                         scaled(Baseline, Policy.HedgeHeadroomFactor);
  const Instant Earliest = Now + scaled(Baseline, Policy.MinHedgeDelayFactor);
  Flow.HedgeAt = std::max(Earliest, std::min(Latest, Now + Delay));
}

void RequestFlow::startHedge(Instant Now, FlowState &Flow) {
  Flow.HedgeAt = Instant::max();
  Flow.Hedged = true;
  if (refuseHedge(Now, Flow, findBaseline(Flow))) {
    updateTimer(Flow);
    return;
  }
  ++Counters.Hedges;
  Flow.ProbeRounds = 0;
  Flow.ProbedServers.clear();
  chooseServer(Now, Flow);
}

bool RequestFlow::hasWaiting(const ServiceName &Service) const {
  if (Shares.hasWaiting(Service))
    return true;
  return std::any_of(Flows.begin(), Flows.end(), [&Service](const auto &Entry) {
    const FlowState &Flow = Entry.second;
    return Flow.WasHeld && Flow.ChoosingServer && Flow.OpenCalls.empty() &&
           Flow.Request.Service.Name == Service;
  });
}

bool RequestFlow::refuseHedge(Instant Now, const FlowState &Flow,
                              Duration ExpectedLatency) {
  const ServiceName &Service = Flow.Request.Service.Name;
  const RetryBudget &Budget = findBudget(Service);
  const std::size_t Hosts = Callbacks.SharingHosts();
  HedgeRefusal Refusal =
      Budget.remaining(Now, Hosts, Policy.HedgeBudgetShare) < 1
          ? HedgeRefusal::RetriesFirst
          : HedgeRefusal::None;
  if (Hedging.isLimited() && Refusal == HedgeRefusal::None)
    Refusal = Hedging.findRefusal(
        Now, Service,
        {hasWaiting(Service), Flow.Request.Deadline - Now, ExpectedLatency,
         Budget.remaining(Now, Hosts, Policy.RetryBudgetShare)});
  if (Refusal == HedgeRefusal::None)
    return false;
  recordHedgeRefusal(Flow, Refusal);
  return true;
}

void RequestFlow::recordHedgeRefusal(const FlowState &Flow,
                                     HedgeRefusal Refusal) {
  ++Counters.HedgesRefused.at(static_cast<std::size_t>(Refusal));
  if (Hedging.isLimited())
    log("hedge_refused", Flow, {{"why", toString(Refusal)}});
}

void RequestFlow::onHedgeDecided(Instant Now, FlowState &Flow,
                                 const OpenCall &Winner) {
  if (Winner.IsHedge)
    ++Counters.HedgesWon;
  if (!Flow.Request.Route.Idempotent)
    return;
  for (const CallId Slower : Flow.OpenCalls) {
    const OpenCall &Call = Calls.at(Slower);
    ServerLoads.recordFailure(Now, Call.Server, Policy.SlowerCallFailureWeight);
  }
  if (!Hedging.isLimited() || Flow.OpenCalls.empty())
    return;
  Flow.TimeWithServers += Now - Flow.CallsOpenSince;
  for (const CallId Slower : std::exchange(Flow.OpenCalls, {})) {
    const OpenCall &Call = Calls.at(Slower);
    // Without the time so far, only fast calls would be learnt.
    Hedging.recordLatency(Now, Call.Route, Now - Call.StartedAt,
                          Call.ExpectedFactor);
    cancelCall(Now, Slower);
  }
}

} // namespace mimosacart
