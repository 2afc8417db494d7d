#include "direct/request_flow.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusFirstSuccess = 200;
constexpr unsigned StatusFirstRedirect = 300;

/// Weights of signs against a server; a failed request counts 1.
constexpr double ShedWeight = 0.4;
constexpr double WrongServerWeight = 3;
constexpr double HedgeWonWeight = 0.3;

Duration scaled(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

std::string inMs(Duration Value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

bool isSuccess(unsigned Status) {
  return Status >= StatusFirstSuccess && Status < StatusFirstRedirect;
}

/// Whether an entry host may only send \p Status if the request has not run.
bool isPromise(unsigned Status) {
  return Status == StatusTooManyRequests || Status == StatusUnavailable ||
         Status == StatusRequestTimeout || Status == StatusMisdirected;
}

} // namespace

RequestFlow::RequestFlow(FlowPolicy Policy, RetryBound Bound,
                         ServerRanking Ranking, ServerRegistry &Registry,
                         LoadBoard &Board, Instant Start, Hooks Use)
    : Policy(Policy), Bound(Bound), Start(Start), Use(std::move(Use)),
      Ranking(std::move(Ranking)), Registry(Registry), Board(Board) {}

void RequestFlow::start(Instant Now, FlowRequest Request) {
  const RequestId Id = Request.Id;
  allowanceOf(Request.Service.Name).countRequest(Now);
  Flow &Of = Flows[Id];
  Of.Request = std::move(Request);
  if (Use.Crashes(Of.Request.Fingerprint) >= Policy.MaxCrashes) {
    endWithoutAnswer(Now, Of, Reason::Quarantined);
    return;
  }
  choose(Now, Of);
}

Duration RequestFlow::usualOf(const Flow &Of) const {
  return Times.usual(Of.Request.Route.Name, Of.Request.Route.Objective);
}

RetryAllowance &RequestFlow::allowanceOf(const ServiceName &Service) {
  return Allowances.try_emplace(Service, Bound, Start).first->second;
}

/// Looks for a server: one with fresh and good figures at once, else the best
/// after some rounds of probes.
void RequestFlow::choose(Instant Now, Flow &Of) {
  Of.Choosing = true;
  std::vector<const DiscoveredServer *> Candidates =
      Registry.usable(Of.Request.Service.Name);
  std::erase_if(Candidates, [&Of](const DiscoveredServer *Server) {
    return Of.Tried.contains(Server->Id);
  });
  if (Candidates.empty()) {
    Of.Choosing = false;
    if (Of.OpenCalls.empty())
      endWithoutAnswer(Now, Of, Reason::NoServer);
    return;
  }
  const std::vector<RankedServer> Ranked =
      Ranking.rank(Now, Candidates, Board, usualOf(Of));
  const RankedServer &Best = Ranked.front();
  if (Best.Fresh && Best.Good) {
    send(Now, Of, Best);
    return;
  }
  const bool Waiting = !Of.OpenProbes.empty() && Now < Of.ChooseAt;
  if (Waiting || sendProbes(Now, Of, Ranked)) {
    setWake(Of);
    return;
  }
  if (!Of.OpenCalls.empty()) {
    // A repeat on a server that is no better would only add to the load.
    Of.Choosing = false;
    setWake(Of);
    return;
  }
  const auto Free =
      std::find_if(Ranked.begin(), Ranked.end(),
                   [](const RankedServer &Each) { return !Each.Full; });
  if (Free != Ranked.end() && fitsObjective(Now, Of, *Free))
    send(Now, Of, *Free);
  else
    hold(Now, Of, Free == Ranked.end() ? nullptr : &*Free);
}

bool RequestFlow::fitsObjective(Instant Now, const Flow &Of,
                                const RankedServer &Server) const {
  const HostRoute &Route = Of.Request.Route;
  const Duration Left = Of.Request.Arrived + Route.Objective - Now;
  const double Factor = Route.Priority == 0 ? 1 : Policy.RoomFactor;
  return scaled(Server.Expected, Factor) <= Left;
}

bool RequestFlow::sendProbes(Instant Now, Flow &Of,
                             const std::vector<RankedServer> &Ranked) {
  if (Of.ProbeRounds >= Policy.ProbeRounds)
    return false;
  std::size_t Wanted =
      Of.ProbeRounds == 0 ? Policy.FirstProbes : Policy.FurtherProbes;
  bool Sent = false;
  for (const RankedServer &Each : Ranked) {
    if (Wanted == 0)
      break;
    if (Each.FiguresAge < Policy.ProbeAgainAfter ||
        Of.Probed.contains(Each.Server->Id))
      continue;
    --Wanted;
    Sent = true;
    Of.Probed.insert(Each.Server->Id);
    const CallId Id = probe(Of.Request.Service, *Each.Server);
    Probes.at(Id).Waiters.push_back(Of.Request.Id);
    Of.OpenProbes.insert(Id);
  }
  ++Of.ProbeRounds;
  if (Sent)
    Of.ChooseAt = Now + Policy.ProbeWait;
  return Sent;
}

CallId RequestFlow::probe(const ServiceSettings &Service,
                          const DiscoveredServer &Server) {
  const auto Found = ProbesByServer.find(Server.Id);
  if (Found != ProbesByServer.end())
    return Found->second;
  const CallId Id = startProbe(Service, Server, 0);
  ProbesByServer[Server.Id] = Id;
  return Id;
}

CallId RequestFlow::startProbe(const ServiceSettings &Service,
                               const DiscoveredServer &Server,
                               std::uint64_t Fingerprint) {
  const CallId Id(++LastCall);
  Probes[Id] = {Server.Id, Fingerprint, {}};
  ++Counters.Probes;
  Use.Probe({Id, Server, Service.HealthPath, Policy.ProbeTimeout});
  return Id;
}

void RequestFlow::hold(Instant Now, Flow &Of, const RankedServer *Free) {
  const Instant HoldUntil =
      Of.Request.Arrived + scaled(Of.Request.Route.Objective, Policy.HoldShare);
  if (Now < HoldUntil) {
    if (!Of.Held) {
      ++Counters.Held;
      log("held", Of,
          {{"best", Free ? Free->Server->Id.value() : "all_full"},
           {"expected_ms", Free ? inMs(Free->Expected) : "none"},
           {"figures_age_ms", Free && Free->FiguresAge < Policy.ProbeTimeout
                                  ? inMs(Free->FiguresAge)
                                  : "none"},
           {"asked", std::to_string(Of.Probed.size())},
           {"until_ms", inMs(HoldUntil - Of.Request.Arrived)}});
      Of.Held = true;
    }
    Of.Probed.clear();
    Of.ProbeRounds = Policy.ProbeRounds - 1;
    Of.ChooseAt = Now + Policy.HoldInterval;
    setWake(Of);
    return;
  }
  // A late answer is still worth something to the caller.
  if (Free != nullptr && Now + Free->Expected < Of.Request.Deadline) {
    send(Now, Of, *Free);
    return;
  }
  Of.Choosing = false;
  endWithoutAnswer(Now, Of, Reason::Overloaded);
}

void RequestFlow::send(Instant Now, Flow &Of, const RankedServer &To) {
  Of.Choosing = false;
  Of.ChooseAt = Instant::max();
  const Duration Remaining = Of.Request.Deadline - Now;
  if (Remaining < Policy.LeastRemaining) {
    if (Of.OpenCalls.empty())
      endWithoutAnswer(Now, Of, Reason::DeadlinePassed);
    else
      setWake(Of);
    return;
  }
  // Only a second arrival at a server counts as a repeat.
  const bool Repeat = Of.Arrivals > 0;
  if (Repeat) {
    const double Part =
        Of.OpenCalls.empty() ? Policy.RetryPart : Policy.HedgePart;
    if (!allowanceOf(Of.Request.Service.Name).spend(Now, Use.Hosts(), Part)) {
      if (Of.OpenCalls.empty())
        endWithoutAnswer(Now, Of, Reason::Overloaded);
      else
        setWake(Of);
      return;
    }
    ++Counters.Repeats;
  }
  const DiscoveredServer Server = *To.Server;
  const ServerKnowledge *Known = Board.find(Server.Id);
  const CallId Id(++LastCall);
  OpenCall Call{Of.Request.Id,          Server.Id, Of.Request.Route.Name,
                Of.Request.Fingerprint, Now,       100};
  std::string Age = "none";
  if (Known && Known->Figures) {
    Call.SlownessPercent = Known->Figures->SlownessPercent;
    Age = inMs(Now - Known->FiguresAt);
  }
  log("send", Of,
      {{"call", std::to_string(Id.value())},
       {"server", Server.Id.value()},
       {"expected_ms", inMs(To.Cost)},
       {"slowness", std::to_string(Call.SlownessPercent)},
       {"figures_age_ms", Age},
       {"candidates", std::to_string(Of.Probed.size())},
       {"remaining_ms", inMs(Remaining)},
       {"why", !Repeat                ? "first"
               : Of.OpenCalls.empty() ? "repeat"
                                      : "hedge"}});
  Calls[Id] = std::move(Call);
  Of.OpenCalls.insert(Id);
  Of.Tried.insert(Server.Id);
  ++Of.Arrivals;
  ++Counters.Calls;
  Board.noteStart(Server.Id);
  scheduleHedge(Now, Of);
  setWake(Of);
  Use.Call({Id, Server, Of.Request.Request, Remaining,
            Remaining + Policy.LateAnswerTime});
}

void RequestFlow::scheduleHedge(Instant Now, Flow &Of) {
  const HostRoute &Route = Of.Request.Route;
  Of.HedgeAt = Instant::max();
  if (!Route.Idempotent || Of.Hedged || Of.Arrivals >= Route.MaxAttempts)
    return;
  const Duration Usual = usualOf(Of);
  const Instant Latest = Of.Request.Arrived + Route.Objective -
                         scaled(Usual, Policy.HedgeRoomFactor);
  const Instant Regular = Now + scaled(Usual, Policy.HedgeFactor);
  const Instant Earliest = Now + scaled(Usual, Policy.HedgeLeastFactor);
  Of.HedgeAt = std::max(Earliest, std::min(Latest, Regular));
}

void RequestFlow::startHedge(Instant Now, Flow &Of) {
  Of.HedgeAt = Instant::max();
  Of.Hedged = true;
  RetryAllowance &Allowance = allowanceOf(Of.Request.Service.Name);
  if (Allowance.left(Now, Use.Hosts(), Policy.HedgePart) < 1) {
    setWake(Of);
    return;
  }
  ++Counters.Hedges;
  Of.ProbeRounds = 0;
  Of.Probed.clear();
  choose(Now, Of);
}

void RequestFlow::onProbeResult(Instant Now, CallId Id,
                                const ProbeResult &Result) {
  const auto Found = Probes.find(Id);
  if (Found == Probes.end())
    return;
  const OpenProbe Probe = std::move(Found->second);
  Probes.erase(Found);
  const auto Current = ProbesByServer.find(Probe.Server);
  if (Current != ProbesByServer.end() && Current->second == Id)
    ProbesByServer.erase(Current);
  const bool Other = Result.Answered && !Result.Server.value().empty() &&
                     Result.Server != Probe.Server;
  if (!Result.Answered || Other) {
    Board.noteFailure(Now, Probe.Server, Other ? WrongServerWeight : 1);
  } else {
    Board.noteFigures(Now, Probe.Server, Result.Load);
    Board.noteHealth(Probe.Server, Result.Healthy);
  }
  if (Probe.Fingerprint != 0 && !Result.Answered)
    Use.CrashSeen(Now, Probe.Fingerprint, Probe.Server);
  for (const RequestId Waiter : Probe.Waiters) {
    const auto Owner = Flows.find(Waiter);
    if (Owner == Flows.end())
      continue;
    Owner->second.OpenProbes.erase(Id);
    if (Owner->second.Choosing)
      choose(Now, Owner->second);
  }
}

void RequestFlow::onCallResult(Instant Now, CallId Id,
                               const ServerCallResult &Result) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  const OpenCall Call = Found->second;
  Calls.erase(Found);
  noteResult(Now, Call, Result);
  const auto Owner = Flows.find(Call.Owner);
  if (Owner == Flows.end())
    return;
  Flow &Of = Owner->second;
  Of.OpenCalls.erase(Id);
  if (Result.End == CallEnd::Answered)
    onAnswer(Now, Of, Call, Result.Answer);
  else
    onLost(Now, Of, Call, Result.End);
}

