#include "direct/request_rate.h"

#include <algorithm>
#include <cmath>

namespace mimosacart {

namespace {

/// What a weight of 1 has become after \p Age.
double decay(Duration Age) {
  return std::exp(-toSeconds(std::max(Age, Duration::zero())) /
                  toSeconds(RequestRate::SmoothingTime));
}

} // namespace

void RequestRate::count(Instant Now) {
  if (!FirstAt)
    FirstAt = Now;
  Weight = Weight * decay(Now - LatestAt) + 1;
  LatestAt = Now;
}

std::optional<double> RequestRate::perSecond(Instant Now) const {
  if (!FirstAt || Now - *FirstAt < MeasuringTime)
    return std::nullopt;
  // The weights of a steady rate add up to less until the start is long ago.
  const double Known = 1 - decay(Now - *FirstAt);
  return Weight * decay(Now - LatestAt) / (toSeconds(SmoothingTime) * Known);
}

} // namespace mimosacart
