/// \file
/// Requests that are suspected of crashing servers, at one host.
#include "direct/direct_node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <utility>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// A host with one route for once-only work and servers that a test plays.
class DirectNodeCrashTest : public testing::Test {
protected:
  DirectNodeCrashTest() {
    DirectNode::Hooks Callbacks;
    Callbacks.Call = [this](const DirectCall &Call) {
      OpenCalls.push_back(Call);
    };
    Callbacks.Cancel = [](CallId) {};
    Callbacks.Probe = [this](const DirectProbe &Probe) {
      OpenProbes.push_back(Probe);
    };
    Callbacks.Reply = [this](const FlowResult &Result) {
      Results[Result.Id] = Result.Refused.Reason;
    };
    Callbacks.Send = [](const std::string &, const PeerMessage &) {};
    Callbacks.ReadConfiguration = [this](const TableRow &) {
      return makeConfiguration();
    };
    Callbacks.ReadServer = [](const TableRow &Row) {
      return makeServer(Row.Key, Row.Value);
    };
    Callbacks.SetReadMode = [](StoreTable, ReadMode) {};
    Callbacks.ReadTable = [](StoreTable) {};
    Callbacks.Configured = [](const RouteConfiguration &) {};
    Callbacks.Log = [](const char *, const FlowFields &) {};
    Callbacks.Records.Read = [] {};
    Callbacks.Records.Write = [](std::uint64_t,
                                 const std::vector<CrashNotice> &) {};
    Callbacks.Records.Remove = [](std::uint64_t) {};
    Node.emplace(Now, DirectNodeSettings{}, std::move(Callbacks));
    configure();
  }

  void configure() {
    const std::uint64_t Version = ++LastVersion;
    Node->onRows(Now, StoreTable::Routes,
                 {{"config", Version, false, std::to_string(Version)}},
                 Version);
  }

  std::variant<RouteConfigurationPtr, UnusableRow> makeConfiguration() const {
    RouteConfiguration Configuration;
    Configuration.Version = LastVersion;
    HostRoute Route;
    Route.Name = "r";
    Route.Host = "a.example";
    Route.Prefix = "/";
    Route.Timeout = 2s;
    Route.Objective = 500ms;
    Route.MaxAttempts = 1;
    for (const char *Service : Services)
      Route.Services.push_back({ServiceName(Service), 1});
    Configuration.Routes.push_back(Route);
    return std::make_shared<const RouteConfiguration>(Configuration);
  }

  static DiscoveredServer makeServer(const std::string &Id,
                                     const std::string &Address) {
    DiscoveredServer Server;
    Server.Id = ServerName(Id);
    Server.Service = ServiceName(Id.starts_with("split") ? "split" : "records");
    Server.Address = Address;
    Server.Slots = 2;
    return Server;
  }

  void addServer(const std::string &Id, const std::string &Address) {
    const TableRow Row{Id, ++LastVersion, false, Address};
    Node->onRows(Now, StoreTable::Servers, {Row}, LastVersion);
  }

  void removeServer(const std::string &Id) {
    const TableRow Row{Id, ++LastVersion, true, ""};
    Node->onRows(Now, StoreTable::Servers, {Row}, LastVersion);
  }

  /// Sends a request; those with one target are alike.
  RequestId send(const std::string &Target = "/x") {
    CallerRequest Request;
    Request.Method = "POST";
    Request.Target = Target;
    const RequestId Id(++LastRequest);
    Node->onRequest(Now, Id, "a.example",
                    std::make_shared<const CallerRequest>(Request));
    answerProbes(true);
    return Id;
  }

  void answerProbes(bool Alive) {
    for (const DirectProbe &Probe : std::exchange(OpenProbes, {})) {
      ProbeResult Result;
      Result.Answered = Alive;
      Result.Healthy = Alive;
      Result.Load = ServerLoad{0, 0, 2, 100};
      Node->onProbeResult(Now, Probe.Id, Result);
    }
  }

  /// Ends all open calls with a good answer.
  void answerCalls() {
    for (const DirectCall &Call : std::exchange(OpenCalls, {})) {
      ServerCallResult Result{CallEnd::Answered, {}};
      Result.Answer.Reply =
          std::make_shared<const Answer>(Answer{200, {}, "done"});
      Result.Answer.Signed = true;
      Result.Answer.Load = ServerLoad{0, 0, 2, 100};
      Node->onCallResult(Now, Call.Id, Result);
    }
  }

  /// Breaks all open calls; their servers answer no probe.
  void crashCalledServers() {
    for (const DirectCall &Call : std::exchange(OpenCalls, {}))
      Node->onCallResult(Now, Call.Id, {CallEnd::Broken, {}});
    answerProbes(false);
  }

  /// Sends copies until each server has one open; then all servers end.
  void crashEachServer(std::size_t Servers) {
    for (std::size_t Copy = 0; Copy < 2 * Servers; ++Copy)
      send();
    crashCalledServers();
  }

  /// Advances the time; the servers answer all probes.
  void advance(Duration Span) {
    constexpr Duration Step = 100ms;
    for (const Instant End = Now + Span; Now < End;) {
      Now += Step;
      Node->tick(Now);
      answerProbes(true);
    }
  }

  bool isRefused(RequestId Id) const {
    const auto Found = Results.find(Id);
    return Found != Results.end() &&
           Found->second == RefusalReason::Quarantined;
  }

