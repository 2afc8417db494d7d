/// \file
/// String helpers.
#pragma once

#include "core/time.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string_view>

namespace mimosacart {

/// Compares ASCII strings, ignoring case.
inline bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char L, unsigned char R) {
                      return std::tolower(L) == std::tolower(R);
                    });
}

/// Upper limit of parsed durations. A longer one is probably a mistake, and the
/// limit keeps sums of durations in range.
inline constexpr Duration LongestDuration = std::chrono::hours(24 * 365);

/// Parses a non-negative number followed by the unit `ms` or `s`; returns
/// nothing if \p Text is malformed or exceeds LongestDuration.
inline std::optional<Duration> parseDuration(std::string_view Text) {
  constexpr double MicrosecondsPerMs = 1e3;
  constexpr double MicrosecondsPerSecond = 1e6;
  double Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number);
  const std::string_view Unit(Read.ptr,
                              static_cast<std::size_t>(End - Read.ptr));
  if (Read.ec != std::errc() || (Unit != "ms" && Unit != "s"))
    return std::nullopt;
  const double Scale = Unit == "s" ? MicrosecondsPerSecond : MicrosecondsPerMs;
  const double Microseconds = Number * Scale;
  // NaN, which from_chars also accepts, fails both comparisons.
  const bool InRange =
      Microseconds >= 0 &&
      Microseconds <= static_cast<double>(LongestDuration.count());
  if (!InRange)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(Microseconds));
}

} // namespace mimosacart
