#include "core/claim_ledger.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};

AnswerPtr makeAnswer(const std::string &Body) {
  return std::make_shared<const Answer>(Answer{200, {}, Body});
}

class ClaimLedgerTest : public testing::Test {
protected:
  ClaimLedger makeLedger(ClaimLimits Limits = {}) const {
    return {HostName("host-a"), Incarnation(7), Start, Limits,
            [](const ClaimKey &, const AnswerPtr &) {}};
  }

  ClaimLedger makeOther(const std::string &Name) const {
    return {HostName(Name),
            Incarnation(9),
            Start,
            {},
            [](const ClaimKey &, const AnswerPtr &) {}};
  }
};

TEST_F(ClaimLedgerTest, claim_firstUse_isGranted) {
  ClaimLedger Ledger = makeLedger();
  const IssuerToken Token = Ledger.currentToken(Start);
  EXPECT_EQ(Ledger.claim(Start, Token, "k").Verdict, ClaimVerdict::Granted);
  EXPECT_EQ(Ledger.pending(), 1U);
}

TEST_F(ClaimLedgerTest, claim_secondUseWhilePending_waits) {
  ClaimLedger Ledger = makeLedger();
  const IssuerToken Token = Ledger.currentToken(Start);
  Ledger.claim(Start, Token, "k");
  EXPECT_EQ(Ledger.claim(Start, Token, "k").Verdict, ClaimVerdict::Pending);
}

TEST_F(ClaimLedgerTest, claim_afterSettle_returnsTheStoredAnswer) {
  ClaimLedger Ledger = makeLedger();
  const IssuerToken Token = Ledger.currentToken(Start);
  Ledger.claim(Start, Token, "k");
  Ledger.settle({Token.Epoch, "k"}, makeAnswer("done"));
  const ClaimDecision Again = Ledger.claim(Start, Token, "k");
  EXPECT_EQ(Again.Verdict, ClaimVerdict::Settled);
  EXPECT_EQ(Again.Reply->Body, "done");
}

TEST_F(ClaimLedgerTest, claim_afterNotRunRefusal_neverRunsAgain) {
  ClaimLedger Ledger = makeLedger();
  const IssuerToken Token = Ledger.currentToken(Start);
  Ledger.claim(Start, Token, "k");
  Ledger.settle({Token.Epoch, "k"},
                toAnswer({Outcome::NotRun, Reason::Overloaded, 1s}));
  const ClaimDecision Late = Ledger.claim(Start + 5s, Token, "k");
  EXPECT_EQ(Late.Verdict, ClaimVerdict::Settled);
  EXPECT_EQ(outcomeOf(*Late.Reply), Outcome::NotRun);
}

TEST_F(ClaimLedgerTest, settle_knownAfterUnknown_replacesIt) {
  ClaimLedger Ledger = makeLedger();
  const IssuerToken Token = Ledger.currentToken(Start);
  Ledger.claim(Start, Token, "k");
  Ledger.settle({Token.Epoch, "k"},
                toAnswer({Outcome::Unknown, Reason::ServerTimeout, 0s}));
  Ledger.settle({Token.Epoch, "k"}, makeAnswer("late"));
  EXPECT_EQ(Ledger.claim(Start, Token, "k").Reply->Body, "late");
}

TEST_F(ClaimLedgerTest, settle_otherAfterKnown_keepsTheFirst) {
  ClaimLedger Ledger = makeLedger();
  const IssuerToken Token = Ledger.currentToken(Start);
  Ledger.claim(Start, Token, "k");
  Ledger.settle({Token.Epoch, "k"}, makeAnswer("first"));
  Ledger.settle({Token.Epoch, "k"}, makeAnswer("second"));
  EXPECT_EQ(Ledger.claim(Start, Token, "k").Reply->Body, "first");
}

TEST_F(ClaimLedgerTest, claim_forgottenEpoch_isUnknown) {
  ClaimLimits Limits;
  Limits.EpochLength = 60s;
  Limits.RetainedEpochs = 2;
  ClaimLedger Ledger = makeLedger(Limits);
  const IssuerToken Token = Ledger.currentToken(Start);
  Ledger.claim(Start, Token, "k");
  const Instant Later = Start + 200s;
  Ledger.expire(Later);
  const ClaimDecision Late = Ledger.claim(Later, Token, "k");
  EXPECT_EQ(Late.Verdict, ClaimVerdict::Refused);
  EXPECT_EQ(outcomeOf(*Late.Reply), Outcome::Unknown);
  EXPECT_EQ(Ledger.size(), 0U);
}

