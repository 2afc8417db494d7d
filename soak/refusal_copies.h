/// \file
/// Copies of refusals that servers send late.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace mimosacart {

/// Draws when refusals are sent again, from an engine of its own, so that the
/// other faults of a seed stay the same.
class RefusalCopies {
public:
  explicit RefusalCopies(std::uint64_t Seed) : Random(Seed) {}

  /// Returns the time after which \p Bytes, sent by a server, are sent again;
  /// nothing if they are no refusal.
  std::optional<std::chrono::milliseconds> drawDelay(std::string_view Bytes);
  /// Number of copies drawn.
  std::size_t count() const { return Count; }

private:
  std::mt19937_64 Random;
  std::size_t Count = 0;
};

} // namespace mimosacart
