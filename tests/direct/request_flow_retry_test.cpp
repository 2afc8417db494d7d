/// \file
/// Which sends RequestFlow takes from the budget of retries. Guards against a
/// way in which a request reaches a server once more without being counted.
#include "tests/direct/request_flow_fixture.h"

namespace mimosacart {
namespace {

class RequestFlowRetryTest : public RequestFlowTest {
protected:
  RequestFlowRetryTest() {
    Harness.addServer("c");
    for (const char *Server : {"a", "b", "c"})
      Harness.reportLoad(Server);
  }
  std::size_t usedRetries() const {
    return Harness.Flow.retryBudgets(Harness.Now).at(0).Used;
  }
  /// Lets the selection after a failed call find its next server.
  void chooseNext() { Harness.answerProbes(IdleLoad); }
};

TEST_F(RequestFlowRetryTest, sendCall_first_takesNone) {
  Harness.start();
  EXPECT_EQ(usedRetries(), 0U);
}

TEST_F(RequestFlowRetryTest, sendCall_afterRefusal_takesOne) {
  useNonIdempotentRoute();
  Harness.start();
  Harness.answerNotRun(firstServer());
  chooseNext();
  ASSERT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_EQ(usedRetries(), 1U);
}

TEST_F(RequestFlowRetryTest, sendCall_afterOtherServerAtAddress_takesOne) {
  useNonIdempotentRoute();
  Harness.start();
  Harness.answerWrongServer(firstServer());
  chooseNext();
  ASSERT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_EQ(usedRetries(), 1U);
}

TEST_F(RequestFlowRetryTest, sendCall_afterClosedConnection_takesOne) {
  Harness.start();
  Harness.failCall(firstServer(), CallEnd::Broken);
  chooseNext();
  ASSERT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_EQ(usedRetries(), 1U);
}

TEST_F(RequestFlowRetryTest, sendCall_firstWasNotSent_takesNone) {
  Harness.start();
  Harness.failCall(firstServer(), CallEnd::NotSent);
  chooseNext();
  ASSERT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_EQ(usedRetries(), 0U);
}

TEST_F(RequestFlowRetryTest, onCallResult_retryWasNotSent_givesNoneBack) {
  Harness.start();
  Harness.failCall(firstServer(), CallEnd::Broken);
  chooseNext();
  Harness.failCall(firstServer(), CallEnd::NotSent);
  chooseNext();
  ASSERT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_EQ(usedRetries(), 2U);
}

TEST_F(RequestFlowRetryTest, sendCall_hedgeOpenAndCallFails_takesOneInAll) {
  const RequestId Id = Harness.start();
  const std::string First = firstServer();
  Harness.advance(220ms);
  chooseNext();
  ASSERT_EQ(Harness.openCalls().size(), 2U);
  EXPECT_EQ(usedRetries(), 1U);
  Harness.failCall(First, CallEnd::Broken);
  Harness.failCall(firstServer(), CallEnd::Broken);
  chooseNext();
  // The route allows two attempts.
  EXPECT_TRUE(Harness.openCalls().empty());
  EXPECT_TRUE(Harness.ended(Id));
  EXPECT_EQ(usedRetries(), 1U);
}

TEST_F(RequestFlowRetryTest, sendCall_retryLater_carriesTimeLeft) {
  Harness.start();
  Harness.advance(100ms);
  Harness.failCall(firstServer(), CallEnd::Broken);
  chooseNext();
  ASSERT_FALSE(Harness.Calls.empty());
  EXPECT_EQ(Harness.Calls.back().Remaining, 900ms);
}

// Guards against requests that reach servers after their callers have left,
// because the event loop is late.
class RequestFlowDepartureTest : public RequestFlowRetryTest {
protected:
  RequestFlowDepartureTest() { Harness.Route.Timeout = 2s; }
  /// Calls started after the first one that the test starts.
  std::size_t laterCalls() const {
    return Harness.Flow.counters().Calls - FirstCalls;
  }
  void startFirst() {
    Id = Harness.start();
    FirstCalls = Harness.Flow.counters().Calls;
    ASSERT_EQ(FirstCalls, 1U);
  }

  RequestId Id;
  std::uint64_t FirstCalls = 0;
};

TEST_F(RequestFlowDepartureTest, sendCall_callerLeftBefore_nothingIsSent) {
  Harness.Gone.insert(RequestId(1));
  Harness.start();
  EXPECT_TRUE(Harness.Calls.empty());
  EXPECT_EQ(Harness.Flow.openRequests(), 0U);
  EXPECT_EQ(Harness.Flow.counters().SendsToGoneCallers, 1U);
}

TEST_F(RequestFlowDepartureTest, sendCall_deadlinePassedByClock_isRefused) {
  Harness.Lateness = 4300ms;
  const RequestId Late = Harness.start();
  EXPECT_TRUE(Harness.Calls.empty());
  ASSERT_TRUE(Harness.ended(Late));
  EXPECT_EQ(Harness.result(Late).Refused.Reason, RefusalReason::DeadlinePassed);
}

TEST_F(RequestFlowDepartureTest, sendCall_loopIsLate_serverGetsTheRest) {
  Harness.Lateness = 500ms;
  Harness.start();
  ASSERT_EQ(Harness.Calls.size(), 1U);
  EXPECT_EQ(Harness.Calls.front().Remaining, 1500ms);
}

TEST_F(RequestFlowDepartureTest, sendCall_callerLeftBeforeRetry_isNotSent) {
  startFirst();
  Harness.Gone.insert(Id);
  Harness.failCall(firstServer(), CallEnd::Broken);
  chooseNext();
  EXPECT_EQ(laterCalls(), 0U);
  EXPECT_EQ(Harness.Flow.openRequests(), 0U);
}

TEST_F(RequestFlowDepartureTest, sendCall_callerLeftBeforeHedge_callsEnd) {
  startFirst();
  Harness.Gone.insert(Id);
  Harness.advanceAnsweringProbes(1s, IdleLoad, Id);
  EXPECT_EQ(laterCalls(), 0U);
  EXPECT_EQ(Harness.Cancelled.size(), 1U);
}

} // namespace
} // namespace mimosacart
