#include "direct/baseline_latency.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr double NewestWeight = 0.05;
/// One straggler says little of the usual time.
constexpr double MaxSampleFactor = 2;
/// Objectives leave this much room for the usual time.
constexpr double UnknownShareOfObjective = 0.35;

} // namespace

void BaselineLatency::record(const std::string &Route, Duration Time,
                             double Factor) {
  const double Sample = static_cast<double>(Time.count()) / Factor;
  const auto [Place, Added] = Microseconds.try_emplace(Route, Sample);
  if (Added)
    return;
  const double Bounded = std::min(Sample, Place->second * MaxSampleFactor);
  Place->second += NewestWeight * (Bounded - Place->second);
}

Duration BaselineLatency::baseline(const std::string &Route,
                                   Duration Objective) const {
  const auto Found = Microseconds.find(Route);
  if (Found == Microseconds.end())
    return scaled(Objective, UnknownShareOfObjective);
  return Duration(static_cast<Duration::rep>(Found->second));
}

} // namespace mimosacart
