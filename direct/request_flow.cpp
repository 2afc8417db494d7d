#include "direct/request_flow.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusMisdirected = 421;

/// Whether an entry host may only send \p Status if the request has not run.
bool isPromise(unsigned Status) {
  return Status == StatusTooManyRequests || Status == StatusUnavailable ||
         Status == StatusRequestTimeout || Status == StatusMisdirected;
}

} // namespace

RequestFlow::RequestFlow(FlowPolicy Policy, RetryLimits Limits,
                         ServerRanking Ranking, ServerSubset Subset,
                         ServerRegistry &Registry, ServerLoadTable &ServerLoads,
                         Instant Start, Hooks Callbacks)
    : Policy(Policy), Limits(Limits), Start(Start),
      Callbacks(std::move(Callbacks)), Ranking(std::move(Ranking)),
      Subset(std::move(Subset)), Registry(Registry), ServerLoads(ServerLoads) {}

void RequestFlow::start(Instant Now, FlowRequest Request) {
  const RequestId Id = Request.Id;
  budgetOf(Request.Service.Name).countRequest(Now);
  Flow &Of = Flows[Id];
  Of.Request = std::move(Request);
  if (Callbacks.CrashCount(Of.Request.Fingerprint) >= Policy.MaxCrashes) {
    endWithoutAnswer(Now, Of, RefusalReason::Quarantined);
    return;
  }
  choose(Now, Of);
}

Duration RequestFlow::baselineOf(const Flow &Of) const {
  return Latencies.baseline(Of.Request.Route.Name, Of.Request.Route.Objective);
}

RetryBudget &RequestFlow::budgetOf(const ServiceName &Service) {
  return Budgets.try_emplace(Service, Limits, Start).first->second;
}

void RequestFlow::send(Instant Now, Flow &Of, const RankedServer &To) {
  Of.Choosing = false;
  Of.ChooseAt = Instant::max();
  const Duration Remaining = Of.Request.Deadline - Now;
  if (Remaining < Policy.LeastRemaining) {
    if (Of.OpenCalls.empty())
      endWithoutAnswer(Now, Of, RefusalReason::DeadlinePassed);
    else
      setWake(Of);
    return;
  }
  // Only a second arrival at a server counts as a repeat.
  const bool Repeat = Of.Arrivals > 0;
  if (Repeat) {
    const double Part =
        Of.OpenCalls.empty() ? Policy.RetryPart : Policy.HedgePart;
    if (!budgetOf(Of.Request.Service.Name)
             .spend(Now, Callbacks.HostCount(), Part)) {
      if (Of.OpenCalls.empty())
        endWithoutAnswer(Now, Of, RefusalReason::Overloaded);
      else
        setWake(Of);
      return;
    }
    ++Counters.Retries;
  }
  const DiscoveredServer Server = *To.Server;
  const ServerLoadState *Known = ServerLoads.find(Server.Id);
  const CallId Id(++LastCall);
  OpenCall Call{Of.Request.Id,          Server.Id, Of.Request.Route.Name,
                Of.Request.Fingerprint, Now,       std::nullopt};
  if (To.Fresh && To.Good)
    Call.GoodFactor = To.Factor;
  std::string Age = "none";
  std::string Slowness = "none";
  if (Known && Known->Load) {
    Slowness = std::to_string(Known->Load->SlownessPercent);
    Age = toMsText(Now - Known->LoadUpdatedAt);
  }
  log("send", Of,
      {{"call", std::to_string(Id.value())},
       {"server", Server.Id.value()},
       {"expected_ms", toMsText(To.Expected)},
       {"slowness", Slowness},
       {"figures_age_ms", Age},
       {"candidates", std::to_string(Of.Probed.size())},
       {"remaining_ms", toMsText(Remaining)},
       {"why", !Repeat                ? "first"
               : Of.OpenCalls.empty() ? "repeat"
                                      : "hedge"}});
  Calls[Id] = std::move(Call);
  if (Of.OpenCalls.empty())
    Of.CallsOpenSince = Now;
  Of.OpenCalls.insert(Id);
  Of.Tried.insert(Server.Id);
  ++Of.Arrivals;
  ++Counters.Calls;
  ServerLoads.recordStart(Server.Id);
  scheduleHedge(Now, Of);
  setWake(Of);
  Callbacks.Call({Id, Server, Of.Request.Request, Remaining,
                  Remaining + Policy.LateAnswerTime});
}

void RequestFlow::onCallResult(Instant Now, CallId Id,
                               const ServerCallResult &Result) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  const OpenCall Call = Found->second;
  Calls.erase(Found);
  recordResult(Now, Call, Result);
  const auto Owner = Flows.find(Call.Owner);
  if (Owner == Flows.end())
    return;
  Flow &Of = Owner->second;
  Of.OpenCalls.erase(Id);
  if (Of.OpenCalls.empty())
    Of.WithServers += Now - Of.CallsOpenSince;
  if (Result.End == CallEnd::Answered)
    onAnswer(Now, Of, Call, Result.Answer);
  else
    onLost(Now, Of, Call, Result.End);
}

