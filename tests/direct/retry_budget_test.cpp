#include "direct/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};

TEST(RetryBudgetTest, trySpend_rightAfterStart_allowsOneRetry) {
  RetryBudget Budget({0.2, 50, 10s}, Start);
  EXPECT_TRUE(Budget.trySpend(Start, 5, 1));
  EXPECT_FALSE(Budget.trySpend(Start, 5, 1));
}

TEST(RetryBudgetTest, trySpend_hedgeShareUsedUp_leavesRestForRetries) {
  RetryBudget Budget({0.2, 50, 10s}, Start);
  const Instant Later = Start + 20s;
  while (Budget.trySpend(Later, 1, 0.5)) {
  }
  EXPECT_GE(Budget.remaining(Later, 1, 1), 10);
}

TEST(RetryBudgetTest, trySpend_windowPassed_allowsRetriesAgain) {
  RetryBudget Budget({0.2, 50, 10s}, Start);
  const Instant Later = Start + 20s;
  while (Budget.trySpend(Later, 1, 1)) {
  }
  EXPECT_FALSE(Budget.trySpend(Later + 9s, 1, 1));
  EXPECT_TRUE(Budget.trySpend(Later + 11s, 1, 1));
}

/// For any sequence of requests and retries at its hosts, the fleet stays
/// within its limits in every window.
RC_GTEST_PROP(RetryBudgetTest, trySpend_manyHosts_fleetStaysWithinLimits,
              (const std::vector<std::uint16_t> &Steps)) {
  constexpr std::size_t Hosts = 4;
  const RetryLimits Limits{0.2, 56, 10s};
  std::vector<RetryBudget> Fleet(Hosts, RetryBudget(Limits, Start));
  std::vector<Instant> Requests;
  std::vector<Instant> Retries;
  Instant Now = Start;
  for (const std::uint16_t Step : Steps) {
    Now += std::chrono::milliseconds(Step % 400);
    RetryBudget &Host = Fleet[Step % Hosts];
    if (Step % 3 == 0) {
      Host.countRequest(Now);
      Requests.push_back(Now);
    } else if (Host.trySpend(Now, Hosts, 1)) {
      Retries.push_back(Now);
    }
    const auto InWindow = [&](const std::vector<Instant> &Times) {
      return static_cast<double>(
          std::count_if(Times.begin(), Times.end(),
                        [&](Instant At) { return Now - At <= Limits.Window; }));
    };
    RC_ASSERT(InWindow(Retries) <=
              Limits.Share * InWindow(Requests) + Limits.Slack);
  }
}

} // namespace
} // namespace mimosacart
