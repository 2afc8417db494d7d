/// \file
/// Smoothed rate of requests.
#pragma once

#include "core/time.h"

#include <optional>

namespace mimosacart {

/// Requests per second, as an average in which older requests count less.
class RequestRate {
public:
  /// Time in which the weight of a request falls to 1/e. Long enough for a
  /// useful rate from a few requests a second.
  static constexpr Duration SmoothingTime = std::chrono::seconds(10);
  /// Time from the first request until there is a rate.
  static constexpr Duration MeasuringTime = std::chrono::seconds(10);

  void count(Instant Now);
  /// Nothing before the rate has been measured for MeasuringTime.
  std::optional<double> perSecond(Instant Now) const;

private:
  std::optional<Instant> FirstAt;
  Instant LatestAt{};
  /// Sum of the requests' weights as of LatestAt.
  double Weight = 0;
};

} // namespace mimosacart