void RequestFlow::recordResult(Instant Now, const OpenCall &Call,
                               const ServerCallResult &Result) {
  ServerLoads.recordEnd(Call.Server);
  if (Result.End != CallEnd::Answered) {
    ServerLoads.recordFailure(Now, Call.Server, 1);
    return;
  }
  const ServerAnswer &Answer = Result.Answer;
  if (!Answer.WrongServer)
    ServerLoads.recordLoad(Now, Call.Server, Answer.Load);
  if (Answer.WrongServer)
    ServerLoads.recordFailure(Now, Call.Server, Policy.WrongServerWeight);
  else if (Answer.NotRun)
    ServerLoads.recordFailure(Now, Call.Server, Policy.ShedWeight);
  else if (Answer.Reply->Status >= StatusServerError)
    ServerLoads.recordFailure(Now, Call.Server, 1);
  else
    recordLatency(Now, Call, Answer);
}

/// A server that slowed down meanwhile says nothing of the usual time.
void RequestFlow::recordLatency(Instant Now, const OpenCall &Call,
                                const ServerAnswer &Answer) {
  const bool Slowed =
      Answer.Load && Answer.Load->SlownessPercent > NominalSlownessPercent;
  if (Call.GoodFactor && !Slowed)
    Latencies.record(Call.Route, Now - Call.StartedAt, *Call.GoodFactor);
}

void RequestFlow::onAnswer(Instant Now, Flow &Of, const OpenCall &Call,
                           const ServerAnswer &Answer) {
  const unsigned Status = Answer.Reply->Status;
  log("server_answer", Of,
      {{"server", Call.Server.value()},
       {"status", std::to_string(Status)},
       {"ran", Answer.NotRun || Answer.WrongServer ? "no" : "yes"},
       {"took_ms", toMsText(Now - Call.StartedAt)}});
  if (Answer.NotRun || Answer.WrongServer) {
    Of.LastReason = RefusalReason::ServerRefused;
    repeatOrEnd(Now, Of);
    return;
  }
  Of.MayHaveRun = true;
  if (isSuccess(Status) && Answer.Signed) {
    for (const CallId Slower : Of.OpenCalls)
      if (Of.Request.Route.Idempotent)
        ServerLoads.recordFailure(Now, Calls.at(Slower).Server,
                                  Policy.HedgeWonWeight);
    end(Now, Of, Answer.Reply, Call.Server, {});
    return;
  }
  Of.LastReason = RefusalReason::ServerBroke;
  // An unsigned success is not the server's; a promise of ours would be
  // untrue, since the request has run.
  const bool CanPass = !isSuccess(Status) && !isPromise(Status);
  if (CanPass) {
    Of.ServerFailure = Answer.Reply;
    Of.FailedServer = Call.Server;
  }
  if (CanPass && Status < StatusServerError) {
    end(Now, Of, Answer.Reply, Call.Server, {});
    return;
  }
  repeatOrEnd(Now, Of);
}

void RequestFlow::onLost(Instant Now, Flow &Of, const OpenCall &Call,
                         CallEnd End) {
  const bool Sent = End != CallEnd::NotSent;
  log("server_lost", Of,
      {{"server", Call.Server.value()},
       {"ran", Sent ? "unknown" : "no"},
       {"how", End == CallEnd::TimedOut ? "timeout"
               : Sent                   ? "broken"
                                        : "not_sent"},
       {"took_ms", toMsText(Now - Call.StartedAt)}});
  if (Sent) {
    Of.MayHaveRun = true;
    Of.LastReason = End == CallEnd::TimedOut ? RefusalReason::ServerTimeout
                                             : RefusalReason::ServerBroke;
  } else {
    --Of.Arrivals;
    Of.LastReason = RefusalReason::ServerUnreachable;
  }
  if (End == CallEnd::Broken)
    verifyCrash(Call, Of.Request.Service);
  repeatOrEnd(Now, Of);
}

/// A connection that broke while it carried a request may mean that the
/// server crashed; whether it still answers tells.
void RequestFlow::verifyCrash(const OpenCall &Call,
                              const ServiceSettings &Service) {
  const DiscoveredServer *Server = Registry.find(Call.Server);
  if (Server != nullptr)
    startProbe(Service, *Server, Call.Fingerprint);
}

bool RequestFlow::mayRepeat(Instant Now, const Flow &Of) {
  const HostRoute &Route = Of.Request.Route;
  if (Of.MayHaveRun && !Route.Idempotent)
    return false;
  if (Of.Arrivals >= Route.MaxAttempts)
    return false;
  if (Of.Request.Deadline - Now < Policy.LeastRemaining)
    return false;
  if (Callbacks.CrashCount(Of.Request.Fingerprint) >= Policy.MaxCrashes)
    return false;
  return Of.Arrivals == 0 ||
         budgetOf(Of.Request.Service.Name)
                 .left(Now, Callbacks.HostCount(), Policy.RetryPart) >= 1;
}

