#include "tests/direct/flow_harness.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;
using Strings = std::vector<std::string>;

constexpr LoadFigures Idle{0, 0, 2, 100};
constexpr LoadFigures Slowed{0, 0, 2, 700};
constexpr LoadFigures Crowded{2, 0, 2, 100};
constexpr LoadFigures Busy{2, 4, 2, 100};

class RequestFlowTest : public testing::Test {
protected:
  RequestFlowTest() {
    Use.addServer("a");
    Use.addServer("b");
  }

  /// The server that the only open call went to.
  std::string firstServer() const { return Use.openCalls().at(0); }
  std::string otherServer() const { return firstServer() == "a" ? "b" : "a"; }

  void useOnceOnlyRoute() { Use.Route.Idempotent = false; }

  FlowHarness Use;
};

TEST_F(RequestFlowTest, start_freshAndGoodServer_isSentWithoutAProbe) {
  Use.tellLoad("a", 2);
  Use.tellLoad("b");
  Use.start();
  EXPECT_EQ(Use.openCalls(), Strings{"b"});
  EXPECT_TRUE(Use.Probes.empty());
}

TEST_F(RequestFlowTest, start_nothingKnown_asksTwoServersFirst) {
  Use.addServer("c");
  Use.start();
  EXPECT_EQ(Use.Probes.size(), 2U);
  EXPECT_TRUE(Use.openCalls().empty());
  Use.answerProbes(Idle);
  EXPECT_EQ(Use.openCalls().size(), 1U);
}

TEST_F(RequestFlowTest, end_probesAndRepeat_addedIsTheTimeWithoutAServer) {
  const RequestId Id = Use.start();
  Use.pass(3ms);
  Use.answerProbes(Idle);
  Use.pass(100ms);
  Use.answer(firstServer(), 500);
  Use.pass(2ms);
  Use.answerProbes(Idle);
  ASSERT_EQ(Use.openCalls().size(), 1U);
  Use.pass(50ms);
  Use.answer(firstServer(), 200);
  ASSERT_TRUE(Use.ended(Id));
  EXPECT_EQ(Use.result(Id).Total, 155ms);
  EXPECT_EQ(Use.result(Id).Added, 5ms);
}

TEST_F(RequestFlowTest, start_allSlowed_takesTheBestInTheEnd) {
  Use.tellLoad("a");
  Use.start();
  Use.pass(100ms);
  Use.answer("a", 200);
  // Now 700 ms are expected, more than the objective and less than the timeout.
  const RequestId Id = Use.start();
  for (unsigned Step = 0; Step < 20; ++Step) {
    Use.answerProbes(Slowed);
    Use.pass(10ms);
  }
  EXPECT_EQ(Use.openCalls().size(), 1U);
  EXPECT_FALSE(Use.ended(Id));
}

TEST_F(RequestFlowTest, start_probesUnanswered_sendsAnyway) {
  Use.start();
  Use.pass(100ms);
  EXPECT_EQ(Use.openCalls().size(), 1U);
}

TEST_F(RequestFlowTest, start_twoRequests_shareTheirProbes) {
  Use.start();
  Use.start();
  EXPECT_EQ(Use.Probes.size(), 2U);
  Use.answerProbes(Idle);
  EXPECT_EQ(Use.openCalls().size(), 2U);
}

TEST_F(RequestFlowTest, start_noServer_isRefusedAtOnceAsNotRun) {
  Use.Registry.replace(Use.Now, {}, false);
  const RequestId Id = Use.start();
  ASSERT_TRUE(Use.ended(Id));
  EXPECT_EQ(Use.result(Id).Refused.What, Outcome::NotRun);
  EXPECT_GT(Use.result(Id).Refused.RetryAfter, 0ms);
}

