/// \file
/// Reuse of connections and load figures by a fleet of hosts with few requests,
/// simulated in virtual time.
#include "direct/request_flow.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Load of docs/design/shared-capacity.md, "Uneven demand and servers".
constexpr unsigned HostCount = 231;
constexpr unsigned ServerCount = 211;
constexpr double RequestsPerSecond = 813;
constexpr unsigned Slots = 6;
constexpr Duration MaxIdle = 8s;

struct Outcome {
  unsigned Requests = 0;
  unsigned Answered = 0;
  unsigned WithinObjective = 0;
  unsigned Calls = 0;
  unsigned CallsOnReused = 0;
  /// Calls to servers whose load was at most 20 ms and at most 80 ms old.
  unsigned Fresh = 0;
  unsigned Recent = 0;
  unsigned Probes = 0;
  unsigned NewConnections = 0;
  std::vector<unsigned> CallsByServer;
  std::vector<Duration> Latencies;
};

class SmallHostFleet {
public:
  explicit SmallHostFleet(SubsetPolicy Policy, double Rate = RequestsPerSecond)
      : Rate(Rate), Servers(ServerCount) {
    for (unsigned Number = 0; Number < HostCount; ++Number)
      Hosts.push_back(makeHost(Number, Policy));
    for (unsigned Number = 0; Number < ServerCount; ++Number)
      addServer(Number);
  }

  void addServer(unsigned Number) {
    DiscoveredServer Server;
    Server.Id = ServerName(std::to_string(Number));
    Server.Address = Server.Id.value();
    Server.Service = ServiceName("records");
    Server.DataCentre = dataCentreOf(Number);
    Server.Slots = Slots;
    Servers.resize(std::max<std::size_t>(Servers.size(), Number + 1));
    for (const auto &Node : Hosts) {
      Node->Registry.update(Now, Server);
      Node->Loads.reset(Now, Server);
    }
  }

  /// Runs for \p Span and returns what happened meanwhile.
  Outcome run(Duration Span) {
    Result = {};
    Result.CallsByServer.resize(Servers.size());
    const Instant End = Now + Span;
    scheduleArrival();
    while (!Events.empty() && Events.top().At <= End) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Action();
    }
    Now = End;
    ++ArrivalRun;
    return Result;
  }

