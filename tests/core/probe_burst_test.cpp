/// \file
/// Additional pings after one that was not answered.
#include "core/probe_burst.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class ProbeBurstTest : public testing::Test {
protected:
  /// Number of pings that are asked for after \p Unanswered of the last.
  std::size_t next(std::size_t Unanswered) {
    Now += Interval;
    const std::size_t Count = Burst.next(Now, Unanswered, Now);
    Burst.onSent(Count);
    return Count;
  }

  static constexpr Duration Interval = 300ms;
  Instant Now{1h};
  ProbeBurst Burst{Interval};
};

TEST_F(ProbeBurstTest, next_noneAnswer_pingsMore) {
  Burst.start(Now, Now - 1s, Now);
  const std::size_t First = next(0);
  EXPECT_GT(First, 0U);
  EXPECT_GT(next(First), First);
}

TEST_F(ProbeBurstTest, next_halfAnswer_ends) {
  Burst.start(Now, Now - 1s, Now);
  const std::size_t First = next(0);
  EXPECT_EQ(next(First / 2), 0U);
  EXPECT_FALSE(Burst.isDue(Now + 1h));
}

TEST_F(ProbeBurstTest, next_pingsWereSent_waitsForAnswers) {
  Burst.start(Now, Now - 1s, Now);
  next(0);
  EXPECT_FALSE(Burst.isDue(Now + Interval - 1ms));
  EXPECT_TRUE(Burst.isDue(Now + Interval));
}

TEST_F(ProbeBurstTest, next_noHostIsLeftToPing_ends) {
  Burst.start(Now, Now - 1s, Now);
  Burst.next(Now, 0, Now);
  Burst.onSent(0);
  EXPECT_FALSE(Burst.isDue(Now + 1h));
}

// Guards against a host that takes all others for dead while it is cut off.
TEST_F(ProbeBurstTest, next_noOtherHostIsHeard_ends) {
  const Instant HeardAt = Now - 1s;
  Burst.start(Now, Now - 700ms, HeardAt);
  const std::size_t First = Burst.next(Now, 0, HeardAt);
  Burst.onSent(First);
  EXPECT_EQ(Burst.next(Now + Interval, First, HeardAt), 0U);
}

TEST_F(ProbeBurstTest, start_noOtherHostWasHeardForLong_doesNot) {
  Burst.start(Now, Now - 700ms, Now - 10s);
  EXPECT_FALSE(Burst.isDue(Now));
}

} // namespace
} // namespace mimosacart
