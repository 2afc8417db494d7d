#include "soak/wish_checker.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class WishCheckerTest : public testing::Test {
protected:
  /// Requests of each host in the same instant.
  void arrive(std::chrono::milliseconds At, std::size_t Host, unsigned Count) {
    for (unsigned Sent = 0; Sent < Count; ++Sent)
      Checker.onArrival(Start + At, Host, "a", Start + At);
  }

  const WishChecker::Time Start{1h};
  bool Disturbed = false;
  /// The last time at which host 0 is interrupted.
  WishChecker::Time InterruptedUntil{};
  WishChecker Checker{[this](std::size_t, WishChecker::Time,
                             WishChecker::Time) { return Disturbed; },
                      [this](std::size_t Host, WishChecker::Time At) {
                        return Host == 0 && At <= InterruptedUntil;
                      }};
};

TEST_F(WishCheckerTest, onArrival_sumOfHostsOverLimit_isReported) {
  Checker.setLimit(Start, "a", 1.0);
  arrive(3500ms, 0, 6);
  arrive(7400ms, 1, 5);
  EXPECT_TRUE(Checker.violations().empty());
  arrive(7450ms, 2, 1);
  EXPECT_EQ(Checker.violations().size(), 1U);
}

TEST_F(WishCheckerTest, onArrival_beforeContact_isNotCounted) {
  Checker.setLimit(Start, "a", 1.0);
  arrive(2900ms, 0, 100);
  arrive(3500ms, 0, 11);
  EXPECT_TRUE(Checker.violations().empty());
}

// Guards against a check that lets a disturbance of a host excuse it for as
// long as the limit holds.
TEST_F(WishCheckerTest, onArrival_interruptedBefore_isCountedAgain) {
  Disturbed = true;
  InterruptedUntil = Start + 6s;
  Checker.setLimit(Start, "a", 1.0);
  arrive(5s, 0, 100);
  EXPECT_TRUE(Checker.violations().empty());
  arrive(7s, 0, 12);
  EXPECT_EQ(Checker.violations().size(), 1U);
}

TEST_F(WishCheckerTest, setLimit_zero_allowsFiveRequests) {
  Checker.setLimit(Start, "a", 0.0);
  arrive(4s, 0, 5);
  EXPECT_TRUE(Checker.violations().empty());
  arrive(4s, 1, 1);
  EXPECT_EQ(Checker.violations().size(), 1U);
}

TEST_F(WishCheckerTest, setLimit_ended_allowsAll) {
  Checker.setLimit(Start, "a", 1.0);
  Checker.setLimit(Start + 4s, "a", std::nullopt);
  arrive(5s, 0, 100);
  EXPECT_TRUE(Checker.violations().empty());
}

} // namespace
} // namespace mimosacart