private:
  struct Host {
    explicit Host(ServerRegistry::ChangeHook OnChange)
        : Registry(std::move(OnChange)) {}
    ServerRegistry Registry;
    ServerLoadTable Loads;
    std::unique_ptr<RequestFlow> Flow;
    /// When the idle connections to each server became idle.
    std::map<std::string, std::deque<Instant>> Idle;
    Instant TickAt = Instant::max();
  };
  struct Event {
    Instant At{};
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };
  struct Server {
    unsigned Running = 0;
    std::deque<std::function<void()>> Waiting;
  };

  static std::string dataCentreOf(unsigned Number) {
    return "dc-" + std::to_string(Number % 3);
  }

  std::unique_ptr<Host> makeHost(unsigned Number, SubsetPolicy Policy) {
    auto Made =
        std::make_unique<Host>([](const DiscoveredServer &, ServerChange) {});
    Host &Node = *Made;
    RequestFlow::Hooks Hooks;
    Hooks.Call = [this, &Node](const DirectCall &Call) { call(Node, Call); };
    Hooks.Cancel = [](CallId) {};
    Hooks.Probe = [this, &Node](const DirectProbe &Probe) {
      probe(Node, Probe);
    };
    Hooks.Finished = [this](const FlowResult &Ended) {
      Result.Answered += Ended.Reply ? 1 : 0;
      Result.WithinObjective += Ended.Reply && Ended.Total <= 1s ? 1 : 0;
      Result.Latencies.push_back(Ended.Total);
    };
    Hooks.HostCount = [] { return std::size_t{HostCount}; };
    Hooks.SharingHosts = Hooks.HostCount;
    Hooks.CrashCount = [](std::uint64_t) { return std::size_t{0}; };
    Hooks.Position = [](const ServerName &) { return FleetPosition{}; };
    Hooks.CrashSeen = [](Instant, const CrashEvidence &) {};
    Hooks.Log = [](const char *, const FlowFields &) {};
    Hooks.Clock = [this] { return Now; };
    Hooks.IsCallerGone = [](RequestId) { return false; };
    Node.Flow = std::make_unique<RequestFlow>(
        FlowPolicy{}, RetryLimits{},
        ServerRanking(RankingPolicy{}, dataCentreOf(Number), Number),
        ServerSubset(Policy, "host-" + std::to_string(Number),
                     dataCentreOf(Number)),
        Node.Registry, Node.Loads, Now, Hooks);
    return Made;
  }

  void schedule(Duration Wait, std::function<void()> Action) {
    Events.push({Now + Wait, ++LastOrder, std::move(Action)});
  }

  void scheduleTick(Host &Node) {
    const Instant Next = Node.Flow->nextTick();
    if (Next >= Node.TickAt)
      return;
    Node.TickAt = Next;
    schedule(std::max(Duration::zero(), Next - Now), [this, &Node] {
      Node.TickAt = Instant::max();
      Node.Flow->tick(Now);
      scheduleTick(Node);
    });
  }

  void scheduleArrival() {
    const double Seconds = std::exponential_distribution<double>(Rate)(Random);
    schedule(Duration(static_cast<Duration::rep>(Seconds * 1e6)),
             [this, InRun = ArrivalRun] {
               if (InRun != ArrivalRun)
                 return;
               arrive(*Hosts[Random() % HostCount]);
               scheduleArrival();
             });
  }

  void arrive(Host &Node) {
    FlowRequest Request;
    Request.Id = RequestId(++LastRequest);
    Request.Route.Name = "read";
    Request.Route.Idempotent = true;
    Request.Route.Timeout = 3s;
    Request.Route.Objective = 1s;
    Request.Route.MaxAttempts = 2;
    Request.Service = {ServiceName("records"), "/health", 0, {}};
    Request.Request = std::make_shared<const CallerRequest>();
    Request.Priority = 1;
    Request.Arrived = Now;
    Request.Deadline = Now + Request.Route.Timeout;
    ++Result.Requests;
    Node.Flow->start(Now, std::move(Request));
    scheduleTick(Node);
  }

  /// A third of the servers are seven times slower; which ones changes every
  /// 500 ms.
  unsigned slowness(const DiscoveredServer &Of) const {
    const auto Phase =
        static_cast<std::uint64_t>(Now.time_since_epoch() / 500ms);
    std::seed_seq Seed{Phase, std::stoul(Of.Id.value())};
    return std::mt19937(Seed)() % 3 == 0 ? 700 : 100;
  }

  ServerLoad load(const DiscoveredServer &Of) const {
    const Server &At = Servers[std::stoul(Of.Id.value())];
    return {At.Running, static_cast<unsigned>(At.Waiting.size()), Slots,
            slowness(Of)};
  }

  /// Whether an idle connection is used.
  bool connect(Host &Node, const DiscoveredServer &To) {
    std::deque<Instant> &Idle = Node.Idle[To.Address];
    std::erase_if(Idle,
                  [this](Instant Since) { return Now - Since > MaxIdle; });
    if (Idle.empty()) {
      ++Result.NewConnections;
      return false;
    }
    Idle.pop_back();
    return true;
  }

  void probe(Host &Node, const DirectProbe &Probe) {
    ++Result.Probes;
    connect(Node, Probe.Server);
    // A host with 0.07 of a core handles an event up to 20 ms late.
    schedule(6ms + Duration(Random() % 20'000), [this, &Node, Probe] {
      Node.Idle[Probe.Server.Address].push_back(Now);
      Node.Flow->onProbeResult(
          Now, Probe.Id, {true, true, Probe.Server.Id, load(Probe.Server), {}});
      scheduleTick(Node);
    });
  }

  void call(Host &Node, const DirectCall &Call) {
    ++Result.Calls;
    ++Result.CallsByServer[std::stoul(Call.Server.Id.value())];
    const ServerLoadState *State = Node.Loads.find(Call.Server.Id);
    const bool IsKnown = State != nullptr && State->Load;
    Result.Fresh += IsKnown && Now - State->LoadUpdatedAt <= 20ms ? 1 : 0;
    Result.Recent += IsKnown && Now - State->LoadUpdatedAt <= 80ms ? 1 : 0;
    Result.CallsOnReused += connect(Node, Call.Server) ? 1 : 0;
    Server &At = Servers[std::stoul(Call.Server.Id.value())];
    At.Waiting.push_back([this, &Node, Call] { serve(Node, Call); });
    startNext(At);
  }

  static void startNext(Server &At) {
    if (At.Running >= Slots || At.Waiting.empty())
      return;
    ++At.Running;
    const std::function<void()> Serve = std::move(At.Waiting.front());
    At.Waiting.pop_front();
    Serve();
  }

  /// One request in 33 takes seven times as long as usual.
  void serve(Host &Node, const DirectCall &Call) {
    const unsigned Longer = Random() % 33 == 0 ? 7 : 1;
    schedule(90ms * Longer * slowness(Call.Server) / 100, [this, &Node, Call] {
      Server &At = Servers[std::stoul(Call.Server.Id.value())];
      --At.Running;
      startNext(At);
      Node.Idle[Call.Server.Address].push_back(Now);
      ServerCallResult Ended{CallEnd::Answered, {}};
      Ended.Answer.Reply = std::make_shared<const Answer>(Answer{200, {}, ""});
      Ended.Answer.Signed = true;
      Ended.Answer.Load = load(Call.Server);
      Node.Flow->onCallResult(Now, Call.Id, Ended);
      scheduleTick(Node);
    });
  }

  const double Rate;
  Instant Now{1h};
  std::mt19937_64 Random{1};
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Server> Servers;
  std::priority_queue<Event> Events;
  std::uint64_t LastOrder = 0;
  std::uint64_t LastRequest = 0;
  std::uint64_t ArrivalRun = 0;
  Outcome Result;
};

