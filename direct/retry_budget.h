/// \file
/// This host's share of the retries that the fleet may send to a service.
#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>

namespace mimosacart {

/// Limits on the retries of the whole fleet, hedges included. In each window a
/// service gets at most Share times the number of its requests, plus Slack.
struct RetryLimits {
  double Share = 0.2;
  double Slack = 50;
  Duration Window = std::chrono::seconds(10);
  /// The whole fleet starts for the first time, so that no earlier process of
  /// any host has sent retries.
  bool IsFirstStart = false;

  friend bool operator==(const RetryLimits &, const RetryLimits &) = default;
};

/// Counts requests and retries of one service at this host.
///
/// Hosts share the limits without communication: each earns retries from its
/// own requests and takes an equal part of the slack. What all hosts may send
/// adds up to no more than the limits even if any hosts restart at any time, as
/// long as no host assumes fewer hosts than there are and each retry arrives
/// within a fifth of the window.
class RetryBudget {
public:
  /// \p Start is the start of this process.
  RetryBudget(RetryLimits Limits, Instant Start)
      : Limits(Limits), Start(Start) {}

  void countRequest(Instant Now);
  /// Takes one retry if \p BudgetShare (0 to 1) of the budget is not used up.
  /// \p Hosts is the number of hosts that share the slack; 0 if not known.
  bool trySpend(Instant Now, std::size_t Hosts, double BudgetShare);
  /// Returns the number of retries left; may be fractional or negative.
  double remaining(Instant Now, std::size_t Hosts, double BudgetShare) const;
  /// Returns the number of retries that this host may send in a window.
  double allowed(Instant Now, std::size_t Hosts) const;
  /// Returns the number of retries that are counted as used.
  std::size_t used(Instant Now) const;

private:
  /// Retries and requests up to these times no longer count.
  Instant lastExpiredRetry(Instant Now) const;
  Instant lastExpiredRequest(Instant Now) const;
  /// Returns this host's part of the slack.
  double slack(Instant Now, std::size_t Hosts) const;

  const RetryLimits Limits;
  const Instant Start;
  std::deque<Instant> Requests;
  std::deque<Instant> Retries;
};

} // namespace mimosacart
