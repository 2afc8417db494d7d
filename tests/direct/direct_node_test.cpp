/// \file
/// Requests that reach an entry host during its planned stop.
#include "direct/direct_node.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// A host with one route with a timeout of two seconds and one idle server.
class DirectNodeStopTest : public testing::Test {
protected:
  DirectNodeStopTest() {
    DirectNode::Hooks Callbacks;
    Callbacks.Call = [this](const DirectCall &) { ++Calls; };
    Callbacks.Cancel = [](CallId) {};
    Callbacks.Probe = [this](const DirectProbe &Probe) {
      OpenProbes.push_back(Probe.Id);
    };
    Callbacks.Reply = [this](const FlowResult &Result) {
      Results.push_back(Result.Refused);
    };
    Callbacks.Send = [](const std::string &, const PeerMessage &) {};
    Callbacks.ReadConfiguration = [](const TableRow &) {
      return makeConfiguration();
    };
    Callbacks.ReadServer = [](const TableRow &Row) {
      DiscoveredServer Server;
      Server.Id = ServerName(Row.Key);
      Server.Service = ServiceName("records");
      Server.Slots = 2;
      return Server;
    };
    Callbacks.SetReadMode = [](StoreTable, ReadMode) {};
    Callbacks.ReadTable = [](StoreTable) {};
    Callbacks.Configured = [](const RouteConfiguration &) {};
    Callbacks.Log = [](const char *, const FlowFields &) {};
    Callbacks.Records.Read = [] {};
    Node.emplace(Now, DirectNodeSettings{}, std::move(Callbacks));
    Node->onRows(Now, StoreTable::Servers, {{"s-1", 1, false, ""}}, 1);
    Node->onRows(Now, StoreTable::Routes, {{"config", 2, false, ""}}, 2);
    // A grace of ten seconds.
    Node->onStop(Now, Now + 4500ms, Now + 9750ms);
  }

  static std::variant<RouteConfigurationPtr, UnusableRow> makeConfiguration() {
    RouteConfiguration Configuration;
    Configuration.Version = 1;
    HostRoute Route;
    Route.Name = "r";
    Route.Host = "a.example";
    Route.Prefix = "/";
    Route.Timeout = 2s;
    Route.Objective = 500ms;
    Route.MaxAttempts = 1;
    Route.Services = {{ServiceName("records"), 1}};
    Configuration.Routes.push_back(Route);
    return std::make_shared<const RouteConfiguration>(Configuration);
  }

  /// Sends a request \p After the begin of the stop; \p Timeout is the
  /// caller's.
  void sendAt(Duration After, std::optional<Duration> Timeout = std::nullopt) {
    CallerRequest Request;
    Request.Method = "POST";
    Request.Target = "/x";
    Request.Timeout = Timeout;
    Node->onRequest(Now + After, RequestId(++LastRequest), "a.example",
                    std::make_shared<const CallerRequest>(Request));
    for (const CallId Id : std::exchange(OpenProbes, {})) {
      ProbeResult Idle;
      Idle.Answered = true;
      Idle.Healthy = true;
      Idle.Load = ServerLoad{0, 0, 2, 100};
      Node->onProbeResult(Now + After, Id, Idle);
    }
  }

  const Instant Now{1h};
  std::optional<DirectNode> Node;
  std::vector<CallId> OpenProbes;
  std::vector<Refusal> Results;
  unsigned Calls = 0;
  std::uint64_t LastRequest = 0;
};

// Guards against requests that are passed on late in the grace and cut with no
// answer at its end.
TEST_F(DirectNodeStopTest, onRequest_mayOutlastTheGrace_isRefusedAsNotRun) {
  sendAt(8s);
  EXPECT_EQ(Calls, 0U);
  ASSERT_EQ(Results.size(), 1U);
  EXPECT_EQ(Results[0].Outcome, RefusalOutcome::NotRun);
  EXPECT_EQ(Results[0].Reason, RefusalReason::Stopping);
}

TEST_F(DirectNodeStopTest, onRequest_endsWithinTheGrace_isPassedOn) {
  sendAt(7500ms);
  EXPECT_EQ(Calls, 1U);
}

TEST_F(DirectNodeStopTest, onRequest_impatientCallerLate_isPassedOn) {
  sendAt(8s, 1s);
  EXPECT_EQ(Calls, 1U);
}

TEST_F(DirectNodeStopTest, onRequest_callersStillUseTheHost_isPassedOn) {
  sendAt(1s);
  EXPECT_EQ(Calls, 1U);
}

} // namespace
} // namespace mimosacart
