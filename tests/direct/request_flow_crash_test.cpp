/// \file
/// Requests that crash servers.
#include "tests/direct/request_flow_fixture.h"

namespace mimosacart {
namespace {

/// Requests that crash the servers that run them.
class RequestFlowCrashTest : public RequestFlowTest {
protected:
  RequestFlowCrashTest() {
    Harness.reportLoad("a");
    Harness.reportLoad("b");
  }

  std::size_t crashes(const std::string &Body) {
    return Harness.CrashCounts[FlowHarness::fingerprintOf(Body)];
  }
};

// Guards against crashes that go uncounted because the server falls silent and
// its call ends after the request's deadline.
TEST_F(RequestFlowCrashTest, onCallResult_silentServerAfterDeadline_isCounted) {
  Harness.start("copy");
  const std::string Server = firstServer();
  Harness.Flow.tick(Harness.Now);
  Harness.advance(Harness.Route.Timeout + 300ms);
  Harness.failProbes();
  for (const std::string &Open : Harness.openCalls())
    Harness.failCall(Open, CallEnd::TimedOut);
  Harness.failProbes();
  EXPECT_GE(crashes("copy"), 1U);
}

// Guards against crashes that go uncounted because the caller left before the
// connection to the server broke.
TEST_F(RequestFlowCrashTest, onCallResult_brokenAfterCallerLeft_isCounted) {
  useNonIdempotentRoute();
  const RequestId Id = Harness.start("copy");
  Harness.Flow.abandon(Harness.Now, Id);
  Harness.failCall(firstServer(), CallEnd::Broken);
  Harness.failProbes();
  EXPECT_EQ(crashes("copy"), 1U);
}

// Guards against crashes that go uncounted because the call was cancelled when
// the caller left, and the server ended afterwards.
TEST_F(RequestFlowCrashTest, abandon_serverStopsAnsweringAfterwards_isCounted) {
  const RequestId Id = Harness.start("copy");
  const std::string Server = firstServer();
  Harness.Flow.abandon(Harness.Now, Id);
  Harness.advance(1s);
  Harness.start("other");
  ASSERT_FALSE(Harness.Probes.empty());
  Harness.failProbes();
  EXPECT_EQ(crashes("copy"), 1U);
  EXPECT_EQ(crashes("other"), 0U);
}

// Guards against uncounted crashes of a server that is back, and answers,
// before its silence is noticed.
TEST_F(RequestFlowCrashTest, onServerChanged_silentServerCameBack_isCounted) {
  Harness.start("copy");
  const std::string Server = firstServer();
  Harness.advance(Harness.Route.Timeout + 300ms);
  Harness.failCall(Server, CallEnd::TimedOut);
  Harness.answerProbes(IdleLoad);
  EXPECT_EQ(crashes("copy"), 0U);
  const DiscoveredServer Restarted = *Harness.Registry.find(ServerName(Server));
  Harness.Flow.onServerChanged(Harness.Now, Restarted, ServerChange::Restarted);
  Harness.Flow.onServerChanged(Harness.Now, Restarted, ServerChange::Restarted);
  EXPECT_EQ(crashes("copy"), 1U);
}

// Guards against blaming a request whose server answered after it and ended
// only then.
TEST_F(RequestFlowCrashTest, onProbeResult_serverAnsweredSince_isNotCounted) {
  const RequestId Id = Harness.start("copy");
  const std::string Server = firstServer();
  Harness.Flow.abandon(Harness.Now, Id);
  Harness.advance(1s);
  Harness.start("other");
  Harness.answerProbes(IdleLoad);
  Harness.advance(1s);
  Harness.start("third");
  Harness.failProbes();
  EXPECT_EQ(crashes("copy"), 0U);
}

// Guards against blaming a frequent request for servers that end by themselves.
TEST_F(RequestFlowCrashTest, onAnswer_copyWasServed_crashesAreExcused) {
  Harness.CrashCounts[FlowHarness::fingerprintOf("copy")] = 2;
  Harness.start("copy");
  Harness.answer(firstServer(), 200);
  EXPECT_EQ(crashes("copy"), 0U);
}

// Guards against sending a request that was quarantined while it waited.
TEST_F(RequestFlowCrashTest, start_quarantinedWhileHeld_isNotSent) {
  Harness.advance(1s);
  const RequestId Id = Harness.start("copy");
  Harness.answerProbes(FullWithQueueLoad);
  Harness.CrashCounts[FlowHarness::fingerprintOf("copy")] = 3;
  Harness.advance(60ms);
  Harness.answerProbes(IdleLoad);
  EXPECT_TRUE(Harness.openCalls().empty());
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Reason, RefusalReason::Quarantined);
}

// Guards against sending a server more than the limit that it names.

} // namespace
} // namespace mimosacart
