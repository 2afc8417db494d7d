/// \file
/// Time types of the core. The core never reads a clock; the current time is
/// passed in.
#pragma once

#include <chrono>
#include <cstdint>

namespace mimosacart {

/// Clock type of the core's time points. It has no now(): the code that calls
/// the core supplies every time point.
struct CoreClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the library.
};

/// A span of time, in microseconds.
using Duration = CoreClock::duration;

/// A point in the monotonic time of one host; values from different hosts are
/// not comparable.
using Instant = CoreClock::time_point;

/// Converts \p Value to milliseconds, including the fraction.
inline double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

/// Converts \p Value to seconds, including the fraction.
inline double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Converts \p Value to milliseconds, truncating the fraction.
inline std::int64_t wholeMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

/// Multiplies \p Value by \p Factor.
inline Duration scaled(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

} // namespace mimosacart
