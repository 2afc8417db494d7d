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

  friend bool operator==(const RetryLimits &, const RetryLimits &) = default;
};

/// Counts requests and retries of one service at this host.
///
/// Hosts share the limits without communication: each earns retries from its
/// own requests and takes an equal part of the slack. A part of both stays
/// unused, because hosts may disagree on the size of the fleet and a host that
/// restarts has no record of the retries that it sent before.
class RetryBudget {
public:
  RetryBudget(RetryLimits Limits, Instant Start)
      : Limits(Limits), Start(Start) {}

  void countRequest(Instant Now);
  /// Takes one retry if \p BudgetShare (0 to 1) of the budget is not used up.
  /// \p Hosts is the number of hosts in the fleet.
  bool trySpend(Instant Now, std::size_t Hosts, double BudgetShare);
  /// Returns the number of retries left; may be fractional or negative.
  double remaining(Instant Now, std::size_t Hosts, double BudgetShare);

private:
  void dropExpired(Instant Now);

  const RetryLimits Limits;
  const Instant Start;
  std::deque<Instant> Requests;
  std::deque<Instant> Retries;
};

} // namespace mimosacart