TEST_F(RequestFlowTest, start_everyServerFull_isHeldThenRefusedAsNotRun) {
  const RequestId Id = Use.start();
  Use.answerProbes(Busy);
  EXPECT_FALSE(Use.ended(Id));
  Use.passAnsweringProbes(200ms, Busy, Id);
  ASSERT_TRUE(Use.ended(Id));
  EXPECT_EQ(Use.result(Id).Refused.What, Outcome::NotRun);
  EXPECT_LE(Use.result(Id).Total, Use.Route.Objective / 2);
  EXPECT_TRUE(Use.Calls.empty());
}

TEST_F(RequestFlowTest, start_heldRequest_isSentOnceAServerIsFree) {
  const RequestId Id = Use.start();
  Use.answerProbes(Busy);
  Use.pass(60ms);
  Use.answerProbes(Idle);
  EXPECT_EQ(Use.openCalls().size(), 1U);
  Use.answer(firstServer(), 200);
  EXPECT_EQ(Use.result(Id).Reply->Status, 200U);
}

TEST(RequestFlowRoomTest, start_afterOverload_expectsTheUsualTimeAgain) {
  constexpr LoadFigures LastSlot{5, 0, 6, 100};
  FlowHarness Use;
  Use.addServer("a", 6);
  Use.Route.Priority = 0;
  Use.tellLoad("a");
  Use.start();
  Use.pass(100ms);
  Use.answer("a", 200);
  for (unsigned Count = 0; Count < 50; ++Count) {
    Use.start();
    Use.answerProbes(LastSlot);
    Use.pass(50ms);
    Use.pass(300ms);
    Use.answer("a", 200);
  }
  // Twice the usual 100 ms fit the objective of 400 ms, so nothing is held.
  Use.pass(1s);
  Use.start();
  Use.answerProbes({0, 0, 6, 200});
  Use.pass(50ms);
  EXPECT_EQ(Use.openCalls().size(), 1U);
}

TEST(RequestFlowRoomTest, start_serverNearFull_isLeftToUrgentRequests) {
  constexpr LoadFigures NearFull{4, 0, 6, 100};
  FlowHarness Use;
  Use.addServer("a", 6);
  const RequestId Patient = Use.start();
  Use.answerProbes(NearFull);
  Use.passAnsweringProbes(200ms, NearFull, Patient);
  ASSERT_TRUE(Use.ended(Patient));
  EXPECT_EQ(Use.result(Patient).Refused.What, Outcome::NotRun);
  EXPECT_TRUE(Use.Calls.empty());
  Use.Route.Priority = 0;
  Use.start();
  Use.answerProbes(NearFull);
  Use.pass(50ms);
  EXPECT_EQ(Use.openCalls(), Strings{"a"});
}

TEST(RequestFlowRoomTest,
     start_askedServersSlow_othersAreAskedNotTriedBlindly) {
  constexpr unsigned Servers = 12;
  FlowHarness Use;
  for (unsigned Number = 0; Number < Servers; ++Number)
    Use.addServer("s" + std::to_string(Number));
  Use.start();
  unsigned Asked = 0;
  while (Asked < 8) {
    Asked += static_cast<unsigned>(Use.Probes.size());
    Use.answerProbes(Slowed);
    Use.pass(1ms);
  }
  EXPECT_TRUE(Use.Calls.empty());
  Use.pass(30ms);
  ASSERT_FALSE(Use.Probes.empty());
  Use.answerProbes(Idle);
  EXPECT_EQ(Use.Calls.size(), 1U);
}

