#include "tests/direct/flow_harness.h"

#include <algorithm>
#include <stdexcept>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

HostRoute makeRoute() {
  HostRoute Route;
  Route.Name = "lookup";
  Route.Idempotent = true;
  Route.Timeout = 1s;
  Route.Objective = 400ms;
  Route.Priority = 1;
  Route.MaxAttempts = 2;
  Route.Services = {{ServiceName("records"), 1}};
  return Route;
}

} // namespace

FlowHarness::FlowHarness(FlowPolicy Policy, RetryLimits Limits)
    : Route(makeRoute()),
      Registry([](const DiscoveredServer &, ServerChange) {}),
      Flow(Policy, Limits, ServerRanking(RankingPolicy{}, "here", 1),
           ServerSubset(SubsetPolicy{}, "host", "here"), Registry, ServerLoads,
           Now - 1h, makeHooks()) {}

RequestFlow::Hooks FlowHarness::makeHooks() {
  RequestFlow::Hooks Result;
  Result.Call = [this](const DirectCall &Call) { Calls.push_back(Call); };
  Result.Cancel = [this](CallId Id) {
    Cancelled.push_back(Id);
    std::erase_if(Calls,
                  [Id](const DirectCall &Call) { return Call.Id == Id; });
  };
  Result.Probe = [this](const DirectProbe &Probe) { Probes.push_back(Probe); };
  Result.Finished = [this](const FlowResult &Ended) {
    if (!Results.emplace(Ended.Id, Ended).second)
      throw std::logic_error("request finished twice");
  };
  Result.HostCount = [] { return std::size_t{1}; };
  Result.SharingHosts = [] { return std::size_t{1}; };
  Result.CrashesExcused = [this](std::uint64_t Fingerprint) {
    CrashCounts.erase(Fingerprint);
  };
  Result.QuarantinedAgain = [](Instant, std::uint64_t) {};
  Result.Position = [](const ServerName &) {
    return FleetPosition{HostPosition{}, HostPosition{}};
  };
  Result.CrashCount = [this](std::uint64_t Fingerprint) {
    return CrashCounts[Fingerprint];
  };
  Result.CrashSeen = [this](Instant, const CrashEvidence &Evidence) {
    ++CrashCounts[Evidence.Fingerprint];
  };
  Result.Log = [](const char *, const FlowFields &) {};
  Result.Clock = [this] { return Now + Lateness; };
  Result.IsCallerGone = [this](RequestId Id) { return Gone.contains(Id); };
  return Result;
}

void FlowHarness::addServer(const std::string &Id, unsigned Slots) {
  DiscoveredServer Server;
  Server.Id = ServerName(Id);
  Server.Service = ServiceName("records");
  Server.Address = Id;
  Server.DataCentre = "here";
  Server.Slots = Slots;
  Registry.update(Now, Server);
  ServerLoads.reset(Now, Server);
}

void FlowHarness::reportLoad(const std::string &Id, unsigned Running,
                             unsigned Slowness) {
  ServerLoads.recordLoad(Now, ServerName(Id),
                         ServerLoad{Running, 0, 2, Slowness});
}

RequestId FlowHarness::start(const std::string &Body) {
  CallerRequest Request;
  Request.Method = "POST";
  Request.Body = Body;
  FlowRequest NewRequest;
  NewRequest.Id = RequestId(++LastRequest);
  NewRequest.Route = Route;
  NewRequest.Service = {ServiceName("records"), "/health", 100, {}};
  NewRequest.Request =
      std::make_shared<const CallerRequest>(std::move(Request));
  NewRequest.Workspace = Owner;
  NewRequest.ReplacesKey = Owner != nullptr;
  NewRequest.Priority =
      Owner ? Owner->Priority.value_or(Route.Priority) : Route.Priority;
  NewRequest.DataCentres = DataCentres;
  NewRequest.Arrived = Now;
  NewRequest.Deadline = Now + Route.Timeout;
  NewRequest.Fingerprint = fingerprintOf(Body);
  Flow.start(Now, NewRequest);
  return RequestId(LastRequest);
}

DirectCall FlowHarness::takeCall(const std::string &Server) {
  const auto Found =
      std::find_if(Calls.begin(), Calls.end(), [&](const DirectCall &Call) {
        return Call.Server.Id.value() == Server;
      });
  if (Found == Calls.end())
    throw std::logic_error("no open call to server " + Server);
  DirectCall Call = *Found;
  Calls.erase(Found);
  return Call;
}

void FlowHarness::answer(const std::string &Server, unsigned Status,
                         bool Signed, const ServerWishes &Wishes) {
  ServerCallResult Result{CallEnd::Answered, {}};
  Result.Answer.Reply =
      std::make_shared<const Answer>(Answer{Status, {}, Server});
  Result.Answer.Signed = Signed;
  Result.Answer.Wishes = Wishes;
  Flow.onCallResult(Now, takeCall(Server).Id, Result);
}

void FlowHarness::answerNotRun(const std::string &Server) {
  ServerCallResult Result{CallEnd::Answered, {}};
  Result.Answer.Reply = std::make_shared<const Answer>(Answer{503, {}, ""});
  Result.Answer.NotRun = true;
  Flow.onCallResult(Now, takeCall(Server).Id, Result);
}

void FlowHarness::answerWrongServer(const std::string &Server) {
  ServerCallResult Result{CallEnd::Answered, {}};
  Result.Answer.Reply = std::make_shared<const Answer>(Answer{421, {}, ""});
  Result.Answer.WrongServer = true;
  Flow.onCallResult(Now, takeCall(Server).Id, Result);
}

void FlowHarness::failCall(const std::string &Server, CallEnd End) {
  Flow.onCallResult(Now, takeCall(Server).Id, {End, {}});
}

void FlowHarness::answerProbes(const ServerLoad &Load) {
  const std::vector<DirectProbe> Open = std::move(Probes);
  Probes.clear();
  for (const DirectProbe &Probe : Open)
    Flow.onProbeResult(Now, Probe.Id, {true, true, Probe.Server.Id, Load, {}});
}

void FlowHarness::failProbes() {
  const std::vector<DirectProbe> Open = std::move(Probes);
  Probes.clear();
  for (const DirectProbe &Probe : Open)
    Flow.onProbeResult(Now, Probe.Id, {});
}

void FlowHarness::advance(Duration Span) {
  const Instant End = Now + Span;
  while (Flow.nextTick() <= End) {
    Now = std::max(Now, Flow.nextTick());
    Flow.tick(Now);
  }
  Now = End;
  Flow.tick(Now);
}

void FlowHarness::advanceAnsweringProbes(Duration Span, const ServerLoad &Load,
                                         RequestId Until) {
  constexpr Duration Step = 10ms;
  for (const Instant End = Now + Span; Now < End && !ended(Until);) {
    advance(Step);
    answerProbes(Load);
  }
}

std::vector<std::string> FlowHarness::openCalls() const {
  std::vector<std::string> Result;
  for (const DirectCall &Call : Calls)
    Result.push_back(Call.Server.Id.value());
  return Result;
}

} // namespace mimosacart
