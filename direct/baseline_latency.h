/// \file
/// Latency of each route on a server that is neither slow nor busy.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <string>

namespace mimosacart {

/// Smoothed latencies by route. RequestFlow records only answers of servers
/// that were nominal when the call was sent: latencies under overload would
/// raise the expected latency of all servers, and requests would be held
/// without need.
class BaselineLatency {
public:
  /// Records the \p Latency of an answer that was expected to take \p Factor
  /// times the baseline.
  void record(const std::string &Route, Duration Latency, double Factor);

  /// Returns the baseline latency; before the first answer, a fixed share of
  /// \p Objective.
  Duration baseline(const std::string &Route, Duration Objective) const;

private:
  std::map<std::string, double> Microseconds;
};

} // namespace mimosacart
