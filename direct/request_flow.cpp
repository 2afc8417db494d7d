#include "direct/request_flow.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusMisdirected = 421;

/// Whether a caller may take \p Status from an entry host as proof that the
/// request did not run.
bool impliesNotRun(unsigned Status) {
  return Status == StatusTooManyRequests || Status == StatusUnavailable ||
         Status == StatusRequestTimeout || Status == StatusMisdirected;
}

/// Returns how a call without an answer ended, as named in logs.
const char *describeLoss(CallEnd End) {
  if (End == CallEnd::TimedOut)
    return "timeout";
  return End == CallEnd::NotSent ? "not_sent" : "broken";
}

} // namespace

RequestFlow::RequestFlow(FlowPolicy Policy, RetryLimits Limits,
                         ServerRanking Ranking, ServerSubset Subset,
                         ServerRegistry &Registry, ServerLoadTable &ServerLoads,
                         Instant Start, Hooks Callbacks)
    : Policy(Policy), Limits(Limits), Start(Start),
      Callbacks(std::move(Callbacks)), Ranking(std::move(Ranking)),
      Subset(std::move(Subset)), Registry(Registry), ServerLoads(ServerLoads),
      Hedging(Policy.HedgeShare), Crashes(this->Callbacks.CrashSeen),
      Constraints(this->Callbacks.Position, Policy.ColdServers) {}

void RequestFlow::start(Instant Now, FlowRequest Request) {
  const RequestId Id = Request.Id;
  findBudget(Request.Service.Name).countRequest(Now);
  Hedging.countRequest(Now, Request.Service.Name);
  Subset.countRequest(Now, Request.Service.Name);
  FlowState &Flow = Flows[Id];
  Flow.Request = std::move(Request);
  if (isQuarantined(Flow)) {
    Callbacks.QuarantinedAgain(Now, Flow.Request.Fingerprint);
    finishWithFailure(Now, Flow, RefusalReason::Quarantined);
    return;
  }
  chooseServer(Now, Flow);
}

Duration RequestFlow::findBaseline(const FlowState &Flow) const {
  return Latencies.baseline(Flow.Request.Route.Name,
                            Flow.Request.Route.Objective);
}

RetryBudget &RequestFlow::findBudget(const ServiceName &Service) {
  return Budgets.try_emplace(Service, Limits, Start).first->second;
}

std::vector<RetryBudgetState> RequestFlow::retryBudgets(Instant Now) const {
  std::vector<RetryBudgetState> Result;
  for (const auto &[Service, Budget] : Budgets)
    Result.push_back({Service, Budget.used(Now),
                      Budget.allowed(Now, Callbacks.SharingHosts())});
  return Result;
}

void RequestFlow::onCallResult(Instant Now, CallId Id,
                               const ServerCallResult &Result) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  const OpenCall Call = Found->second;
  Calls.erase(Found);
  recordResult(Now, Call, Result);
  const auto FoundFlow = Flows.find(Call.Request);
  if (FoundFlow == Flows.end()) {
    if (Result.End != CallEnd::Answered)
      logLateLoss(Now, Call, Result.End);
    return;
  }
  FlowState &Flow = FoundFlow->second;
  Flow.OpenCalls.erase(Id);
  if (Flow.OpenCalls.empty())
    Flow.TimeWithServers += Now - Flow.CallsOpenSince;
  if (Result.End == CallEnd::Answered)
    onAnswer(Now, Flow, Call, Result.Answer);
  else
    onCallFailed(Now, Flow, Call, Result.End);
}

void RequestFlow::recordResult(Instant Now, const OpenCall &Call,
                               const ServerCallResult &Result) {
  ServerLoads.recordEnd(Call.Server);
  if (Result.End != CallEnd::Answered) {
    ServerLoads.recordFailure(Now, Call.Server, 1);
    if (Result.End == CallEnd::NotSent)
      Crashes.onSilent(Now, Call.Server);
    else
      checkForCrash(Now, Call);
    return;
  }
  if (Result.Answer.WrongServer)
    Crashes.onSilent(Now, Call.Server);
  else
    Crashes.onAnswered(Call.Server);
  const ServerAnswer &Answer = Result.Answer;
  if (!Answer.WrongServer) {
    ServerLoads.recordLoad(Now, Call.Server, Answer.Load);
    const bool Proper = isSuccess(Answer.Reply->Status) && Answer.Signed;
    if (Proper && !Answer.NotRun)
      recordServed(Now, Call.Fingerprint);
    recordWishes(Now, Call.Server, Call.Incarnation, Answer.Wishes, Proper);
  }
  if (Answer.WrongServer)
    ServerLoads.recordFailure(Now, Call.Server,
                              Policy.WrongServerFailureWeight);
  else if (Answer.NotRun)
    ServerLoads.recordFailure(Now, Call.Server, Policy.NotRunFailureWeight);
  else if (Answer.Reply->Status >= StatusServerError)
    ServerLoads.recordFailure(Now, Call.Server, 1);
  else
    recordLatency(Now, Call, Answer);
}

