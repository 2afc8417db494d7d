/// \file
/// Choice of servers, retries, hedges and deadlines of requests.
#include "tests/direct/request_flow_fixture.h"

namespace mimosacart {
namespace {

TEST_F(RequestFlowTest, start_nominalServerWithFreshLoad_sendsWithoutProbe) {
  Harness.reportLoad("a", 2);
  Harness.reportLoad("b");
  Harness.start();
  EXPECT_EQ(Harness.openCalls(), Strings{"b"});
  EXPECT_TRUE(Harness.Probes.empty());
}

TEST_F(RequestFlowTest, start_noLoadKnown_probesTwoServersFirst) {
  Harness.addServer("c");
  Harness.start();
  EXPECT_EQ(Harness.Probes.size(), 2U);
  EXPECT_TRUE(Harness.openCalls().empty());
  Harness.answerProbes(IdleLoad);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
}

TEST_F(RequestFlowTest, finish_probesAndRetry_addedIsTimeWithoutOpenCall) {
  const RequestId Id = Harness.start();
  Harness.advance(3ms);
  Harness.answerProbes(IdleLoad);
  Harness.advance(100ms);
  Harness.answer(firstServer(), 500);
  Harness.advance(2ms);
  Harness.answerProbes(IdleLoad);
  ASSERT_EQ(Harness.openCalls().size(), 1U);
  Harness.advance(50ms);
  Harness.answer(firstServer(), 200);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Total, 155ms);
  EXPECT_EQ(Harness.result(Id).Added, 5ms);
}

TEST_F(RequestFlowTest, start_allServersSlow_sendsToBestAfterHold) {
  Harness.reportLoad("a");
  Harness.start();
  Harness.advance(100ms);
  Harness.answer("a", 200);
  // The baseline is now 100 ms, so the expected latency at a slowness of 700 %
  // is 700 ms: more than the objective and less than the timeout.
  const RequestId Id = Harness.start();
  for (unsigned Step = 0; Step < 20; ++Step) {
    Harness.answerProbes(SlowLoad);
    Harness.advance(10ms);
  }
  EXPECT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_FALSE(Harness.ended(Id));
}

TEST_F(RequestFlowTest, start_probesUnanswered_sendsAfterProbeRounds) {
  Harness.start();
  Harness.advance(100ms);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
}

TEST_F(RequestFlowTest, start_twoRequests_shareProbes) {
  Harness.start();
  Harness.start();
  EXPECT_EQ(Harness.Probes.size(), 2U);
  Harness.answerProbes(IdleLoad);
  EXPECT_EQ(Harness.openCalls().size(), 2U);
}

TEST_F(RequestFlowTest, start_noServer_refusesAtOnceAsNotRun) {
  Harness.Registry.replace(Harness.Now, {}, false);
  const RequestId Id = Harness.start();
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_GT(Harness.result(Id).Refused.RetryAfter, 0ms);
}

TEST_F(RequestFlowTest, start_allServersFull_holdsThenRefusesAsNotRun) {
  const RequestId Id = Harness.start();
  Harness.answerProbes(FullWithQueueLoad);
  EXPECT_FALSE(Harness.ended(Id));
  Harness.advanceAnsweringProbes(200ms, FullWithQueueLoad, Id);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_LE(Harness.result(Id).Total, Harness.Route.Objective / 2);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, start_heldRequest_isSentOnceServerHasHeadroom) {
  const RequestId Id = Harness.start();
  Harness.answerProbes(FullWithQueueLoad);
  Harness.advance(60ms);
  Harness.answerProbes(IdleLoad);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
  Harness.answer(firstServer(), 200);
  EXPECT_EQ(Harness.result(Id).Reply->Status, 200U);
}

TEST(RequestFlowHeadroomTest, start_afterOverload_baselineIsUnchanged) {
  constexpr ServerLoad LastSlot{5, 0, 6, 100};
  FlowHarness Harness;
  Harness.addServer("a", 6);
  Harness.Route.Priority = 0;
  Harness.reportLoad("a");
  Harness.start();
  Harness.advance(100ms);
  Harness.answer("a", 200);
  for (unsigned Count = 0; Count < 50; ++Count) {
    Harness.start();
    Harness.answerProbes(LastSlot);
    Harness.advance(50ms);
    Harness.advance(300ms);
    Harness.answer("a", 200);
  }
  // Twice the baseline of 100 ms fits in the objective of 400 ms, so the
  // request is not held.
  Harness.advance(1s);
  Harness.start();
  Harness.answerProbes({0, 0, 6, 200});
  Harness.advance(50ms);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
}

TEST(RequestFlowHeadroomTest,
     start_serverWithoutHeadroom_servesOnlyUrgentRequests) {
  constexpr ServerLoad NearFull{4, 0, 6, 100};
  FlowHarness Harness;
  Harness.addServer("a", 6);
  const RequestId NormalRequest = Harness.start();
  Harness.answerProbes(NearFull);
  Harness.advanceAnsweringProbes(200ms, NearFull, NormalRequest);
  ASSERT_TRUE(Harness.ended(NormalRequest));
  EXPECT_EQ(Harness.result(NormalRequest).Refused.Outcome,
            RefusalOutcome::NotRun);
  EXPECT_TRUE(Harness.Calls.empty());
  Harness.Route.Priority = 0;
  Harness.start();
  Harness.answerProbes(NearFull);
  Harness.advance(50ms);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
}

TEST(RequestFlowHeadroomTest,
     start_probedServersSlow_probesOthersBeforeSending) {
  constexpr unsigned Servers = 12;
  FlowHarness Harness;
  for (unsigned Number = 0; Number < Servers; ++Number)
    Harness.addServer("s" + std::to_string(Number));
  Harness.start();
  unsigned Probed = 0;
  while (Probed < 8) {
    Probed += static_cast<unsigned>(Harness.Probes.size());
    Harness.answerProbes(SlowLoad);
    Harness.advance(1ms);
  }
  EXPECT_TRUE(Harness.Calls.empty());
  Harness.advance(30ms);
  ASSERT_FALSE(Harness.Probes.empty());
  Harness.answerProbes(IdleLoad);
  EXPECT_EQ(Harness.Calls.size(), 1U);
}

TEST_F(RequestFlowTest, start_allSlotsBusy_refusesInsteadOfQueueing) {
  const RequestId Id = Harness.start();
  Harness.answerProbes(FullLoad);
  Harness.advanceAnsweringProbes(200ms, FullLoad, Id);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_serverError_isForwardedUnchanged) {
  useNonIdempotentRoute();
  Harness.reportLoad("a");
  const RequestId Id = Harness.start();
  Harness.answer("a", 500);
  EXPECT_EQ(Harness.result(Id).Reply->Status, 500U);
}

TEST_F(RequestFlowTest,
       onCallResult_nonIdempotentBroken_isUnknownAndNotRetried) {
  useNonIdempotentRoute();
  Harness.reportLoad("a");
  const RequestId Id = Harness.start();
  Harness.failCall("a", CallEnd::Broken);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::Unknown);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_nonIdempotentNotRun_isRetriedElsewhere) {
  useNonIdempotentRoute();
  Harness.reportLoad("a");
  Harness.reportLoad("b");
  const RequestId Id = Harness.start();
  const std::string OtherServer = otherServer();
  Harness.answerNotRun(firstServer());
  EXPECT_EQ(Harness.openCalls(), Strings{OtherServer});
  Harness.answer(OtherServer, 201);
  EXPECT_EQ(Harness.result(Id).Reply->Status, 201U);
}

