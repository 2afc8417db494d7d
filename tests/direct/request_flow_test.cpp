#include "tests/direct/flow_harness.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;
using Strings = std::vector<std::string>;

constexpr ServerLoad Idle{0, 0, 2, 100};
constexpr ServerLoad Slowed{0, 0, 2, 700};
constexpr ServerLoad Crowded{2, 0, 2, 100};
constexpr ServerLoad Busy{2, 4, 2, 100};

class RequestFlowTest : public testing::Test {
protected:
  RequestFlowTest() {
    Harness.addServer("a");
    Harness.addServer("b");
  }

  /// The server that the only open call went to.
  std::string firstServer() const { return Harness.openCalls().at(0); }
  std::string otherServer() const { return firstServer() == "a" ? "b" : "a"; }

  void useOnceOnlyRoute() { Harness.Route.Idempotent = false; }

  FlowHarness Harness;
};

TEST_F(RequestFlowTest, start_freshAndGoodServer_isSentWithoutAProbe) {
  Harness.tellLoad("a", 2);
  Harness.tellLoad("b");
  Harness.start();
  EXPECT_EQ(Harness.openCalls(), Strings{"b"});
  EXPECT_TRUE(Harness.Probes.empty());
}

TEST_F(RequestFlowTest, start_nothingKnown_asksTwoServersFirst) {
  Harness.addServer("c");
  Harness.start();
  EXPECT_EQ(Harness.Probes.size(), 2U);
  EXPECT_TRUE(Harness.openCalls().empty());
  Harness.answerProbes(Idle);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
}

TEST_F(RequestFlowTest, end_probesAndRepeat_addedIsTheTimeWithoutAServer) {
  const RequestId Id = Harness.start();
  Harness.pass(3ms);
  Harness.answerProbes(Idle);
  Harness.pass(100ms);
  Harness.answer(firstServer(), 500);
  Harness.pass(2ms);
  Harness.answerProbes(Idle);
  ASSERT_EQ(Harness.openCalls().size(), 1U);
  Harness.pass(50ms);
  Harness.answer(firstServer(), 200);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Total, 155ms);
  EXPECT_EQ(Harness.result(Id).Added, 5ms);
}

TEST_F(RequestFlowTest, start_allSlowed_takesTheBestInTheEnd) {
  Harness.tellLoad("a");
  Harness.start();
  Harness.pass(100ms);
  Harness.answer("a", 200);
  // Now 700 ms are expected, more than the objective and less than the timeout.
  const RequestId Id = Harness.start();
  for (unsigned Step = 0; Step < 20; ++Step) {
    Harness.answerProbes(Slowed);
    Harness.pass(10ms);
  }
  EXPECT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_FALSE(Harness.ended(Id));
}

TEST_F(RequestFlowTest, start_probesUnanswered_sendsAnyway) {
  Harness.start();
  Harness.pass(100ms);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
}

TEST_F(RequestFlowTest, start_twoRequests_shareTheirProbes) {
  Harness.start();
  Harness.start();
  EXPECT_EQ(Harness.Probes.size(), 2U);
  Harness.answerProbes(Idle);
  EXPECT_EQ(Harness.openCalls().size(), 2U);
}

TEST_F(RequestFlowTest, start_noServer_isRefusedAtOnceAsNotRun) {
  Harness.Registry.replace(Harness.Now, {}, false);
  const RequestId Id = Harness.start();
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_GT(Harness.result(Id).Refused.RetryAfter, 0ms);
}

TEST_F(RequestFlowTest, start_everyServerFull_isHeldThenRefusedAsNotRun) {
  const RequestId Id = Harness.start();
  Harness.answerProbes(Busy);
  EXPECT_FALSE(Harness.ended(Id));
  Harness.passAnsweringProbes(200ms, Busy, Id);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_LE(Harness.result(Id).Total, Harness.Route.Objective / 2);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, start_heldRequest_isSentOnceAServerIsFree) {
  const RequestId Id = Harness.start();
  Harness.answerProbes(Busy);
  Harness.pass(60ms);
  Harness.answerProbes(Idle);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
  Harness.answer(firstServer(), 200);
  EXPECT_EQ(Harness.result(Id).Reply->Status, 200U);
}

TEST(RequestFlowHeadroomTest, start_afterOverload_expectsTheUsualTimeAgain) {
  constexpr ServerLoad LastSlot{5, 0, 6, 100};
  FlowHarness Harness;
  Harness.addServer("a", 6);
  Harness.Route.Priority = 0;
  Harness.tellLoad("a");
  Harness.start();
  Harness.pass(100ms);
  Harness.answer("a", 200);
  for (unsigned Count = 0; Count < 50; ++Count) {
    Harness.start();
    Harness.answerProbes(LastSlot);
    Harness.pass(50ms);
    Harness.pass(300ms);
    Harness.answer("a", 200);
  }
  // Twice the usual 100 ms fit the objective of 400 ms, so nothing is held.
  Harness.pass(1s);
  Harness.start();
  Harness.answerProbes({0, 0, 6, 200});
  Harness.pass(50ms);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
}

