#include "direct/retry_budget.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Part of the fleet's bound that is used.
constexpr double UsedPart = 0.75;
/// Repeats that a host may send right after its start.
constexpr double InitialRepeats = 1;

} // namespace

void RetryBudget::countRequest(Instant Now) {
  expire(Now);
  Requests.push_back(Now);
}

double RetryBudget::left(Instant Now, std::size_t Hosts, double Part) {
  expire(Now);
  // An earlier life of this host may have used its slack just now.
  const double Grown =
      std::min(1.0, toSeconds(Now - Start) / toSeconds(Limits.Window));
  const double Slack = UsedPart * Limits.Slack * Grown /
                       static_cast<double>(std::max<std::size_t>(Hosts, 1));
  const double Earned =
      UsedPart * Limits.Share * static_cast<double>(Requests.size());
  return Part * (Slack + Earned) + InitialRepeats -
         static_cast<double>(Repeats.size());
}

bool RetryBudget::spend(Instant Now, std::size_t Hosts, double Part) {
  if (left(Now, Hosts, Part) < 1)
    return false;
  Repeats.push_back(Now);
  return true;
}

void RetryBudget::expire(Instant Now) {
  for (std::deque<Instant> *Times : {&Requests, &Repeats})
    while (!Times->empty() && Times->front() + Limits.Window < Now)
      Times->pop_front();
}

} // namespace mimosacart
