#include "direct/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};

/// Retries of one service as its servers count them: those of all hosts, those
/// of earlier processes included.
class FleetOfBudgets {
public:
  FleetOfBudgets(std::size_t HostCount, RetryLimits FleetLimits)
      : Limits(FleetLimits), Hosts(HostCount) {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      restart(Host);
    // Long enough for each process to have its whole share.
    Now += 60s;
  }

  std::size_t size() const { return Hosts.size(); }
  void advance(Duration Span) { Now += Span; }
  void sendRequest(std::size_t Host) {
    Hosts[Host]->countRequest(Now);
    Requests.push_back(Now);
  }
  void restart(std::size_t Host) { Hosts[Host].emplace(Limits, Now); }
  /// Sends as many retries as the budget of the host allows, up to \p Most.
  void sendRetries(std::size_t Host, std::size_t Most) {
    for (std::size_t Sent = 0;
         Sent < Most && Hosts[Host]->trySpend(Now, Hosts.size(), 1); ++Sent)
      Retries.push_back(Now);
  }
  void sendRetriesOfAll() {
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      sendRetries(Host, Retries.max_size());
  }

  /// Retries in the window that ends now.
  std::size_t retries() const { return countSince(Retries, Now); }
  /// Limit of that window, by the requests in it, in the one before it or in
  /// the one half a window before it, whichever has most.
  double limit() const {
    const std::size_t Most = std::max(
        {countSince(Requests, Now), countSince(Requests, Now - Limits.Window),
         countSince(Requests, Now - Limits.Window / 2)});
    return Limits.Share * static_cast<double>(Most) + Limits.Slack;
  }
  bool isWithinLimits() const {
    return static_cast<double>(retries()) <= limit();
  }

private:
  std::size_t countSince(const std::vector<Instant> &Times, Instant End) const {
    const Instant From = End - Limits.Window;
    return static_cast<std::size_t>(
        std::count_if(Times.begin(), Times.end(),
                      [&](Instant At) { return At >= From && At <= End; }));
  }

  RetryLimits Limits;
  Instant Now = Start;
  std::vector<std::optional<RetryBudget>> Hosts;
  std::vector<Instant> Requests;
  std::vector<Instant> Retries;
};

/// Number of hosts and limits of sites.
struct Site {
  std::size_t Hosts;
  double Slack;
};

std::ostream &operator<<(std::ostream &Out, const Site &Value) {
  return Out << Value.Hosts << " hosts, slack " << Value.Slack;
}

class RetryBudgetFleetTest : public testing::TestWithParam<Site> {
protected:
  FleetOfBudgets Fleet{GetParam().Hosts, {0.2, GetParam().Slack, 10s}};
};

// Guards against retries that each host may send whatever its share is; at 300
// hosts they add up to more than the limit.
TEST_P(RetryBudgetFleetTest, trySpend_allHostsUseTheirShares_isWithinLimits) {
  Fleet.sendRetriesOfAll();
  EXPECT_LE(Fleet.retries(), Fleet.limit());
}

// Guards against a restarted process that uses what the one before it has used.
TEST_P(RetryBudgetFleetTest, trySpend_allHostsRestartAfterUse_isWithinLimits) {
  Fleet.sendRetriesOfAll();
  for (std::size_t Host = 0; Host < Fleet.size(); ++Host)
    Fleet.restart(Host);
  for (Duration Waited{}; Waited < 10s; Waited += 500ms) {
    Fleet.sendRetriesOfAll();
    EXPECT_LE(Fleet.retries(), Fleet.limit()) << toSeconds(Waited) << " s";
    Fleet.advance(500ms);
  }
}

TEST_P(RetryBudgetFleetTest, trySpend_hostsRestartInTurns_isWithinLimits) {
  for (std::size_t Round = 0; Round < 30; ++Round) {
    Fleet.sendRetriesOfAll();
    EXPECT_LE(Fleet.retries(), Fleet.limit()) << Round;
    for (std::size_t Host = Round % 3; Host < Fleet.size(); Host += 3)
      Fleet.restart(Host);
    Fleet.advance(700ms);
  }
}

