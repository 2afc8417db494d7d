#include "direct/retry_budget.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Part of the slack that the hosts use together.
constexpr double UsedShareOfSlack = 0.9;
/// Part of Share that a request earns. The hosts' last retries in a window of
/// the service may be a window apart, so that they were earned by requests of
/// two windows, of which the limit counts the greater.
constexpr double EarnedShare = 0.5;
/// Longest time between the decision to send a retry and its arrival at the
/// server that is allowed for, as a part of the window.
constexpr double TransitShare = 0.2;
/// After the first start of a fleet, time until hosts have found each other.
constexpr Duration FirstDiscovery = std::chrono::seconds(3);

Duration maxTransit(const RetryLimits &Limits) {
  return scaled(Limits.Window, TransitShare);
}

/// Number of entries of \p Times, which is sorted, after \p Last.
std::size_t countAfter(const std::deque<Instant> &Times, Instant Last) {
  return static_cast<std::size_t>(
      Times.end() - std::upper_bound(Times.begin(), Times.end(), Last));
}

void dropUntil(std::deque<Instant> &Times, Instant Last) {
  while (!Times.empty() && Times.front() <= Last)
    Times.pop_front();
}

} // namespace

/// Retries count for longer than the window, because they may arrive late, and
/// requests for as much less.
Instant RetryBudget::lastExpiredRetry(Instant Now) const {
  return Now - Limits.Window - maxTransit(Limits);
}

Instant RetryBudget::lastExpiredRequest(Instant Now) const {
  return Now - Limits.Window + maxTransit(Limits);
}

void RetryBudget::countRequest(Instant Now) {
  dropUntil(Requests, lastExpiredRequest(Now));
  Requests.push_back(Now);
}

double RetryBudget::slack(Instant Now, std::size_t Hosts) const {
  // An earlier process of this host may have used its part just before it
  // ended.
  const Duration Wait =
      Limits.IsFirstStart ? FirstDiscovery : Limits.Window + maxTransit(Limits);
  if (Hosts == 0 || Now <= Start + Wait)
    return 0;
  return UsedShareOfSlack * Limits.Slack / static_cast<double>(Hosts);
}

double RetryBudget::allowed(Instant Now, std::size_t Hosts) const {
  const std::size_t Earning = countAfter(Requests, lastExpiredRequest(Now));
  return slack(Now, Hosts) +
         EarnedShare * Limits.Share * static_cast<double>(Earning);
}

std::size_t RetryBudget::used(Instant Now) const {
  return countAfter(Retries, lastExpiredRetry(Now));
}

double RetryBudget::remaining(Instant Now, std::size_t Hosts,
                              double BudgetShare) const {
  return BudgetShare * allowed(Now, Hosts) - static_cast<double>(used(Now));
}

bool RetryBudget::trySpend(Instant Now, std::size_t Hosts, double BudgetShare) {
  if (remaining(Now, Hosts, BudgetShare) < 1)
    return false;
  dropUntil(Retries, lastExpiredRetry(Now));
  Retries.push_back(Now);
  return true;
}

} // namespace mimosacart