void RequestFlow::noteResult(Instant Now, const OpenCall &Call,
                             const ServerCallResult &Result) {
  Board.noteEnd(Call.Server);
  if (Result.End != CallEnd::Answered) {
    Board.noteFailure(Now, Call.Server, 1);
    return;
  }
  const ServerAnswer &Answer = Result.Answer;
  if (!Answer.WrongServer)
    Board.noteFigures(Now, Call.Server, Answer.Load);
  if (Answer.WrongServer)
    Board.noteFailure(Now, Call.Server, WrongServerWeight);
  else if (Answer.NotRun)
    Board.noteFailure(Now, Call.Server, ShedWeight);
  else if (Answer.Reply->Status >= StatusServerError)
    Board.noteFailure(Now, Call.Server, 1);
  else
    Times.note(Call.Route, Now - Call.StartedAt,
               std::max(Call.SlownessPercent,
                        Answer.Load ? Answer.Load->SlownessPercent : 0));
}

void RequestFlow::onAnswer(Instant Now, Flow &Of, const OpenCall &Call,
                           const ServerAnswer &Answer) {
  const unsigned Status = Answer.Reply->Status;
  log("server_answer", Of,
      {{"server", Call.Server.value()},
       {"status", std::to_string(Status)},
       {"ran", Answer.NotRun || Answer.WrongServer ? "no" : "yes"},
       {"took_ms", inMs(Now - Call.StartedAt)}});
  if (Answer.NotRun || Answer.WrongServer) {
    Of.LastReason = Reason::ServerRefused;
    repeatOrEnd(Now, Of);
    return;
  }
  Of.MayHaveRun = true;
  if (isSuccess(Status) && Answer.Signed) {
    for (const CallId Slower : Of.OpenCalls)
      if (Of.Request.Route.Idempotent)
        Board.noteFailure(Now, Calls.at(Slower).Server, HedgeWonWeight);
    end(Now, Of, Answer.Reply, Call.Server, {});
    return;
  }
  Of.LastReason = Reason::ServerBroke;
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
       {"took_ms", inMs(Now - Call.StartedAt)}});
  if (Sent) {
    Of.MayHaveRun = true;
    Of.LastReason =
        End == CallEnd::TimedOut ? Reason::ServerTimeout : Reason::ServerBroke;
  } else {
    --Of.Arrivals;
    Of.LastReason = Reason::ServerUnreachable;
  }
  if (End == CallEnd::Broken)
    verifyCrash(Now, Call, Of.Request.Service);
  repeatOrEnd(Now, Of);
}