TEST(RequestFlowHeadroomTest, start_serverNearFull_isLeftToUrgentRequests) {
  constexpr ServerLoad NearFull{4, 0, 6, 100};
  FlowHarness Harness;
  Harness.addServer("a", 6);
  const RequestId Patient = Harness.start();
  Harness.answerProbes(NearFull);
  Harness.passAnsweringProbes(200ms, NearFull, Patient);
  ASSERT_TRUE(Harness.ended(Patient));
  EXPECT_EQ(Harness.result(Patient).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_TRUE(Harness.Calls.empty());
  Harness.Route.Priority = 0;
  Harness.start();
  Harness.answerProbes(NearFull);
  Harness.pass(50ms);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
}

TEST(RequestFlowHeadroomTest,
     start_askedServersSlow_othersAreAskedNotTriedBlindly) {
  constexpr unsigned Servers = 12;
  FlowHarness Harness;
  for (unsigned Number = 0; Number < Servers; ++Number)
    Harness.addServer("s" + std::to_string(Number));
  Harness.start();
  unsigned Asked = 0;
  while (Asked < 8) {
    Asked += static_cast<unsigned>(Harness.Probes.size());
    Harness.answerProbes(Slowed);
    Harness.pass(1ms);
  }
  EXPECT_TRUE(Harness.Calls.empty());
  Harness.pass(30ms);
  ASSERT_FALSE(Harness.Probes.empty());
  Harness.answerProbes(Idle);
  EXPECT_EQ(Harness.Calls.size(), 1U);
}

TEST_F(RequestFlowTest, start_queueAtEveryServer_isNotJoined) {
  const RequestId Id = Harness.start();
  Harness.answerProbes(Crowded);
  Harness.passAnsweringProbes(200ms, Crowded, Id);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_serversOwnFailure_passesUnchanged) {
  useOnceOnlyRoute();
  Harness.tellLoad("a");
  const RequestId Id = Harness.start();
  Harness.answer("a", 500);
  EXPECT_EQ(Harness.result(Id).Reply->Status, 500U);
}

TEST_F(RequestFlowTest, onCallResult_onceOnlyLost_isUnknownAndNotSentAgain) {
  useOnceOnlyRoute();
  Harness.tellLoad("a");
  const RequestId Id = Harness.start();
  Harness.lose("a", CallEnd::Broken);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::Unknown);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_onceOnlyNotRun_goesToAnotherServer) {
  useOnceOnlyRoute();
  Harness.tellLoad("a");
  Harness.tellLoad("b");
  const RequestId Id = Harness.start();
  const std::string Other = otherServer();
  Harness.answerNotRun(firstServer());
  EXPECT_EQ(Harness.openCalls(), Strings{Other});
  Harness.answer(Other, 201);
  EXPECT_EQ(Harness.result(Id).Reply->Status, 201U);
}

TEST_F(RequestFlowTest, onCallResult_onceOnlyNeverWritten_goesToAnother) {
  useOnceOnlyRoute();
  Harness.Route.MaxAttempts = 1;
  Harness.tellLoad("a");
  Harness.tellLoad("b");
  Harness.start();
  const std::string Other = otherServer();
  Harness.lose(firstServer(), CallEnd::NotSent);
  EXPECT_EQ(Harness.openCalls(), Strings{Other});
}

TEST_F(RequestFlowTest, onCallResult_wrongServer_isProofThatItDidNotRun) {
  useOnceOnlyRoute();
  Harness.Route.MaxAttempts = 1;
  Harness.tellLoad("a");
  const RequestId Id = Harness.start();
  Harness.answerWrongServer("a");
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
}

TEST_F(RequestFlowTest, onCallResult_promiseFromAServerThatRan_isNotPassed) {
  useOnceOnlyRoute();
  for (const unsigned Status : {503U, 429U, 408U}) {
    Harness.tellLoad("a");
    Harness.tellLoad("b");
    const RequestId Id = Harness.start();
    Harness.answer(firstServer(), Status);
    ASSERT_TRUE(Harness.ended(Id));
    EXPECT_EQ(Harness.result(Id).Reply, nullptr);
    EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::Unknown);
  }
}

TEST_F(RequestFlowTest, onCallResult_unsignedSuccess_isNotDelivered) {
  useOnceOnlyRoute();
  Harness.tellLoad("a");
  const RequestId Id = Harness.start();
  Harness.answer("a", 200, false);
  EXPECT_EQ(Harness.result(Id).Reply, nullptr);
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::Unknown);
}

TEST_F(RequestFlowTest, onCallResult_idempotentFailed_isRepeatedElsewhere) {
  Harness.tellLoad("a");
  Harness.tellLoad("b");
  const RequestId Id = Harness.start();
  const std::string Other = otherServer();
  Harness.answer(firstServer(), 500);
  EXPECT_EQ(Harness.openCalls(), Strings{Other});
  Harness.lose(Other, CallEnd::Broken);
  // The first server's own failure says more than one of ours.
  EXPECT_EQ(Harness.result(Id).Reply->Status, 500U);
}

