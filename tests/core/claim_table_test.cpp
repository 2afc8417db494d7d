#include "core/claim_table.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};

AnswerPtr makeAnswer(const std::string &Body) {
  return std::make_shared<const Answer>(Answer{200, {}, Body});
}

class ClaimTableTest : public testing::Test {
protected:
  ClaimTable makeClaimTable(ClaimLimits Limits = {}) const {
    return {HostName("host-a"), IncarnationId(7), Start, Limits,
            [](const ClaimKey &, const AnswerPtr &) {}};
  }

  ClaimTable makeClaimTableOf(const std::string &Name) const {
    return {HostName(Name),
            IncarnationId(9),
            Start,
            {},
            [](const ClaimKey &, const AnswerPtr &) {}};
  }
};

TEST_F(ClaimTableTest, claim_newKey_isGranted) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  EXPECT_EQ(Claims.claim(Start, Token, "k").Verdict, ClaimVerdict::Granted);
  EXPECT_EQ(Claims.pending(), 1U);
}

TEST_F(ClaimTableTest, claim_keyWhilePending_isPending) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  EXPECT_EQ(Claims.claim(Start, Token, "k").Verdict, ClaimVerdict::Pending);
}

TEST_F(ClaimTableTest, claim_settledKey_returnsStoredAnswer) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  Claims.settle({Token.Epoch, "k"}, makeAnswer("done"));
  const ClaimDecision Repeated = Claims.claim(Start, Token, "k");
  EXPECT_EQ(Repeated.Verdict, ClaimVerdict::Settled);
  EXPECT_EQ(Repeated.Reply->Body, "done");
}

TEST_F(ClaimTableTest, claim_keySettledAsNotRun_isNotGrantedAgain) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  Claims.settle({Token.Epoch, "k"}, toAnswer({RefusalOutcome::NotRun,
                                              RefusalReason::Overloaded, 1s}));
  const ClaimDecision LateDecision = Claims.claim(Start + 5s, Token, "k");
  EXPECT_EQ(LateDecision.Verdict, ClaimVerdict::Settled);
  EXPECT_EQ(outcomeOf(*LateDecision.Reply), RefusalOutcome::NotRun);
}

TEST_F(ClaimTableTest, settle_finalAnswerAfterUnknown_replacesUnknown) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  Claims.settle(
      {Token.Epoch, "k"},
      toAnswer({RefusalOutcome::Unknown, RefusalReason::ServerTimeout, 0s}));
  Claims.settle({Token.Epoch, "k"}, makeAnswer("late"));
  EXPECT_EQ(Claims.claim(Start, Token, "k").Reply->Body, "late");
}

TEST_F(ClaimTableTest, settle_secondFinalAnswer_keepsFirstAnswer) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  Claims.settle({Token.Epoch, "k"}, makeAnswer("first"));
  Claims.settle({Token.Epoch, "k"}, makeAnswer("second"));
  EXPECT_EQ(Claims.claim(Start, Token, "k").Reply->Body, "first");
}

TEST_F(ClaimTableTest, claim_expiredEpoch_isRefusedAsUnknown) {
  ClaimLimits Limits;
  Limits.EpochLength = 60s;
  Limits.RetainedEpochs = 2;
  ClaimTable Claims = makeClaimTable(Limits);
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  const Instant AfterExpiry = Start + 200s;
  Claims.expire(AfterExpiry);
  const ClaimDecision LateDecision = Claims.claim(AfterExpiry, Token, "k");
  EXPECT_EQ(LateDecision.Verdict, ClaimVerdict::Refused);
  EXPECT_EQ(outcomeOf(*LateDecision.Reply), RefusalOutcome::Unknown);
  EXPECT_EQ(Claims.size(), 0U);
}

TEST_F(ClaimTableTest, claim_epochNeverIssued_isRefusedAsUnknown) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token{HostName("host-a"), IncarnationId(7), 5};
  const ClaimDecision Decision = Claims.claim(Start, Token, "k");
  EXPECT_EQ(outcomeOf(*Decision.Reply), RefusalOutcome::Unknown);
}

TEST_F(ClaimTableTest, claim_fullEpoch_refusesNewKeysPermanently) {
  ClaimLimits Limits;
  Limits.ClaimsPerEpoch = 1;
  ClaimTable Claims = makeClaimTable(Limits);
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k1");
  EXPECT_EQ(outcomeOf(*Claims.claim(Start, Token, "k2").Reply),
            RefusalOutcome::NotRun);
  Claims.settle({Token.Epoch, "k1"}, makeAnswer("done"));
  EXPECT_EQ(outcomeOf(*Claims.claim(Start, Token, "k2").Reply),
            RefusalOutcome::NotRun);
}

TEST_F(ClaimTableTest, settle_overByteLimit_dropsOldestAnswerButKeepsClaim) {
  ClaimLimits Limits;
  Limits.AnswerBytes = 10;
  ClaimTable Claims = makeClaimTable(Limits);
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k1");
  Claims.settle({Token.Epoch, "k1"}, makeAnswer("12345678"));
  Claims.claim(Start, Token, "k2");
  Claims.settle({Token.Epoch, "k2"}, makeAnswer("12345678"));
  EXPECT_EQ(Claims.answerBytes(), 8U);
  EXPECT_EQ(outcomeOf(*Claims.claim(Start, Token, "k1").Reply),
            RefusalOutcome::Ran);
  EXPECT_EQ(Claims.claim(Start, Token, "k2").Reply->Body, "12345678");
}

TEST_F(ClaimTableTest, adopt_handoverOfLeaver_answersEveryKey) {
  ClaimTable LeavingTable = makeClaimTable();
  const IssuerToken Token = LeavingTable.currentToken(Start);
  LeavingTable.claim(Start, Token, "done");
  LeavingTable.settle({Token.Epoch, "done"}, makeAnswer("done"));
  LeavingTable.claim(Start, Token, "open");
  ClaimTable SuccessorTable = makeClaimTableOf("host-b");
  for (const Handover &Message : LeavingTable.handovers(Start))
    SuccessorTable.adopt(Message);
  EXPECT_EQ(SuccessorTable.lookUpAdopted(Token, "done").Reply->Body, "done");
  EXPECT_EQ(outcomeOf(*SuccessorTable.lookUpAdopted(Token, "open").Reply),
            RefusalOutcome::Unknown);
  EXPECT_EQ(outcomeOf(*SuccessorTable.lookUpAdopted(Token, "never").Reply),
            RefusalOutcome::NotRun);
  const IssuerToken TokenNotAdopted{HostName("host-c"), IncarnationId(1), 0};
  EXPECT_EQ(
      outcomeOf(*SuccessorTable.lookUpAdopted(TokenNotAdopted, "done").Reply),
      RefusalOutcome::Unknown);
}

TEST_F(ClaimTableTest, handovers_adoptedClaims_areIncluded) {
  ClaimTable FirstTable = makeClaimTable();
  const IssuerToken Token = FirstTable.currentToken(Start);
  FirstTable.claim(Start, Token, "k");
  FirstTable.settle({Token.Epoch, "k"}, makeAnswer("done"));
  ClaimTable SecondTable = makeClaimTableOf("host-b");
  for (const Handover &Message : FirstTable.handovers(Start))
    SecondTable.adopt(Message);
  ClaimTable ThirdTable = makeClaimTableOf("host-c");
  for (const Handover &Message : SecondTable.handovers(Start))
    ThirdTable.adopt(Message);
  EXPECT_EQ(ThirdTable.lookUpAdopted(Token, "k").Reply->Body, "done");
}

} // namespace
} // namespace mimosacart