TEST_F(ClaimLedgerTest, claim_epochNeverIssued_isUnknown) {
  ClaimLedger Ledger = makeLedger();
  const IssuerToken Token{HostName("host-a"), Incarnation(7), 5};
  const ClaimDecision Early = Ledger.claim(Start, Token, "k");
  EXPECT_EQ(outcomeOf(*Early.Reply), Outcome::Unknown);
}

TEST_F(ClaimLedgerTest, claim_fullEpoch_refusesForEver) {
  ClaimLimits Limits;
  Limits.ClaimsPerEpoch = 1;
  ClaimLedger Ledger = makeLedger(Limits);
  const IssuerToken Token = Ledger.currentToken(Start);
  Ledger.claim(Start, Token, "k1");
  EXPECT_EQ(outcomeOf(*Ledger.claim(Start, Token, "k2").Reply),
            Outcome::NotRun);
  Ledger.settle({Token.Epoch, "k1"}, makeAnswer("done"));
  EXPECT_EQ(outcomeOf(*Ledger.claim(Start, Token, "k2").Reply),
            Outcome::NotRun);
}

TEST_F(ClaimLedgerTest, settle_overByteBudget_forgetsOldestAnswerNotItsClaim) {
  ClaimLimits Limits;
  Limits.AnswerBytes = 10;
  ClaimLedger Ledger = makeLedger(Limits);
  const IssuerToken Token = Ledger.currentToken(Start);
  Ledger.claim(Start, Token, "k1");
  Ledger.settle({Token.Epoch, "k1"}, makeAnswer("12345678"));
  Ledger.claim(Start, Token, "k2");
  Ledger.settle({Token.Epoch, "k2"}, makeAnswer("12345678"));
  EXPECT_EQ(Ledger.answerBytes(), 8U);
  EXPECT_EQ(outcomeOf(*Ledger.claim(Start, Token, "k1").Reply), Outcome::Ran);
  EXPECT_EQ(Ledger.claim(Start, Token, "k2").Reply->Body, "12345678");
}

TEST_F(ClaimLedgerTest, handover_toSuccessor_answersEveryKey) {
  ClaimLedger Leaver = makeLedger();
  const IssuerToken Token = Leaver.currentToken(Start);
  Leaver.claim(Start, Token, "done");
  Leaver.settle({Token.Epoch, "done"}, makeAnswer("done"));
  Leaver.claim(Start, Token, "open");
  ClaimLedger Successor = makeOther("host-b");
  for (const Handover &Part : Leaver.handovers(Start))
    Successor.adopt(Part);
  EXPECT_EQ(Successor.lookUpAdopted(Token, "done").Reply->Body, "done");
  EXPECT_EQ(outcomeOf(*Successor.lookUpAdopted(Token, "open").Reply),
            Outcome::Unknown);
  EXPECT_EQ(outcomeOf(*Successor.lookUpAdopted(Token, "never").Reply),
            Outcome::NotRun);
  const IssuerToken Other{HostName("host-c"), Incarnation(1), 0};
  EXPECT_EQ(outcomeOf(*Successor.lookUpAdopted(Other, "done").Reply),
            Outcome::Unknown);
}

TEST_F(ClaimLedgerTest, handover_ofAdoptedClaims_passesThemOn) {
  ClaimLedger First = makeLedger();
  const IssuerToken Token = First.currentToken(Start);
  First.claim(Start, Token, "k");
  First.settle({Token.Epoch, "k"}, makeAnswer("done"));
  ClaimLedger Second = makeOther("host-b");
  for (const Handover &Part : First.handovers(Start))
    Second.adopt(Part);
  ClaimLedger Third = makeOther("host-c");
  for (const Handover &Part : Second.handovers(Start))
    Third.adopt(Part);
  EXPECT_EQ(Third.lookUpAdopted(Token, "k").Reply->Body, "done");
}

} // namespace
} // namespace mimosacart
