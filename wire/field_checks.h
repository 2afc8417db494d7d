/// \file
/// Checks of fields that hold what no sender of ours writes.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

namespace mimosacart {

/// Thrown by readers of fields; decode() turns it into WireError::BadField.
struct BadField {};

/// \p Value as an enumerator up to \p Last.
template <typename Enum> Enum checkedEnum(std::uint32_t Value, Enum Last) {
  if (Value > static_cast<std::uint32_t>(Last))
    throw BadField();
  return static_cast<Enum>(Value);
}

/// What \p Value holds; a field was impossible if it holds nothing.
template <typename T> T required(std::optional<T> Value) {
  if (!Value)
    throw BadField();
  return std::move(*Value);
}

} // namespace mimosacart