TEST_F(RequestFlowTest, onCallResult_nonIdempotentNotSent_isRetriedElsewhere) {
  useNonIdempotentRoute();
  Harness.Route.MaxAttempts = 1;
  Harness.reportLoad("a");
  Harness.reportLoad("b");
  Harness.start();
  const std::string OtherServer = otherServer();
  Harness.failCall(firstServer(), CallEnd::NotSent);
  EXPECT_EQ(Harness.openCalls(), Strings{OtherServer});
}

TEST_F(RequestFlowTest, onCallResult_wrongServer_isRefusedAsNotRun) {
  useNonIdempotentRoute();
  Harness.Route.MaxAttempts = 1;
  Harness.reportLoad("a");
  const RequestId Id = Harness.start();
  Harness.answerWrongServer("a");
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
}

TEST_F(RequestFlowTest,
       onCallResult_notRunStatusFromServerThatRan_isNotForwarded) {
  useNonIdempotentRoute();
  for (const unsigned Status : {503U, 429U, 408U}) {
    Harness.reportLoad("a");
    Harness.reportLoad("b");
    const RequestId Id = Harness.start();
    Harness.answer(firstServer(), Status);
    ASSERT_TRUE(Harness.ended(Id));
    EXPECT_EQ(Harness.result(Id).Reply, nullptr);
    EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::Unknown);
  }
}

TEST_F(RequestFlowTest, onCallResult_unsignedSuccess_isNotForwarded) {
  useNonIdempotentRoute();
  Harness.reportLoad("a");
  const RequestId Id = Harness.start();
  Harness.answer("a", 200, false);
  EXPECT_EQ(Harness.result(Id).Reply, nullptr);
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::Unknown);
}

TEST_F(RequestFlowTest, onCallResult_idempotentFailed_isRetriedElsewhere) {
  Harness.reportLoad("a");
  Harness.reportLoad("b");
  const RequestId Id = Harness.start();
  const std::string OtherServer = otherServer();
  Harness.answer(firstServer(), 500);
  EXPECT_EQ(Harness.openCalls(), Strings{OtherServer});
  Harness.failCall(OtherServer, CallEnd::Broken);
  // The first server's error answer is forwarded, because it tells the caller
  // more than a refusal would.
  EXPECT_EQ(Harness.result(Id).Reply->Status, 500U);
}

