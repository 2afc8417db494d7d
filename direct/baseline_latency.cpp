#include "direct/baseline_latency.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr double NewestWeight = 0.05;
/// A sample counts at most this many times the average, so that a single
/// straggler has little effect.
constexpr double MaxSampleFactor = 2;
/// Baseline assumed for a route without samples, as a share of its objective.
constexpr double InitialShareOfObjective = 0.35;

} // namespace

void BaselineLatency::record(const std::string &Route, Duration Latency,
                             double Factor) {
  const double Sample = static_cast<double>(Latency.count()) / Factor;
  const auto [Average, Added] = Microseconds.try_emplace(Route, Sample);
  if (Added)
    return;
  const double Bounded = std::min(Sample, Average->second * MaxSampleFactor);
  Average->second += NewestWeight * (Bounded - Average->second);
}

Duration BaselineLatency::baseline(const std::string &Route,
                                   Duration Objective) const {
  const auto Found = Microseconds.find(Route);
  if (Found == Microseconds.end())
    return scaled(Objective, InitialShareOfObjective);
  return Duration(static_cast<Duration::rep>(Found->second));
}

} // namespace mimosacart