TEST_F(RequestFlowTest, start_queueAtEveryServer_isNotJoined) {
  const RequestId Id = Use.start();
  Use.answerProbes(Crowded);
  Use.passAnsweringProbes(200ms, Crowded, Id);
  ASSERT_TRUE(Use.ended(Id));
  EXPECT_EQ(Use.result(Id).Refused.What, Outcome::NotRun);
  EXPECT_TRUE(Use.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_serversOwnFailure_passesUnchanged) {
  useOnceOnlyRoute();
  Use.tellLoad("a");
  const RequestId Id = Use.start();
  Use.answer("a", 500);
  EXPECT_EQ(Use.result(Id).Reply->Status, 500U);
}

TEST_F(RequestFlowTest, onCallResult_onceOnlyLost_isUnknownAndNotSentAgain) {
  useOnceOnlyRoute();
  Use.tellLoad("a");
  const RequestId Id = Use.start();
  Use.lose("a", CallEnd::Broken);
  ASSERT_TRUE(Use.ended(Id));
  EXPECT_EQ(Use.result(Id).Refused.What, Outcome::Unknown);
  EXPECT_TRUE(Use.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_onceOnlyNotRun_goesToAnotherServer) {
  useOnceOnlyRoute();
  Use.tellLoad("a");
  Use.tellLoad("b");
  const RequestId Id = Use.start();
  const std::string Other = otherServer();
  Use.answerNotRun(firstServer());
  EXPECT_EQ(Use.openCalls(), Strings{Other});
  Use.answer(Other, 201);
  EXPECT_EQ(Use.result(Id).Reply->Status, 201U);
}

TEST_F(RequestFlowTest, onCallResult_onceOnlyNeverWritten_goesToAnother) {
  useOnceOnlyRoute();
  Use.Route.MaxAttempts = 1;
  Use.tellLoad("a");
  Use.tellLoad("b");
  Use.start();
  const std::string Other = otherServer();
  Use.lose(firstServer(), CallEnd::NotSent);
  EXPECT_EQ(Use.openCalls(), Strings{Other});
}

TEST_F(RequestFlowTest, onCallResult_wrongServer_isProofThatItDidNotRun) {
  useOnceOnlyRoute();
  Use.Route.MaxAttempts = 1;
  Use.tellLoad("a");
  const RequestId Id = Use.start();
  Use.answerWrongServer("a");
  ASSERT_TRUE(Use.ended(Id));
  EXPECT_EQ(Use.result(Id).Refused.What, Outcome::NotRun);
}

TEST_F(RequestFlowTest, onCallResult_promiseFromAServerThatRan_isNotPassed) {
  useOnceOnlyRoute();
  for (const unsigned Status : {503U, 429U, 408U}) {
    Use.tellLoad("a");
    Use.tellLoad("b");
    const RequestId Id = Use.start();
    Use.answer(firstServer(), Status);
    ASSERT_TRUE(Use.ended(Id));
    EXPECT_EQ(Use.result(Id).Reply, nullptr);
    EXPECT_EQ(Use.result(Id).Refused.What, Outcome::Unknown);
  }
}

TEST_F(RequestFlowTest, onCallResult_unsignedSuccess_isNotDelivered) {
  useOnceOnlyRoute();
  Use.tellLoad("a");
  const RequestId Id = Use.start();
  Use.answer("a", 200, false);
  EXPECT_EQ(Use.result(Id).Reply, nullptr);
  EXPECT_EQ(Use.result(Id).Refused.What, Outcome::Unknown);
}

TEST_F(RequestFlowTest, onCallResult_idempotentFailed_isRepeatedElsewhere) {
  Use.tellLoad("a");
  Use.tellLoad("b");
  const RequestId Id = Use.start();
  const std::string Other = otherServer();
  Use.answer(firstServer(), 500);
  EXPECT_EQ(Use.openCalls(), Strings{Other});
  Use.lose(Other, CallEnd::Broken);
  // The first server's own failure says more than one of ours.
  EXPECT_EQ(Use.result(Id).Reply->Status, 500U);
}

TEST_F(RequestFlowTest, tick_slowAnswer_isHedgedOnAGoodServer) {
  Use.tellLoad("a");
  Use.tellLoad("b", 2);
  const RequestId Id = Use.start();
  EXPECT_EQ(Use.openCalls(), Strings{"a"});
  Use.pass(220ms);
  Use.answerProbes(Idle);
  EXPECT_EQ(Use.openCalls(), (Strings{"a", "b"}));
  Use.answer("b", 200);
  EXPECT_EQ(Use.result(Id).Reply->Body, "b");
}

TEST_F(RequestFlowTest, tick_noGoodServer_isNotHedged) {
  Use.tellLoad("a");
  Use.tellLoad("b", 2);
  Use.start();
  Use.pass(220ms);
  Use.answerProbes(Slowed);
  Use.pass(200ms);
  EXPECT_EQ(Use.openCalls(), Strings{"a"});
}

TEST_F(RequestFlowTest, tick_onceOnlyRequest_isNeverHedged) {
  useOnceOnlyRoute();
  Use.tellLoad("a");
  Use.start();
  Use.pass(900ms);
  EXPECT_EQ(Use.openCalls().size(), 1U);
  EXPECT_TRUE(Use.Probes.empty());
}

TEST_F(RequestFlowTest, tick_timeoutWhileRunning_isUnknownAtOnce) {
  Use.Route.MaxAttempts = 1;
  Use.tellLoad("a");
  const RequestId Id = Use.start();
  Use.pass(1s);
  ASSERT_TRUE(Use.ended(Id));
  EXPECT_EQ(Use.result(Id).Refused.What, Outcome::Unknown);
  EXPECT_EQ(Use.result(Id).Refused.Why, Reason::ServerTimeout);
  EXPECT_EQ(Use.result(Id).Total, 1s);
}

TEST_F(RequestFlowTest, send_call_carriesWhatIsLeftOfTheTime) {
  Use.start();
  Use.pass(10ms);
  Use.answerProbes(Idle);
  EXPECT_EQ(Use.Calls.at(0).Remaining, 990ms);
}

TEST_F(RequestFlowTest, abandon_idempotent_cancelsItsCalls) {
  Use.tellLoad("a");
  const RequestId Id = Use.start();
  Use.Flow.abandon(Use.Now, Id);
  EXPECT_EQ(Use.Cancelled.size(), 1U);
  Use.pass(2s);
  EXPECT_FALSE(Use.ended(Id));
}

TEST_F(RequestFlowTest, abandon_onceOnly_letsItsCallEnd) {
  useOnceOnlyRoute();
  Use.tellLoad("a");
  const RequestId Id = Use.start();
  Use.Flow.abandon(Use.Now, Id);
  EXPECT_TRUE(Use.Cancelled.empty());
  Use.answer("a", 200);
  EXPECT_FALSE(Use.ended(Id));
}

TEST_F(RequestFlowTest, abandon_whileChoosing_isNeverSent) {
  const RequestId Id = Use.start();
  Use.Flow.abandon(Use.Now, Id);
  Use.answerProbes(Idle);
  Use.pass(1s);
  EXPECT_TRUE(Use.Calls.empty());
}

TEST_F(RequestFlowTest, onCallResult_serverGoneAfterwards_countsAsCrash) {
  useOnceOnlyRoute();
  Use.tellLoad("a");
  Use.start("deadly");
  Use.lose("a", CallEnd::Broken);
  ASSERT_EQ(Use.Probes.size(), 1U);
  Use.loseProbes();
  EXPECT_EQ(Use.CrashCounts[std::hash<std::string>()("deadly") | 1U], 1U);
}

TEST_F(RequestFlowTest, onCallResult_serverStillAnswers_isNoCrash) {
  useOnceOnlyRoute();
  Use.tellLoad("a");
  Use.start("harmless");
  Use.lose("a", CallEnd::Broken);
  Use.answerProbes(Idle);
  EXPECT_EQ(Use.CrashCounts[std::hash<std::string>()("harmless") | 1U], 0U);
}

TEST_F(RequestFlowTest, start_requestThatCrashedThree_isRefused) {
  Use.CrashCounts[std::hash<std::string>()("deadly") | 1U] = 3;
  Use.tellLoad("a");
  const RequestId Id = Use.start("deadly");
  ASSERT_TRUE(Use.ended(Id));
  EXPECT_EQ(Use.result(Id).Refused.Why, Reason::Quarantined);
  EXPECT_TRUE(Use.Calls.empty());
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
