/// \file
/// Limits, pauses and departures that servers announce.
#include "tests/direct/request_flow_fixture.h"

namespace mimosacart {
namespace {

TEST(RequestFlowLimitTest, start_serverNamesLimit_getsNoMoreThanAllowed) {
  constexpr double Limit = 3;
  constexpr double Allowed = 1.5 * Limit * 4 + 5;
  FlowHarness Harness;
  Harness.addServer("a", 50);
  Harness.reportLoad("a");
  Harness.start();
  Harness.answer("a", 200, true, {Limit, false, {}, false});
  unsigned Calls = 0;
  for (Instant End = Harness.Now + 4s; Harness.Now < End;) {
    Harness.reportLoad("a");
    Harness.start();
    Harness.advance(20ms);
    for (; !Harness.Calls.empty(); ++Calls)
      Harness.answer("a", 200, true, {Limit, false, {}, false});
  }
  EXPECT_LE(Calls, Allowed);
  EXPECT_GE(Calls, Limit * 4 / 2);
}

// Guards against holding a request that no server may take in time.
TEST(RequestFlowLimitTest, start_nextRequestAllowedTooLate_isRefusedAtOnce) {
  FlowHarness Harness;
  Harness.addServer("a", 50);
  Harness.reportLoad("a");
  Harness.start();
  Harness.answer("a", 200, true, {1.0, false, {}, false});
  const RequestId Id = Harness.start();
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_GE(Harness.result(Id).Refused.RetryAfter, 900ms);
}

// Guards against keeping a limit that the server does not name any more.
TEST(RequestFlowLimitTest, onAnswer_limitNoLongerNamed_isDropped) {
  FlowHarness Harness;
  Harness.addServer("a", 50);
  Harness.reportLoad("a");
  Harness.start();
  Harness.start();
  Harness.answer("a", 200, true, {1.0, false, {}, false});
  Harness.answer("a", 200);
  Harness.start();
  EXPECT_EQ(Harness.openCalls().size(), 1U);
}

/// A server whose limit leaves no request for the next seconds.
class RequestFlowKeptLimitTest : public testing::Test {
protected:
  RequestFlowKeptLimitTest() {
    Harness.addServer("a", 50);
    Harness.reportLoad("a");
    Harness.start();
    Harness.start();
    Harness.answer("a", 200, true, Limited);
  }

  bool isLimited() {
    Harness.reportLoad("a");
    const std::size_t Before = Harness.openCalls().size();
    Harness.start();
    return Harness.openCalls().size() == Before;
  }

  const ServerWishes Limited{0.25, false, {}, false};
  FlowHarness Harness;
};

// Guards against errors, refusals and unsigned answers that end a limit, since
// they may lack what other answers name.
TEST_F(RequestFlowKeptLimitTest, onAnswer_failureWithoutLimit_keepsIt) {
  for (const unsigned Status : {404U, 429U, 500U, 503U}) {
    Harness.answer("a", Status);
    EXPECT_TRUE(isLimited()) << Status;
    // Another request is open for the next answer.
    Harness.advance(5s);
    Harness.reportLoad("a");
    Harness.start();
    ASSERT_EQ(Harness.openCalls(), Strings(1, "a")) << Status;
  }
  Harness.answer("a", 200, false);
  EXPECT_TRUE(isLimited());
}

TEST_F(RequestFlowKeptLimitTest, onAnswer_unusableLimit_keepsTheLast) {
  Harness.answer("a", 200, true, {{}, false, {}, true});
  EXPECT_TRUE(isLimited());
}

TEST_F(RequestFlowKeptLimitTest, onAnswer_successWithoutLimit_endsIt) {
  Harness.answer("a", 200);
  EXPECT_FALSE(isLimited());
}

// Guards against limits that only successes may name.
TEST(RequestFlowLimitTest, onAnswer_failureNamesLimit_isKept) {
  for (const unsigned Status : {404U, 500U, 503U}) {
    FlowHarness Harness;
    Harness.addServer("a", 50);
    Harness.reportLoad("a");
    Harness.start();
    Harness.answer("a", Status, true, {0.25, false, {}, false});
    Harness.reportLoad("a");
    Harness.start();
    EXPECT_TRUE(Harness.openCalls().empty()) << Status;
    EXPECT_EQ(Harness.Flow.constraints().limitedServers(), 1U) << Status;
  }
}

/// Servers that say that they leave or want no requests for a while.
class RequestFlowWishTest : public RequestFlowTest {
protected:
  RequestFlowWishTest() {
    Harness.reportLoad("a");
    Harness.reportLoad("b", 2);
    Harness.start();
  }
};

// Guards against requests to a server that says that it is leaving while the
// store is away.
TEST_F(RequestFlowWishTest, onAnswer_serverIsLeaving_getsNoMore) {
  Harness.answer("a", 200, true, {{}, true, {}, false});
  for (unsigned Count = 0; Count < 5; ++Count) {
    Harness.reportLoad("a");
    Harness.reportLoad("b");
    Harness.start();
  }
  EXPECT_EQ(Harness.openCalls(), Strings(2, "b"));
}

// Guards against requests, probes and retries to a server that asked this host
// for a pause.
TEST_F(RequestFlowWishTest, onAnswer_serverWantsPause_getsNothingUntilItsEnd) {
  Harness.answer("a", 503, true, {{}, false, 2s, false});
  Harness.advance(1900ms);
  for (const DirectProbe &Probe : Harness.Probes)
    EXPECT_EQ(Probe.Server.Id.value(), "b");
  for (const std::string &Server : Harness.openCalls())
    EXPECT_EQ(Server, "b");
  Harness.advance(200ms);
  Harness.start();
  Harness.answerProbes(IdleLoad);
  EXPECT_FALSE(Harness.openCalls().empty());
}

// Guards against a pause that an earlier incarnation asked for.
TEST_F(RequestFlowWishTest, onAnswer_serverRestartedSince_isNotPaused) {
  DiscoveredServer Restarted = *Harness.Registry.find(ServerName("a"));
  Restarted.Incarnation = 2;
  Harness.Registry.update(Harness.Now, Restarted);
  Harness.answer("a", 503, true, {{}, false, 5s, false});
  EXPECT_EQ(Harness.Flow.constraints().quietServers(Harness.Now), 0U);
}

// Guards against holding requests while all servers want a pause, and against a
// Retry-After that is too short.
TEST_F(RequestFlowWishTest, start_allServersWantPause_refusesWithItsEnd) {
  Harness.Registry.remove(Harness.Now, ServerName("b"), false);
  Harness.answer("a", 503, true, {{}, false, 5s, false});
  const RequestId Id = Harness.start();
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_GE(Harness.result(Id).Refused.RetryAfter, 5s);
  EXPECT_EQ(Harness.result(Id).Total, 0s);
}

} // namespace
} // namespace mimosacart