// Each host earned its retries by requests of its own last window, so these
// could be requests of two windows of the service.
TEST_P(RetryBudgetFleetTest, trySpend_loadMovesToOtherHosts_isWithinLimits) {
  constexpr std::size_t RequestsPerHost = 200;
  const std::size_t Half = Fleet.size() / 2;
  for (std::size_t Host = 0; Host < Half; ++Host)
    for (std::size_t Count = 0; Count < RequestsPerHost; ++Count)
      Fleet.sendRequest(Host);
  Fleet.advance(7s);
  for (std::size_t Host = 0; Host < Half; ++Host)
    Fleet.sendRetries(Host, 10'000);
  Fleet.advance(9s);
  for (std::size_t Host = Half; Host < Fleet.size(); ++Host) {
    for (std::size_t Count = 0; Count < RequestsPerHost; ++Count)
      Fleet.sendRequest(Host);
    Fleet.sendRetries(Host, 10'000);
  }
  EXPECT_LE(Fleet.retries(), Fleet.limit());
}

INSTANTIATE_TEST_SUITE_P(Sites, RetryBudgetFleetTest,
                         testing::Values(Site{56, 214}, Site{189, 630},
                                         Site{6, 60}, Site{300, 50}));

/// Any mix of requests, retries and restarts, also of all hosts at once.
void checkAnyMix(const Site &Checked, const std::vector<std::uint32_t> &Steps) {
  FleetOfBudgets Fleet(Checked.Hosts, {0.2, Checked.Slack, 10s});
  for (const std::uint32_t Step : Steps) {
    Fleet.advance(std::chrono::milliseconds(Step % 1500));
    const std::size_t Host = (Step >> 12U) % Checked.Hosts;
    const std::uint32_t Kind = (Step >> 24U) % 16;
    if (Kind < 5)
      for (std::uint32_t Count = 0; Count <= Step % 97; ++Count)
        Fleet.sendRequest((Host + Count) % Checked.Hosts);
    else if (Kind < 9)
      Fleet.sendRetriesOfAll();
    else if (Kind < 13)
      Fleet.sendRetries(Host, Step % 41);
    else if (Kind < 15)
      Fleet.restart(Host);
    else
      for (std::size_t Other = 0; Other < Checked.Hosts; ++Other)
        Fleet.restart(Other);
    RC_ASSERT(Fleet.isWithinLimits());
  }
}

RC_GTEST_PROP(RetryBudgetTest, trySpend_anyMixAt56Hosts_isWithinLimits,
              (const std::vector<std::uint32_t> &Steps)) {
  checkAnyMix({56, 214}, Steps);
}

RC_GTEST_PROP(RetryBudgetTest, trySpend_anyMixAt189Hosts_isWithinLimits,
              (const std::vector<std::uint32_t> &Steps)) {
  checkAnyMix({189, 630}, Steps);
}

RC_GTEST_PROP(RetryBudgetTest, trySpend_anyMixAt6Hosts_isWithinLimits,
              (const std::vector<std::uint32_t> &Steps)) {
  checkAnyMix({6, 60}, Steps);
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
  EXPECT_FALSE(Budget.trySpend(Later + 11'999ms, 1, 1));
  EXPECT_TRUE(Budget.trySpend(Later + 12s, 1, 1));
}

// An earlier process of the same host may have used its part of the slack.
TEST(RetryBudgetTest, trySpend_rightAfterStart_usesNoSlack) {
  RetryBudget Budget({0.2, 50, 10s}, Start);
  EXPECT_FALSE(Budget.trySpend(Start, 5, 1));
  EXPECT_FALSE(Budget.trySpend(Start + 12s, 5, 1));
  EXPECT_TRUE(Budget.trySpend(Start + 12'001ms, 5, 1));
}

TEST(RetryBudgetTest, trySpend_rightAfterStart_usesRetriesThatRequestsEarned) {
  RetryBudget Budget({0.2, 50, 10s}, Start);
  for (unsigned Count = 0; Count < 10; ++Count)
    Budget.countRequest(Start);
  EXPECT_TRUE(Budget.trySpend(Start, 5, 1));
  EXPECT_FALSE(Budget.trySpend(Start, 5, 1));
}

TEST(RetryBudgetTest, trySpend_firstStartOfFleet_usesSlackOnceHostsAreFound) {
  RetryBudget Budget({0.2, 50, 10s, true}, Start);
  EXPECT_FALSE(Budget.trySpend(Start + 3s, 5, 1));
  EXPECT_TRUE(Budget.trySpend(Start + 3'001ms, 5, 1));
}

TEST(RetryBudgetTest, trySpend_numberOfHostsUnknown_usesNoSlack) {
  RetryBudget Budget({0.2, 50, 10s}, Start);
  EXPECT_FALSE(Budget.trySpend(Start + 1h, 0, 1));
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
