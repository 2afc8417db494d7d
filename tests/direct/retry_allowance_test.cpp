#include "direct/retry_allowance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};

TEST(RetryAllowanceTest, spend_rightAfterStart_isAlmostNothing) {
  RetryAllowance Allowance({0.2, 50, 10s}, Start);
  EXPECT_TRUE(Allowance.spend(Start, 5, 1));
  EXPECT_FALSE(Allowance.spend(Start, 5, 1));
}

TEST(RetryAllowanceTest, spend_partForHedges_leavesTheRestForFailures) {
  RetryAllowance Allowance({0.2, 50, 10s}, Start);
  const Instant Later = Start + 20s;
  while (Allowance.spend(Later, 1, 0.5)) {
  }
  EXPECT_GE(Allowance.left(Later, 1, 1), 10);
}

TEST(RetryAllowanceTest, spend_windowPassed_isEarnedAgain) {
  RetryAllowance Allowance({0.2, 50, 10s}, Start);
  const Instant Later = Start + 20s;
  while (Allowance.spend(Later, 1, 1)) {
  }
  EXPECT_FALSE(Allowance.spend(Later + 9s, 1, 1));
  EXPECT_TRUE(Allowance.spend(Later + 11s, 1, 1));
}

/// Whatever the hosts are asked, the fleet keeps its bound in every window.
RC_GTEST_PROP(RetryAllowanceTest, spend_manyHosts_fleetKeepsItsBound,
              (const std::vector<std::uint16_t> &Steps)) {
  constexpr std::size_t Hosts = 4;
  const RetryBound Bound{0.2, 56, 10s};
  std::vector<RetryAllowance> Fleet(Hosts, RetryAllowance(Bound, Start));
  std::vector<Instant> Requests;
  std::vector<Instant> Repeats;
  Instant Now = Start;
  for (const std::uint16_t Step : Steps) {
    Now += std::chrono::milliseconds(Step % 400);
    RetryAllowance &Host = Fleet[Step % Hosts];
    if (Step % 3 == 0) {
      Host.countRequest(Now);
      Requests.push_back(Now);
    } else if (Host.spend(Now, Hosts, 1)) {
      Repeats.push_back(Now);
    }
    const auto InWindow = [&](const std::vector<Instant> &Times) {
      return static_cast<double>(
          std::count_if(Times.begin(), Times.end(),
                        [&](Instant At) { return Now - At <= Bound.Window; }));
    };
    RC_ASSERT(InWindow(Repeats) <=
              Bound.Share * InWindow(Requests) + Bound.Slack);
  }
}

} // namespace
} // namespace mimosacart
