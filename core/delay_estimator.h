/// \file
/// Estimates the transit delay of messages between hosts whose clocks are not
/// synchronised.
#pragma once

#include "core/time.h"

#include <algorithm>
#include <optional>

namespace mimosacart {

/// Estimates the delay of each message of one sender relative to the fastest
/// message so far.
///
/// The offset between the receive time and the send time includes the constant
/// difference of the two clocks and is smallest for the fastest message. Any
/// excess over that minimum is the delay of a message.
class DelayEstimator {
public:
  /// Records a message sent at \p SentAt by the sender's clock and received at
  /// \p Now. Returns its delay beyond that of the fastest message; zero for the
  /// first message.
  Duration observe(Instant Now, Instant SentAt) {
    const Duration Offset = Now - SentAt;
    if (!MinOffset) {
      MinOffset = Offset;
      LastReceivedAt = Now;
      return Duration::zero();
    }
    // The clocks may drift apart, so the minimum offset is raised over time.
    const Duration Drift = (Now - LastReceivedAt) / DriftDivisor;
    LastReceivedAt = Now;
    MinOffset = std::min(Offset, *MinOffset + Drift);
    return Offset - *MinOffset;
  }

private:
  /// Clocks are assumed to drift apart by at most 1 part in 5,000.
  static constexpr int DriftDivisor = 5'000;

  /// Smallest offset between receive and send time, corrected for drift.
  std::optional<Duration> MinOffset;
  Instant LastReceivedAt{};
};

} // namespace mimosacart
