/// \file
/// How long a message was on its way, although hosts' clocks are not equal.
#pragma once

#include "core/time.h"

#include <algorithm>
#include <optional>

namespace mimosacart {

/// Compares each message of one sender with the fastest one so far.
///
/// The difference between receiver's and sender's clock is smallest for the
/// fastest message; whatever a later message has beyond that is its delay.
class DelayEstimator {
public:
  /// Delay of a message sent at \p SentAt by the sender's clock and received
  /// at \p Now, beyond that of the fastest message. Zero for the first one.
  Duration observe(Instant Now, Instant SentAt) {
    const Duration Offset = Now - SentAt;
    if (!Fastest) {
      Fastest = Offset;
      LastSeen = Now;
      return Duration::zero();
    }
    // Two clocks may drift apart, so the fastest message grows old.
    const Duration Drift = (Now - LastSeen) / DriftDivisor;
    LastSeen = Now;
    Fastest = std::min(Offset, *Fastest + Drift);
    return Offset - *Fastest;
  }

private:
  /// Clocks are taken to drift by at most 1 part in 5,000.
  static constexpr int DriftDivisor = 5'000;

  std::optional<Duration> Fastest;
  Instant LastSeen{};
};

} // namespace mimosacart