  Instant Now{1h};
  std::vector<const char *> Services = {"records"};
  std::optional<DirectNode> Node;
  std::vector<DirectCall> OpenCalls;
  std::vector<DirectProbe> OpenProbes;
  std::map<RequestId, RefusalReason> Results;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastVersion = 0;
};

TEST_F(DirectNodeCrashTest, onRequest_crashedThreeServers_isRefused) {
  for (const char *Id : {"a", "b", "c"})
    addServer(Id, Id);
  crashEachServer(3);
  EXPECT_TRUE(isRefused(send()));
}

// Guards against a request that one service of a split serves and that crashes
// each server of the other.
TEST_F(DirectNodeCrashTest, onRequest_crashesOneServiceOfSplit_isRefusedThere) {
  Services = {"records", "split"};
  configure();
  addServer("a", "a");
  for (const char *Id : {"split-1", "split-2", "split-3", "split-4", "split-5"})
    addServer(Id, Id);
  unsigned Crashes = 0;
  for (unsigned Copy = 0; Copy < 30; ++Copy) {
    send();
    if (OpenCalls.empty())
      continue;
    const DiscoveredServer Called = OpenCalls.back().Server;
    if (Called.Service == ServiceName("records")) {
      answerCalls();
      continue;
    }
    ++Crashes;
    crashCalledServers();
    removeServer(Called.Id.value());
    advance(4s);
  }
  EXPECT_EQ(Crashes, 3U);
}

// Guards against refusing all requests of a kind because one process ended
// whose earlier ids are still in discovery.
TEST_F(DirectNodeCrashTest, onRequest_processWithThreeIdsEnded_isPassedOn) {
  for (const char *Id : {"a-1", "a-2", "a-3"})
    addServer(Id, "a");
  crashEachServer(3);
  EXPECT_FALSE(isRefused(send()));
}

// Guards against refusing a frequent request because many servers that ran
// copies of it fell silent at once.
TEST_F(DirectNodeCrashTest, onRequest_lostServersAmidServedCopies_isPassedOn) {
  for (const char *Id : {"a", "b", "c", "d", "e", "f"})
    addServer(Id, Id);
  send();
  answerCalls();
  advance(2s);
  crashEachServer(6);
  EXPECT_FALSE(isRefused(send()));
}

// Guards against the same where it takes the calls' whole time to notice it.
TEST_F(DirectNodeCrashTest, onRequest_serversSilentAfterServed_isPassedOn) {
  for (const char *Id : {"a", "b", "c"})
    addServer(Id, Id);
  send();
  answerCalls();
  advance(2s);
  for (unsigned Copy = 0; Copy < 6; ++Copy)
    send();
  advance(2300ms);
  for (const DirectCall &Call : std::exchange(OpenCalls, {}))
    Node->onCallResult(Now, Call.Id, {CallEnd::TimedOut, {}});
  answerProbes(false);
  EXPECT_FALSE(isRefused(send()));
}

// A request that was harmless may crash servers from some moment on.
TEST_F(DirectNodeCrashTest, onRequest_crashesLongAfterServedCopy_isRefused) {
  for (const char *Id : {"a", "b", "c"})
    addServer(Id, Id);
  send();
  answerCalls();
  advance(4s);
  crashEachServer(3);
  EXPECT_TRUE(isRefused(send()));
}

// Guards against blaming a request for the cancelled or lost call, if a copy
// was served before the server ended.
TEST_F(DirectNodeCrashTest, onRequest_copyServedBetweenCallAndEnd_isPassedOn) {
  for (const char *Id : {"a", "b", "c"})
    addServer(Id, Id);
  for (unsigned Copy = 0; Copy < 6; ++Copy)
    send();
  for (const DirectCall &Call : std::exchange(OpenCalls, {}))
    Node->onCallResult(Now, Call.Id, {CallEnd::TimedOut, {}});
  answerProbes(true);
  send();
  answerCalls();
  advance(1s);
  for (const char *Id : {"a", "b", "c"})
    removeServer(Id);
  addServer("d", "d");
  EXPECT_FALSE(isRefused(send()));
}

// Requests that servers run to their end excuse no other one.
TEST_F(DirectNodeCrashTest, onRequest_othersAreServed_harmfulOneStaysRefused) {
  for (const char *Id : {"a", "b", "c"})
    addServer(Id, Id);
  send("/y");
  answerCalls();
  crashEachServer(3);
  for (unsigned Second = 0; Second < 30; ++Second) {
    advance(1s);
    EXPECT_TRUE(isRefused(send()));
    const RequestId Other = send("/y");
    answerCalls();
    EXPECT_FALSE(isRefused(Other));
  }
}

// Guards against throwing away an answer that comes after its caller has left.
TEST_F(DirectNodeCrashTest, onCallResult_servedAfterCallerLeft_isReleased) {
  for (const char *Id : {"a", "b", "c", "d"})
    addServer(Id, Id);
  const RequestId Left = send();
  Node->onCallerGone(Now, Left);
  const DirectCall Served = OpenCalls.front();
  OpenCalls.clear();
  for (unsigned Copy = 0; Copy < 7; ++Copy)
    send();
  std::erase_if(OpenCalls, [&Served](const DirectCall &Call) {
    return Call.Server.Id == Served.Server.Id;
  });
  crashCalledServers();
  ASSERT_TRUE(isRefused(send()));
  OpenCalls = {Served};
  answerCalls();
  EXPECT_FALSE(isRefused(send()));
}

} // namespace
} // namespace mimosacart
