#include "direct/retry_budget.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Share of the fleet's limits that the hosts use together. RetryBudget says
/// why the rest stays unused.
constexpr double UsedShareOfLimits = 0.75;
/// Retries added to the share of each host, so that it may send one right after
/// its start.
constexpr double InitialRetries = 1;

} // namespace

void RetryBudget::countRequest(Instant Now) {
  dropExpired(Now);
  Requests.push_back(Now);
}

double RetryBudget::remaining(Instant Now, std::size_t Hosts,
                              double BudgetShare) {
  dropExpired(Now);
  // An earlier incarnation of this host may have used up its slack just before
  // the restart, so the slack grows over the first window.
  const double UptimeShare =
      std::min(1.0, toSeconds(Now - Start) / toSeconds(Limits.Window));
  const double Slack = UsedShareOfLimits * Limits.Slack * UptimeShare /
                       static_cast<double>(std::max<std::size_t>(Hosts, 1));
  const double EarnedByRequests =
      UsedShareOfLimits * Limits.Share * static_cast<double>(Requests.size());
  return BudgetShare * (Slack + EarnedByRequests) + InitialRetries -
         static_cast<double>(Retries.size());
}

bool RetryBudget::trySpend(Instant Now, std::size_t Hosts, double BudgetShare) {
  if (remaining(Now, Hosts, BudgetShare) < 1)
    return false;
  Retries.push_back(Now);
  return true;
}

void RetryBudget::dropExpired(Instant Now) {
  for (std::deque<Instant> *Times : {&Requests, &Retries})
    while (!Times->empty() && Times->front() + Limits.Window < Now)
      Times->pop_front();
}

} // namespace mimosacart