void RequestFlow::repeatOrEnd(Instant Now, Flow &Of) {
  if (Of.Choosing)
    return;
  if (!Of.OpenCalls.empty()) {
    setWake(Of);
    return;
  }
  if (!mayRepeat(Now, Of)) {
    endWithoutAnswer(Now, Of, Of.LastReason);
    return;
  }
  Of.ProbeRounds = 0;
  Of.Probed.clear();
  choose(Now, Of);
}

Refusal RequestFlow::refusalOf(const Flow &Of, RefusalReason Reason) const {
  const bool Ran = Of.MayHaveRun || !Of.OpenCalls.empty();
  if (Ran)
    return {RefusalOutcome::Unknown, Reason, Duration::zero()};
  return {RefusalOutcome::NotRun, Reason,
          Reason == RefusalReason::ServerRefused ? Policy.RetryAfterRefused
                                                 : Policy.RetryAfterBusy};
}

void RequestFlow::endWithoutAnswer(Instant Now, Flow &Of,
                                   RefusalReason Otherwise) {
  if (Of.ServerFailure) {
    end(Now, Of, Of.ServerFailure, Of.FailedServer, {});
    return;
  }
  end(Now, Of, nullptr, {}, refusalOf(Of, Otherwise));
}

void RequestFlow::end(Instant Now, Flow &Of, AnswerPtr Reply,
                      const ServerName &Server, Refusal Refused) {
  const RequestId Id = Of.Request.Id;
  if (!Of.OpenCalls.empty())
    Of.WithServers += Now - Of.CallsOpenSince;
  const Duration Total = Now - Of.Request.Arrived;
  FlowResult Result{Id,
                    std::move(Reply),
                    Refused,
                    Of.Request.Route.Name,
                    Of.Request.Service.Name,
                    Server,
                    Of.Arrivals,
                    Total,
                    Total - Of.WithServers};
  log("reply", Of,
      {{"server", Server.value()},
       {"status", Result.Reply ? std::to_string(Result.Reply->Status) : "none"},
       {"outcome", Result.Reply ? "answered" : toString(Refused.Outcome)},
       {"reason", toString(Refused.Reason)},
       {"arrivals", std::to_string(Of.Arrivals)},
       {"total_ms", toMsText(Result.Total)},
       {"added_us", std::to_string(Result.Added.count())}});
  Timers.erase({Of.Wake, Id});
  Flows.erase(Id);
  Callbacks.Finished(Result);
}

void RequestFlow::abandon(Instant Now, RequestId Id) {
  const auto Found = Flows.find(Id);
  if (Found == Flows.end())
    return;
  Flow &Of = Found->second;
  log("caller_gone", Of,
      {{"open_calls", std::to_string(Of.OpenCalls.size())},
       {"after_ms", toMsText(Now - Of.Request.Arrived)}});
  if (Of.Request.Route.Idempotent)
    for (const CallId Call : Of.OpenCalls) {
      ServerLoads.recordEnd(Calls.at(Call).Server);
      Calls.erase(Call);
      Callbacks.Cancel(Call);
    }
  Timers.erase({Of.Wake, Id});
  Flows.erase(Found);
}

void RequestFlow::expire(Instant Now, Flow &Of) {
  endWithoutAnswer(Now, Of,
                   Of.Arrivals > 0 ? RefusalReason::ServerTimeout
                                   : RefusalReason::DeadlinePassed);
}

void RequestFlow::setWake(Flow &Of) {
  Instant Next = std::min(Of.Request.Deadline, Of.HedgeAt);
  if (Of.Choosing)
    Next = std::min(Next, Of.ChooseAt);
  if (Next == Of.Wake)
    return;
  Timers.erase({Of.Wake, Of.Request.Id});
  Of.Wake = Next;
  Timers.insert({Of.Wake, Of.Request.Id});
}

Instant RequestFlow::nextTick() const {
  return Timers.empty() ? Instant::max() : Timers.begin()->first;
}

void RequestFlow::tick(Instant Now) {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const RequestId Id = Timers.begin()->second;
    Timers.erase(Timers.begin());
    Flow &Of = Flows.at(Id);
    Of.Wake = Instant::max();
    if (Now >= Of.Request.Deadline) {
      expire(Now, Of);
      continue;
    }
    if (Now >= Of.HedgeAt) {
      startHedge(Now, Of);
      continue;
    }
    choose(Now, Of);
  }
}

void RequestFlow::log(const char *Event, const Flow &Of,
                      FlowFields Fields) const {
  Fields.insert(Fields.begin(), {{"request", Of.Request.Request->TraceId},
                                 {"route", Of.Request.Route.Name},
                                 {"service", Of.Request.Service.Name.value()}});
  Callbacks.Log(Event, Fields);
}

} // namespace mimosacart