TEST_F(RequestFlowTest, tick_slowAnswer_isHedgedOnAGoodServer) {
  Harness.tellLoad("a");
  Harness.tellLoad("b", 2);
  const RequestId Id = Harness.start();
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
  Harness.pass(220ms);
  Harness.answerProbes(Idle);
  EXPECT_EQ(Harness.openCalls(), (Strings{"a", "b"}));
  Harness.answer("b", 200);
  EXPECT_EQ(Harness.result(Id).Reply->Body, "b");
}

TEST_F(RequestFlowTest, tick_noGoodServer_isNotHedged) {
  Harness.tellLoad("a");
  Harness.tellLoad("b", 2);
  Harness.start();
  Harness.pass(220ms);
  Harness.answerProbes(Slowed);
  Harness.pass(200ms);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
}

TEST_F(RequestFlowTest, tick_onceOnlyRequest_isNeverHedged) {
  useOnceOnlyRoute();
  Harness.tellLoad("a");
  Harness.start();
  Harness.pass(900ms);
  EXPECT_EQ(Harness.openCalls().size(), 1U);
  EXPECT_TRUE(Harness.Probes.empty());
}

TEST_F(RequestFlowTest, tick_timeoutWhileRunning_isUnknownAtOnce) {
  Harness.Route.MaxAttempts = 1;
  Harness.tellLoad("a");
  const RequestId Id = Harness.start();
  Harness.pass(1s);
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::Unknown);
  EXPECT_EQ(Harness.result(Id).Refused.Reason, RefusalReason::ServerTimeout);
  EXPECT_EQ(Harness.result(Id).Total, 1s);
}

TEST_F(RequestFlowTest, send_call_carriesWhatIsLeftOfTheTime) {
  Harness.start();
  Harness.pass(10ms);
  Harness.answerProbes(Idle);
  EXPECT_EQ(Harness.Calls.at(0).Remaining, 990ms);
}

TEST_F(RequestFlowTest, abandon_idempotent_cancelsItsCalls) {
  Harness.tellLoad("a");
  const RequestId Id = Harness.start();
  Harness.Flow.abandon(Harness.Now, Id);
  EXPECT_EQ(Harness.Cancelled.size(), 1U);
  Harness.pass(2s);
  EXPECT_FALSE(Harness.ended(Id));
}

TEST_F(RequestFlowTest, abandon_onceOnly_letsItsCallEnd) {
  useOnceOnlyRoute();
  Harness.tellLoad("a");
  const RequestId Id = Harness.start();
  Harness.Flow.abandon(Harness.Now, Id);
  EXPECT_TRUE(Harness.Cancelled.empty());
  Harness.answer("a", 200);
  EXPECT_FALSE(Harness.ended(Id));
}

TEST_F(RequestFlowTest, abandon_whileChoosing_isNeverSent) {
  const RequestId Id = Harness.start();
  Harness.Flow.abandon(Harness.Now, Id);
  Harness.answerProbes(Idle);
  Harness.pass(1s);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_serverGoneAfterwards_countsAsCrash) {
  useOnceOnlyRoute();
  Harness.tellLoad("a");
  Harness.start("deadly");
  Harness.lose("a", CallEnd::Broken);
  ASSERT_EQ(Harness.Probes.size(), 1U);
  Harness.loseProbes();
  EXPECT_EQ(Harness.CrashCounts[std::hash<std::string>()("deadly") | 1U], 1U);
}

TEST_F(RequestFlowTest, onCallResult_serverStillAnswers_isNoCrash) {
  useOnceOnlyRoute();
  Harness.tellLoad("a");
  Harness.start("harmless");
  Harness.lose("a", CallEnd::Broken);
  Harness.answerProbes(Idle);
  EXPECT_EQ(Harness.CrashCounts[std::hash<std::string>()("harmless") | 1U], 0U);
}

TEST_F(RequestFlowTest, start_requestThatCrashedThree_isRefused) {
  Harness.CrashCounts[std::hash<std::string>()("deadly") | 1U] = 3;
  Harness.tellLoad("a");
  const RequestId Id = Harness.start("deadly");
  ASSERT_TRUE(Harness.ended(Id));
  EXPECT_EQ(Harness.result(Id).Refused.Reason, RefusalReason::Quarantined);
  EXPECT_TRUE(Harness.Calls.empty());
}

TEST_F(RequestFlowTest, repeat_allowanceUsedUp_isNotSent) {
  FlowHarness Poor({}, {0, 0, 10s});
  Poor.addServer("a");
  Poor.addServer("b");
  unsigned Repeats = 0;
  for (unsigned Count = 0; Count < 10; ++Count) {
    Poor.tellLoad("a");
    Poor.tellLoad("b");
    Poor.start();
    Poor.lose(Poor.openCalls().at(0), CallEnd::Broken);
    Poor.answerProbes(Idle);
    if (!Poor.Calls.empty()) {
      ++Repeats;
      Poor.answer(Poor.openCalls().at(0), 200);
    }
  }
  EXPECT_LE(Repeats, 1U);
}

} // namespace
} // namespace mimosacart