/// Updates the route's latencies; its baseline only if the server did not slow
/// down during the call.
void RequestFlow::recordLatency(Instant Now, const OpenCall &Call,
                                const ServerAnswer &Answer) {
  Hedging.recordLatency(Now, Call.Route, Now - Call.StartedAt,
                        Call.ExpectedFactor);
  const bool Slowed =
      Answer.Load && Answer.Load->SlownessPercent > NominalSlownessPercent;
  if (Call.BaselineFactor && !Slowed)
    Latencies.record(Call.Route, Now - Call.StartedAt, *Call.BaselineFactor);
}

void RequestFlow::onAnswer(Instant Now, FlowState &Flow, const OpenCall &Call,
                           const ServerAnswer &Answer) {
  const unsigned Status = Answer.Reply->Status;
  log("server_answer", Flow,
      {{"server", Call.Server.value()},
       {"status", std::to_string(Status)},
       {"ran", Answer.NotRun || Answer.WrongServer ? "no" : "yes"},
       {"connection", std::to_string(Answer.Use.Connection)},
       {"earlier_calls", std::to_string(Answer.Use.EarlierCalls)},
       {"took_ms", toMsText(Now - Call.StartedAt)}});
  if (Answer.NotRun || Answer.WrongServer) {
    Flow.LastFailureReason = RefusalReason::ServerRefused;
    retryOrFinish(Now, Flow);
    return;
  }
  Flow.MayHaveRun = true;
  if (isSuccess(Status) && Answer.Signed) {
    onHedgeDecided(Now, Flow, Call);
    finish(Now, Flow, Answer.Reply, Call.Server, {});
    return;
  }
  Flow.LastFailureReason = RefusalReason::ServerBroke;
  // An unsigned success did not come from the server. A status that implies
  // "not run" must not be forwarded, since the request has run.
  const bool CanForward = !isSuccess(Status) && !impliesNotRun(Status);
  if (CanForward) {
    Flow.ErrorAnswer = Answer.Reply;
    Flow.ErrorServer = Call.Server;
  }
  if (CanForward && Status < StatusServerError) {
    finish(Now, Flow, Answer.Reply, Call.Server, {});
    return;
  }
  retryOrFinish(Now, Flow);
}

void RequestFlow::onCallFailed(Instant Now, FlowState &Flow,
                               const OpenCall &Call, CallEnd End) {
  const bool Sent = End != CallEnd::NotSent;
  log("server_lost", Flow,
      {{"server", Call.Server.value()},
       {"ran", Sent ? "unknown" : "no"},
       {"how", describeLoss(End)},
       {"took_ms", toMsText(Now - Call.StartedAt)}});
  if (Sent) {
    Flow.MayHaveRun = true;
    Flow.LastFailureReason = End == CallEnd::TimedOut
                                 ? RefusalReason::ServerTimeout
                                 : RefusalReason::ServerBroke;
  } else {
    --Flow.Attempts;
    Flow.LastFailureReason = RefusalReason::ServerUnreachable;
  }
  retryOrFinish(Now, Flow);
}

bool RequestFlow::canRetry(Instant Now, const FlowState &Flow) {
  const HostRoute &Route = Flow.Request.Route;
  if (Flow.MayHaveRun && !Route.Idempotent)
    return false;
  if (Flow.Attempts >= Route.MaxAttempts)
    return false;
  if (Flow.Request.Deadline - Now < Policy.MinRemaining)
    return false;
  if (isQuarantined(Flow))
    return false;
  return Flow.Attempts == 0 || findBudget(Flow.Request.Service.Name)
                                       .remaining(Now, Callbacks.SharingHosts(),
                                                  Policy.RetryBudgetShare) >= 1;
}

void RequestFlow::retryOrFinish(Instant Now, FlowState &Flow) {
  if (Flow.ChoosingServer)
    return;
  if (!Flow.OpenCalls.empty()) {
    updateTimer(Flow);
    return;
  }
  if (!canRetry(Now, Flow)) {
    finishWithFailure(Now, Flow, Flow.LastFailureReason);
    return;
  }
  Flow.ProbeRounds = 0;
  Flow.ProbedServers.clear();
  chooseServer(Now, Flow);
}

Refusal RequestFlow::makeRefusal(const FlowState &Flow,
                                 RefusalReason Reason) const {
  const bool MayHaveRun = Flow.MayHaveRun || !Flow.OpenCalls.empty();
  if (MayHaveRun)
    return {RefusalOutcome::Unknown, Reason, Duration::zero()};
  const Duration RetryAfter = Reason == RefusalReason::ServerRefused
                                  ? Policy.RetryAfterServerRefusal
                                  : retryAfter(Flow, Policy.RetryAfterOverload);
  return {RefusalOutcome::NotRun, Reason,
          std::clamp(Flow.ServersBusyFor, RetryAfter, Policy.MaxRetryAfter)};
}

void RequestFlow::finishWithFailure(Instant Now, FlowState &Flow,
                                    RefusalReason Reason) {
  if (Flow.ErrorAnswer) {
    finish(Now, Flow, Flow.ErrorAnswer, Flow.ErrorServer, {});
    return;
  }
  finish(Now, Flow, nullptr, {}, makeRefusal(Flow, Reason));
}

