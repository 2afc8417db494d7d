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

  ClaimTable makeOther(const std::string &Name) const {
    return {HostName(Name),
            IncarnationId(9),
            Start,
            {},
            [](const ClaimKey &, const AnswerPtr &) {}};
  }
};

TEST_F(ClaimTableTest, claim_firstUse_isGranted) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  EXPECT_EQ(Claims.claim(Start, Token, "k").Verdict, ClaimVerdict::Granted);
  EXPECT_EQ(Claims.pending(), 1U);
}

TEST_F(ClaimTableTest, claim_secondUseWhilePending_waits) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  EXPECT_EQ(Claims.claim(Start, Token, "k").Verdict, ClaimVerdict::Pending);
}

TEST_F(ClaimTableTest, claim_afterSettle_returnsTheStoredAnswer) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  Claims.settle({Token.Epoch, "k"}, makeAnswer("done"));
  const ClaimDecision Again = Claims.claim(Start, Token, "k");
  EXPECT_EQ(Again.Verdict, ClaimVerdict::Settled);
  EXPECT_EQ(Again.Reply->Body, "done");
}

TEST_F(ClaimTableTest, claim_afterNotRunRefusal_neverRunsAgain) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  Claims.settle({Token.Epoch, "k"}, toAnswer({RefusalOutcome::NotRun,
                                              RefusalReason::Overloaded, 1s}));
  const ClaimDecision Late = Claims.claim(Start + 5s, Token, "k");
  EXPECT_EQ(Late.Verdict, ClaimVerdict::Settled);
  EXPECT_EQ(outcomeOf(*Late.Reply), RefusalOutcome::NotRun);
}

TEST_F(ClaimTableTest, settle_knownAfterUnknown_replacesIt) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  Claims.settle(
      {Token.Epoch, "k"},
      toAnswer({RefusalOutcome::Unknown, RefusalReason::ServerTimeout, 0s}));
  Claims.settle({Token.Epoch, "k"}, makeAnswer("late"));
  EXPECT_EQ(Claims.claim(Start, Token, "k").Reply->Body, "late");
}

TEST_F(ClaimTableTest, settle_otherAfterKnown_keepsTheFirst) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  Claims.settle({Token.Epoch, "k"}, makeAnswer("first"));
  Claims.settle({Token.Epoch, "k"}, makeAnswer("second"));
  EXPECT_EQ(Claims.claim(Start, Token, "k").Reply->Body, "first");
}

TEST_F(ClaimTableTest, claim_forgottenEpoch_isUnknown) {
  ClaimLimits Limits;
  Limits.EpochLength = 60s;
  Limits.RetainedEpochs = 2;
  ClaimTable Claims = makeClaimTable(Limits);
  const IssuerToken Token = Claims.currentToken(Start);
  Claims.claim(Start, Token, "k");
  const Instant Later = Start + 200s;
  Claims.expire(Later);
  const ClaimDecision Late = Claims.claim(Later, Token, "k");
  EXPECT_EQ(Late.Verdict, ClaimVerdict::Refused);
  EXPECT_EQ(outcomeOf(*Late.Reply), RefusalOutcome::Unknown);
  EXPECT_EQ(Claims.size(), 0U);
}

TEST_F(ClaimTableTest, claim_epochNeverIssued_isUnknown) {
  ClaimTable Claims = makeClaimTable();
  const IssuerToken Token{HostName("host-a"), IncarnationId(7), 5};
  const ClaimDecision Early = Claims.claim(Start, Token, "k");
  EXPECT_EQ(outcomeOf(*Early.Reply), RefusalOutcome::Unknown);
}

TEST_F(ClaimTableTest, claim_fullEpoch_refusesForEver) {
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

TEST_F(ClaimTableTest, settle_overByteBudget_forgetsOldestAnswerNotItsClaim) {
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

TEST_F(ClaimTableTest, handover_toSuccessor_answersEveryKey) {
  ClaimTable Leaver = makeClaimTable();
  const IssuerToken Token = Leaver.currentToken(Start);
  Leaver.claim(Start, Token, "done");
  Leaver.settle({Token.Epoch, "done"}, makeAnswer("done"));
  Leaver.claim(Start, Token, "open");
  ClaimTable Successor = makeOther("host-b");
  for (const Handover &Part : Leaver.handovers(Start))
    Successor.adopt(Part);
  EXPECT_EQ(Successor.lookUpAdopted(Token, "done").Reply->Body, "done");
  EXPECT_EQ(outcomeOf(*Successor.lookUpAdopted(Token, "open").Reply),
            RefusalOutcome::Unknown);
  EXPECT_EQ(outcomeOf(*Successor.lookUpAdopted(Token, "never").Reply),
            RefusalOutcome::NotRun);
  const IssuerToken Other{HostName("host-c"), IncarnationId(1), 0};
  EXPECT_EQ(outcomeOf(*Successor.lookUpAdopted(Other, "done").Reply),
            RefusalOutcome::Unknown);
}

TEST_F(ClaimTableTest, handover_ofAdoptedClaims_passesThemOn) {
  ClaimTable First = makeClaimTable();
  const IssuerToken Token = First.currentToken(Start);
  First.claim(Start, Token, "k");
  First.settle({Token.Epoch, "k"}, makeAnswer("done"));
  ClaimTable Second = makeOther("host-b");
  for (const Handover &Part : First.handovers(Start))
    Second.adopt(Part);
  ClaimTable Third = makeOther("host-c");
  for (const Handover &Part : Second.handovers(Start))
    Third.adopt(Part);
  EXPECT_EQ(Third.lookUpAdopted(Token, "k").Reply->Body, "done");
}

} // namespace
} // namespace mimosacart