double share(unsigned Part, unsigned Whole) {
  return static_cast<double>(Part) / Whole;
}

/// Standard deviation of the calls of the servers, by their mean.
double spread(const Outcome &Of) {
  const auto Count = static_cast<double>(Of.CallsByServer.size());
  const double Mean = Of.Calls / Count;
  double Sum = 0;
  for (const unsigned Calls : Of.CallsByServer)
    Sum += (Calls - Mean) * (Calls - Mean);
  return std::sqrt(Sum / Count) / Mean;
}

void print(const char *Name, Outcome Of) {
  std::sort(Of.Latencies.begin(), Of.Latencies.end());
  const auto Quantile = [&Of](double Part) {
    return wholeMilliseconds(Of.Latencies[static_cast<std::size_t>(
        Part * static_cast<double>(Of.Latencies.size() - 1))]);
  };
  std::printf("%s: requests %u answered %.4f within_objective %.4f "
              "reused_calls %.3f fresh %.3f recent %.3f probes/request %.2f "
              "connections/request %.3f spread %.2f idle_servers %ld "
              "p50 %ld p99 %ld ms\n",
              Name, Of.Requests, share(Of.Answered, Of.Requests),
              share(Of.WithinObjective, Of.Requests),
              share(Of.CallsOnReused, Of.Calls), share(Of.Fresh, Of.Calls),
              share(Of.Recent, Of.Calls), share(Of.Probes, Of.Requests),
              share(Of.NewConnections, Of.Requests), spread(Of),
              std::count(Of.CallsByServer.begin(), Of.CallsByServer.end(), 0U),
              static_cast<long>(Quantile(0.5)),
              static_cast<long>(Quantile(0.99)));
}

// Guards against hosts that use no connection twice: 39,336 new connections
// were seen for 47,711 requests.
TEST(SmallHostFleetTest, reused_fewRequestsPerHost_connectionsAreUsedAgain) {
  SubsetPolicy Fixed;
  Fixed.MinReusedServers = Fixed.MinServers;
  SmallHostFleet Before(Fixed);
  Before.run(20s);
  const Outcome Old = Before.run(20s);
  print("before", Old);
  SmallHostFleet After({});
  After.run(20s);
  const Outcome New = After.run(20s);
  print("after", New);
  EXPECT_LT(New.NewConnections, Old.NewConnections / 2);
  EXPECT_GT(share(New.CallsOnReused, New.Calls), 0.9);
  EXPECT_GT(share(New.Recent, New.Calls), 0.9);
  // No worse for callers, and every server gets a part of the work.
  EXPECT_GE(share(New.WithinObjective, New.Requests),
            share(Old.WithinObjective, Old.Requests) - 0.002);
  EXPECT_EQ(std::count(New.CallsByServer.begin(), New.CallsByServer.end(), 0U),
            0);
  EXPECT_LT(spread(New), 0.6);
}

// Guards against servers that get no work after they have joined.
TEST(SmallHostFleetTest, reused_serversJoin_getWorkWithinSeconds) {
  SmallHostFleet Fleet({});
  Fleet.run(15s);
  for (unsigned Number = ServerCount; Number < ServerCount + 20; ++Number)
    Fleet.addServer(Number);
  const Outcome Result = Fleet.run(4s);
  EXPECT_EQ(std::count(Result.CallsByServer.end() - 20,
                       Result.CallsByServer.end(), 0U),
            0);
}

// Guards against a change for hosts with many requests a second.
TEST(SmallHostFleetTest, reused_manyRequestsPerHost_subsetIsAsBefore) {
  ServerRegistry Registry{[](const DiscoveredServer &, ServerChange) {}};
  for (unsigned Number = 0; Number < ServerCount; ++Number) {
    DiscoveredServer Server;
    Server.Id = ServerName(std::to_string(Number));
    Server.Service = ServiceName("records");
    Registry.update(Instant{}, Server);
  }
  ServerSubset Subset({}, "host", "here");
  const auto SizeAfter = [&](double Rate, Instant From) {
    std::size_t Size = 0;
    for (Instant Now = From; Now < From + 60s;
         Now += Duration(static_cast<Duration::rep>(1e6 / Rate))) {
      Subset.countRequest(Now, ServiceName("records"));
      Size = Subset.reused(Now, Registry, ServiceName("records"), HostCount)
                 .size();
    }
    return Size;
  };
  EXPECT_EQ(SizeAfter(20, Instant(1h)), 12U);
  EXPECT_EQ(SizeAfter(2.5, Instant(1h + 60s)), 6U);
  // Half a step more or less changes nothing.
  EXPECT_EQ(SizeAfter(4.5, Instant(1h + 120s)), 6U);
  EXPECT_EQ(SizeAfter(5.5, Instant(1h + 180s)), 9U);
  EXPECT_EQ(SizeAfter(3.5, Instant(1h + 240s)), 9U);
  EXPECT_EQ(SizeAfter(20, Instant(1h + 300s)), 12U);
}

} // namespace
} // namespace mimosacart
