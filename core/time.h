/// \file
/// Virtual time for the core, which never reads a clock itself.
#pragma once

#include <chrono>
#include <cstdint>

namespace mimosacart {

/// Marks time points of the core; the caller of the core supplies every value.
struct CoreClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the library.
};

/// A span of time, in microseconds.
using Duration = CoreClock::duration;

/// A point of a host's monotonic time; hosts' points are not comparable.
using Instant = CoreClock::time_point;

/// Milliseconds of \p Value, with their fraction.
inline double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

/// Seconds of \p Value, with their fraction.
inline double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Whole milliseconds of \p Value.
inline std::int64_t wholeMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

/// \p Value multiplied by \p Factor.
inline Duration scaled(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

} // namespace mimosacart