void RequestFlow::finish(Instant Now, FlowState &Flow, AnswerPtr Reply,
                         const ServerName &Server, Refusal Refused) {
  const RequestId Id = Flow.Request.Id;
  if (!Flow.OpenCalls.empty())
    Flow.TimeWithServers += Now - Flow.CallsOpenSince;
  const Duration Total = Now - Flow.Request.Arrived;
  FlowResult Result{Id,
                    std::move(Reply),
                    Refused,
                    Flow.Request.Route.Name,
                    Flow.Request.Service.Name,
                    Server,
                    Flow.Attempts,
                    Total,
                    Total - Flow.TimeWithServers};
  log("reply", Flow,
      {{"server", Server.value()},
       {"status", Result.Reply ? std::to_string(Result.Reply->Status) : "none"},
       {"outcome", Result.Reply ? "answered" : toString(Refused.Outcome)},
       {"reason", toString(Refused.Reason)},
       {"arrivals", std::to_string(Flow.Attempts)},
       {"total_ms", toMsText(Result.Total)},
       {"added_us", std::to_string(Result.Added.count())}});
  Shares.removeWaiting(Now, Flow.Request);
  Timers.erase({Flow.WakeAt, Id});
  Flows.erase(Id);
  Callbacks.Finished(Result);
}

void RequestFlow::abandon(Instant Now, RequestId Id) {
  const auto Found = Flows.find(Id);
  if (Found == Flows.end())
    return;
  FlowState &Flow = Found->second;
  log("caller_gone", Flow,
      {{"open_calls", std::to_string(Flow.OpenCalls.size())},
       {"after_ms", toMsText(Now - Flow.Request.Arrived)}});
  if (Flow.Request.Route.Idempotent)
    for (const CallId Call : Flow.OpenCalls)
      cancelCall(Now, Call);
  Shares.removeWaiting(Now, Flow.Request);
  Timers.erase({Flow.WakeAt, Id});
  Flows.erase(Found);
}

void RequestFlow::onServerChanged(Instant Now, const DiscoveredServer &Server,
                                  ServerChange Change) {
  if (Change != ServerChange::Removed && Change != ServerChange::RemovalPending)
    recordWarmUp(Now, Server, Server.WarmUpLeft, "entry");
  if (Change != ServerChange::Restarted && Change != ServerChange::Removed)
    return;
  Constraints.forget(Server.Id);
  const bool Planned = Change == ServerChange::Removed && Server.Draining;
  if (!Planned)
    Crashes.onEnded(Now, Server.Id);
}

void RequestFlow::cancelCall(Instant Now, CallId Id) {
  const OpenCall &Call = Calls.at(Id);
  ServerLoads.recordEnd(Call.Server);
  Crashes.addSuspect(
      {Call.Fingerprint, Call.Server, Call.Address, Call.StartedAt, Now});
  Calls.erase(Id);
  Callbacks.Cancel(Id);
}

void RequestFlow::finishAtDeadline(Instant Now, FlowState &Flow) {
  finishWithFailure(Now, Flow,
                    Flow.Attempts > 0 ? RefusalReason::ServerTimeout
                                      : RefusalReason::DeadlinePassed);
}

void RequestFlow::updateTimer(FlowState &Flow) {
  Instant Next = std::min(Flow.Request.Deadline, Flow.HedgeAt);
  if (Flow.ChoosingServer)
    Next = std::min(Next, Flow.ChooseAgainAt);
  if (Next == Flow.WakeAt)
    return;
  Timers.erase({Flow.WakeAt, Flow.Request.Id});
  Flow.WakeAt = Next;
  Timers.insert({Flow.WakeAt, Flow.Request.Id});
}

Instant RequestFlow::nextTick() const {
  return Timers.empty() ? Instant::max() : Timers.begin()->first;
}

void RequestFlow::tick(Instant Now) {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const RequestId Id = Timers.begin()->second;
    Timers.erase(Timers.begin());
    FlowState &Flow = Flows.at(Id);
    Flow.WakeAt = Instant::max();
    if (Now >= Flow.Request.Deadline) {
      finishAtDeadline(Now, Flow);
      continue;
    }
    if (Now >= Flow.HedgeAt) {
      startHedge(Now, Flow);
      continue;
    }
    chooseServer(Now, Flow);
  }
}

void RequestFlow::logLateLoss(Instant Now, const OpenCall &Call,
                              CallEnd End) const {
  Callbacks.Log("server_lost_late",
                {{"route", Call.Route},
                 {"server", Call.Server.value()},
                 {"fingerprint", std::to_string(Call.Fingerprint)},
                 {"how", describeLoss(End)},
                 {"took_ms", toMsText(Now - Call.StartedAt)}});
}

void RequestFlow::log(const char *Event, const FlowState &Flow,
                      FlowFields Fields) const {
  Fields.insert(Fields.begin(),
                {{"request", Flow.Request.Request->TraceId},
                 {"route", Flow.Request.Route.Name},
                 {"service", Flow.Request.Service.Name.value()}});
  Callbacks.Log(Event, Fields);
}

} // namespace mimosacart
