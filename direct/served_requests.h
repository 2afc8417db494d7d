/// \file
/// Requests that servers have run to a good end in the recent past.
#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace mimosacart {

/// Remembers by fingerprint when each request was last served, for Lifetime at
/// least unless more than MaxRequests different ones are served meanwhile.
class ServedRequests {
public:
  static constexpr Duration Lifetime = std::chrono::seconds(20);
  /// Bounds the memory, a few hundred kilobytes.
  static constexpr std::size_t MaxRequests = 4096;

  void record(Instant Now, std::uint64_t Fingerprint);
  /// Returns when the request was last served, if that is remembered.
  std::optional<Instant> lastServed(std::uint64_t Fingerprint) const;

private:
  using TimesByFingerprint = std::unordered_map<std::uint64_t, Instant>;

  /// Requests served since CurrentSince, and those served before.
  TimesByFingerprint Current;
  TimesByFingerprint Previous;
  Instant CurrentSince{};
};

} // namespace mimosacart