TEST_F(RequestFlowTest, tick_slowAnswer_isHedgedOnNominalServer) {
  Harness.reportLoad("a");
  Harness.reportLoad("b", 2);
  const RequestId Id = Harness.start();
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
  Harness.advance(220ms);
  Harness.answerProbes(IdleLoad);
  EXPECT_EQ(Harness.openCalls(), (Strings{"a", "b"}));
  Harness.answer("b", 200);
  EXPECT_EQ(Harness.result(Id).Reply->Body, "b");
}

TEST_F(RequestFlowTest, tick_noNominalServer_isNotHedged) {
  Harness.reportLoad("a");
  Harness.reportLoad("b", 2);
  Harness.start();
  Harness.advance(220ms);
  Harness.answerProbes(SlowLoad);
  Harness.advance(200ms);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
}

TEST_F(RequestFlowTest, tick_nonIdempotentRequest_isNeverHedged) {
  useNonIdempotentRoute();
  Harness.reportLoad("a");
  Harness.start();
  Harness.advance(900ms);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_TRUE(Harness.Probes.empty());
}

TEST_F(RequestFlowTest, tick_timeoutWithOpenCall_isUnknownAtOnce) {
  Harness.Route.MaxAttempts = 1;
  Harness.reportLoad("a");
  const RequestId Id = Harness.start();
  Harness.advance(1s);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::Unknown);
  EXPECT_EQ(Harness.result(Id).Refused.Reason, RefusalReason::ServerTimeout);
  EXPECT_EQ(Harness.result(Id).Total, 1s);
}

TEST_F(RequestFlowTest, sendCall_afterProbes_carriesRemainingTime) {
  Harness.start();
  Harness.advance(10ms);
  Harness.answerProbes(IdleLoad);
  EXPECT_EQ(Harness.Calls.at(0).Remaining, 990ms);
}

TEST_F(RequestFlowTest, abandon_idempotent_cancelsCalls) {
  Harness.reportLoad("a");
  const RequestId Id = Harness.start();
  Harness.Flow.abandon(Harness.Now, Id);
  EXPECT_EQ(Harness.Cancelled.size(), 1U);
  Harness.advance(2s);
  EXPECT_FALSE(Harness.ended(Id));
}

TEST_F(RequestFlowTest, abandon_nonIdempotent_letsCallFinish) {
  useNonIdempotentRoute();
  Harness.reportLoad("a");
  const RequestId Id = Harness.start();
  Harness.Flow.abandon(Harness.Now, Id);
  EXPECT_TRUE(Harness.Cancelled.empty());
  Harness.answer("a", 200);
  EXPECT_FALSE(Harness.ended(Id));
}

TEST_F(RequestFlowTest, abandon_whileChoosingServer_isNeverSent) {
  const RequestId Id = Harness.start();
  Harness.Flow.abandon(Harness.Now, Id);
  Harness.answerProbes(IdleLoad);
  Harness.advance(1s);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_serverStopsAnswering_countsAsCrash) {
  useNonIdempotentRoute();
  Harness.reportLoad("a");
  Harness.start("deadly");
  Harness.failCall("a", CallEnd::Broken);
  ASSERT_EQ(Harness.Probes.size(), 1U);
  Harness.failProbes();
  EXPECT_EQ(Harness.CrashCounts[std::hash<std::string>()("deadly") | 1U], 1U);
}

TEST_F(RequestFlowTest, onCallResult_serverStillAnswers_isNotCrash) {
  useNonIdempotentRoute();
  Harness.reportLoad("a");
  Harness.start("harmless");
  Harness.failCall("a", CallEnd::Broken);
  Harness.answerProbes(IdleLoad);
  EXPECT_EQ(Harness.CrashCounts[std::hash<std::string>()("harmless") | 1U], 0U);
}

TEST_F(RequestFlowTest, start_requestCrashedThreeServers_isRefused) {
  Harness.CrashCounts[std::hash<std::string>()("deadly") | 1U] = 3;
  Harness.reportLoad("a");
  const RequestId Id = Harness.start("deadly");
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Reason, RefusalReason::Quarantined);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, retry_budgetUsedUp_isNotSent) {
  FlowHarness WithoutBudget({}, {0, 0, 10s});
  WithoutBudget.addServer("a");
  WithoutBudget.addServer("b");
  unsigned Retries = 0;
  for (unsigned Count = 0; Count < 10; ++Count) {
    WithoutBudget.reportLoad("a");
    WithoutBudget.reportLoad("b");
    WithoutBudget.start();
    WithoutBudget.failCall(WithoutBudget.openCalls().at(0), CallEnd::Broken);
    WithoutBudget.answerProbes(IdleLoad);
    if (!WithoutBudget.Calls.empty()) {
      ++Retries;
      WithoutBudget.answer(WithoutBudget.openCalls().at(0), 200);
    }
  }
  EXPECT_LE(Retries, 1U);
}

} // namespace
} // namespace mimosacart
