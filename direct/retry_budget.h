/// \file
/// This host's part of the repeats that the whole fleet may send to a service.
#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>

namespace mimosacart {

/// The fleet's bound on repeats: in each window, a share of the requests and
/// a fixed number on top.
struct RetryLimits {
  double Share = 0.2;
  double Slack = 50;
  Duration Window = std::chrono::seconds(10);

  friend bool operator==(const RetryLimits &, const RetryLimits &) = default;
};

/// Counts requests and repeats of one service at this host.
///
/// Hosts share the bound without talking: each earns its share from its own
/// requests and takes an equal part of the slack. A part of both is left
/// unused, for views of the fleet that differ and for earlier lives of hosts.
class RetryBudget {
public:
  RetryBudget(RetryLimits Limits, Instant Start)
      : Limits(Limits), Start(Start) {}

  void countRequest(Instant Now);
  /// Takes one repeat if \p Part of the allowance (0 to 1) is not used up.
  bool spend(Instant Now, std::size_t Hosts, double Part);
  /// Repeats that are left now.
  double left(Instant Now, std::size_t Hosts, double Part);

private:
  void expire(Instant Now);

  const RetryLimits Limits;
  const Instant Start;
  std::deque<Instant> Requests;
  std::deque<Instant> Repeats;
};

} // namespace mimosacart