/// A connection that broke while it carried a request may mean that the
/// server crashed; whether it still answers tells.
void RequestFlow::verifyCrash(Instant /*Now*/, const OpenCall &Call,
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
  if (Use.Crashes(Of.Request.Fingerprint) >= Policy.MaxCrashes)
    return false;
  return Of.Arrivals == 0 ||
         allowanceOf(Of.Request.Service.Name)
                 .left(Now, Use.Hosts(), Policy.RetryPart) >= 1;
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

Refusal RequestFlow::refusalOf(const Flow &Of, Reason Why) const {
  const bool Ran = Of.MayHaveRun || !Of.OpenCalls.empty();
  if (Ran)
    return {Outcome::Unknown, Why, Duration::zero()};
  return {Outcome::NotRun, Why,
          Why == Reason::ServerRefused ? Policy.RetryAfterRefused
                                       : Policy.RetryAfterBusy};
}

void RequestFlow::endWithoutAnswer(Instant Now, Flow &Of, Reason Otherwise) {
  if (Of.ServerFailure) {
    end(Now, Of, Of.ServerFailure, Of.FailedServer, {});
    return;
  }
  end(Now, Of, nullptr, {}, refusalOf(Of, Otherwise));
}

void RequestFlow::end(Instant Now, Flow &Of, AnswerPtr Reply,
                      const ServerName &Server, Refusal Refused) {
  const RequestId Id = Of.Request.Id;
  FlowResult Result{Id,
                    std::move(Reply),
                    Refused,
                    Of.Request.Route.Name,
                    Of.Request.Service.Name,
                    Server,
                    Of.Arrivals,
                    Now - Of.Request.Arrived};
  log("reply", Of,
      {{"server", Server.value()},
       {"status", Result.Reply ? std::to_string(Result.Reply->Status) : "none"},
       {"outcome", Result.Reply ? "answered" : toString(Refused.What)},
       {"reason", toString(Refused.Why)},
       {"arrivals", std::to_string(Of.Arrivals)},
       {"total_ms", inMs(Result.Total)}});
  Timers.erase({Of.Wake, Id});
  Flows.erase(Id);
  Use.Finished(Result);
}

void RequestFlow::abandon(Instant Now, RequestId Id) {
  const auto Found = Flows.find(Id);
  if (Found == Flows.end())
    return;
  Flow &Of = Found->second;
  log("caller_gone", Of,
      {{"open_calls", std::to_string(Of.OpenCalls.size())},
       {"after_ms", inMs(Now - Of.Request.Arrived)}});
  if (Of.Request.Route.Idempotent)
    for (const CallId Call : Of.OpenCalls) {
      Board.noteEnd(Calls.at(Call).Server);
      Calls.erase(Call);
      Use.Cancel(Call);
    }
  Timers.erase({Of.Wake, Id});
  Flows.erase(Found);
}

void RequestFlow::expire(Instant Now, Flow &Of) {
  endWithoutAnswer(Now, Of,
                   Of.Arrivals > 0 ? Reason::ServerTimeout
                                   : Reason::DeadlinePassed);
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
  Use.Log(Event, Fields);
}

} // namespace mimosacart
