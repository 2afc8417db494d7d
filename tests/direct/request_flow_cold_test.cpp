/// \file
/// Requests while servers are cold or outside the regions of the request.
#include "tests/direct/request_flow_fixture.h"

namespace mimosacart {
namespace {

class RequestFlowColdTest : public RequestFlowTest {
protected:
  static constexpr double Limit = 10;

  RequestFlowColdTest() {
    RouteConfiguration Configuration;
    const ServiceName Service("records");
    Configuration.Services[Service] = {Service, "/health", 100, Limit};
    Harness.Flow.onConfiguration(Configuration);
    Harness.reportLoad("a");
    Harness.reportLoad("b");
  }

  void enterCold(const std::string &Id, ServerChange Change) {
    DiscoveredServer Server = *Harness.Registry.find(ServerName(Id));
    Server.WarmUpLeft = 1min;
    Harness.Flow.onServerChanged(Harness.Now, Server, Change);
  }

  /// Starts requests for \p Span and answers them at once. Returns how many
  /// calls \p Server got.
  unsigned countCalls(const std::string &Server, Duration Span) {
    unsigned Result = 0;
    for (const Instant End = Harness.Now + Span; Harness.Now < End;) {
      Harness.reportLoad("a");
      Harness.reportLoad("b");
      Harness.start();
      Harness.advance(10ms);
      while (!Harness.Calls.empty()) {
        Result += firstServer() == Server ? 1 : 0;
        Harness.answer(firstServer(), 200);
      }
    }
    return Result;
  }
};

// Guards against more work for a cold server than it takes, and against
// refusals while another server has room.
TEST_F(RequestFlowColdTest, entry_serverIsCold_workGoesWhereThereIsRoom) {
  for (const ServerChange Change :
       {ServerChange::Joined, ServerChange::Restarted, ServerChange::Updated}) {
    enterCold("a", Change);
    EXPECT_LE(countCalls("a", 1s), Limit);
    for (const auto &[Id, Result] : Harness.Results)
      EXPECT_TRUE(Result.Reply);
  }
}

// Guards against hedges and retries that are sent beside the limit, and against
// servers that no host uses because all are cold.
TEST_F(RequestFlowColdTest, entry_allServersCold_areUsedUpToTheirLimits) {
  enterCold("a", ServerChange::Joined);
  enterCold("b", ServerChange::Joined);
  countCalls("", 5s);
  const auto Calls = static_cast<double>(Harness.Flow.counters().Calls);
  EXPECT_LE(Calls, 2 * Limit * 5 + 2);
  EXPECT_GE(Calls, 0.8 * 2 * Limit * 5);
}

// Guards against a server whose entry says nothing of its warm-up.
TEST_F(RequestFlowColdTest, healthAnswer_namesWarmUp_limitsTheServer) {
  Harness.addServer("c");
  Harness.start();
  ASSERT_EQ(Harness.openCalls().size(), 1U);
  ServerWishes Wishes;
  Wishes.WarmUpLeft = 1min;
  Harness.answer(firstServer(), 200, true, Wishes);
  EXPECT_EQ(Harness.Flow.constraints().coldServers(Harness.Now), 1U);
  EXPECT_EQ(Harness.Flow.constraints().coldServers(Harness.Now + 1min), 0U);
}

// Guards against a server outside the regions as the last resort, and against
// requests that wait for servers which may never run them.
TEST_F(RequestFlowColdTest, start_noServerInRegions_isRefusedAtOnce) {
  Harness.DataCentres = std::set<std::string>{"elsewhere"};
  const RequestId Id = Harness.start();
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Reason, RefusalReason::NoServer);
  EXPECT_TRUE(Harness.Probes.empty());
}

// Guards against a retry or hedge to an evacuated data centre.
TEST_F(RequestFlowColdTest, evacuation_beginsDuringCall_retryStaysAway) {
  Harness.start();
  Harness.Registry.setEvacuated("here", true);
  Harness.failCall(firstServer(), CallEnd::Broken);
  Harness.advance(2s);
  EXPECT_TRUE(Harness.openCalls().empty());
  EXPECT_EQ(Harness.Flow.openRequests(), 0U);
}

TEST_F(RequestFlowColdTest, evacuation_beginsDuringCall_hedgeStaysAway) {
  Harness.start();
  Harness.Registry.setEvacuated("here", true);
  Harness.advance(900ms);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_EQ(Harness.Flow.counters().Calls, 1U);
}

} // namespace
} // namespace mimosacart
