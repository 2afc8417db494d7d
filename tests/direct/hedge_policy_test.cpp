/// \file
/// Delay and limits of hedges.
#include "direct/hedge_policy.h"

#include <gtest/gtest.h>

#include <deque>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const ServiceName Records("records");
constexpr HedgePolicy::Situation Calm{false, 1s, 100ms, 100};
const Instant Start{1h};

void countRequests(HedgePolicy &Policy, Instant Now, unsigned Count) {
  for (unsigned Index = 0; Index < Count; ++Index)
    Policy.countRequest(Now, Records);
}

// Guards against more hedges than the operator accepts when every call is slow,
// on a host with three and a half requests a second.
TEST(HedgePolicyTest, findRefusal_everyRequestIsSlow_keepsShareInWindow) {
  constexpr double Share = 0.05;
  HedgePolicy Policy(Share);
  std::deque<Instant> Requests;
  std::deque<Instant> Hedges;
  std::size_t AllHedges = 0;
  for (unsigned Index = 0; Index < 2000; ++Index) {
    const Instant Now = Start + Index * 286ms;
    Policy.countRequest(Now, Records);
    Requests.push_back(Now);
    if (Policy.findRefusal(Now, Records, Calm) == HedgeRefusal::None) {
      Policy.countHedge(Now, Records);
      Hedges.push_back(Now);
      ++AllHedges;
    }
    while (Requests.front() <= Now - 60s)
      Requests.pop_front();
    while (!Hedges.empty() && Hedges.front() <= Now - 60s)
      Hedges.pop_front();
    ASSERT_LE(static_cast<double>(Hedges.size()),
              Share * static_cast<double>(Requests.size()));
  }
  EXPECT_GE(AllHedges, 80U);
}

// Guards against a minute's hedges at once when many servers turn slow.
TEST(HedgePolicyTest, findRefusal_allDueAtOnce_spreadsThemOverWindow) {
  HedgePolicy Policy(0.05);
  for (unsigned Second = 0; Second < 60; ++Second)
    countRequests(Policy, Start + Second * 1s, 20);
  const Instant Now = Start + 59s;
  unsigned Hedges = 0;
  while (Policy.findRefusal(Now, Records, Calm) == HedgeRefusal::None) {
    Policy.countHedge(Now, Records);
    ++Hedges;
  }
  EXPECT_EQ(Hedges, 10U);
}

TEST(HedgePolicyTest, findRefusal_shareIsZero_refuses) {
  HedgePolicy Policy(0);
  countRequests(Policy, Start, 1000);
  EXPECT_TRUE(Policy.isOff());
  EXPECT_EQ(Policy.findRefusal(Start, Records, Calm), HedgeRefusal::OverShare);
}

// Guards against hedges that take slots from waiting requests, that end too
// late, or that use up what retries after failures need.
TEST(HedgePolicyTest, findRefusal_otherNeeds_goFirst) {
  HedgePolicy Policy(0.5);
  countRequests(Policy, Start, 100);
  EXPECT_EQ(Policy.findRefusal(Start, Records, Calm), HedgeRefusal::None);
  HedgePolicy::Situation Hedge = Calm;
  Hedge.ServersShort = true;
  EXPECT_EQ(Policy.findRefusal(Start, Records, Hedge),
            HedgeRefusal::ServersShort);
  Hedge = Calm;
  Hedge.TimeLeft = 100ms;
  EXPECT_EQ(Policy.findRefusal(Start, Records, Hedge), HedgeRefusal::TooLate);
  Hedge = Calm;
  Hedge.RetriesLeft = 4;
  EXPECT_EQ(Policy.findRefusal(Start, Records, Hedge), HedgeRefusal::None);
  for (unsigned Index = 0; Index < 4; ++Index)
    Policy.countRetryAfterFailure(Start, Records);
  EXPECT_EQ(Policy.findRefusal(Start, Records, Hedge),
            HedgeRefusal::RetriesFirst);
}

// Guards against hedging normal calls, and against a delay drawn to the length
// of one request in 33 that takes seven times as long.
TEST(HedgePolicyTest, findDelay_oneIn33Long_liesAboveNormalCalls) {
  HedgePolicy Policy(0.05);
  for (unsigned Index = 0; Index < 990; ++Index)
    Policy.recordLatency(Start, "lookup",
                         Index % 33 == 0 ? 700ms : 80ms + Index % 40 * 1ms, 1);
  const auto Delay = Policy.findDelay(Start, "lookup", 1);
  ASSERT_TRUE(Delay.has_value());
  EXPECT_GE(*Delay, 115ms);
  EXPECT_LE(*Delay, 140ms);
  // A call to a server that is known to be slow gets more time.
  EXPECT_EQ(*Policy.findDelay(Start, "lookup", 7), *Delay * 7);
}

TEST(HedgePolicyTest, findDelay_fewOrOldSamples_knowsNone) {
  HedgePolicy Policy(0.05);
  for (unsigned Index = 0; Index < 39; ++Index)
    Policy.recordLatency(Start, "lookup", 80ms, 1);
  EXPECT_FALSE(Policy.findDelay(Start, "lookup", 1).has_value());
  Policy.recordLatency(Start, "lookup", 80ms, 1);
  EXPECT_TRUE(Policy.findDelay(Start, "lookup", 1).has_value());
  EXPECT_FALSE(Policy.findDelay(Start + 10min, "lookup", 1).has_value());
}

// Guards against a delay that stays short after a route has become slower.
TEST(HedgePolicyTest, findDelay_routeBecomesSlower_followsWithinMinutes) {
  HedgePolicy Policy(0.05);
  for (unsigned Index = 0; Index < 600; ++Index)
    Policy.recordLatency(Start + Index * 1s, "lookup",
                         Index < 300 ? 80ms : 160ms, 1);
  EXPECT_GE(*Policy.findDelay(Start + 600s, "lookup", 1), 160ms);
}

} // namespace
} // namespace mimosacart
