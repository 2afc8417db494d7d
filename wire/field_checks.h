/// \file
/// Checks for field values that a correct sender never writes.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

namespace mimosacart {

/// Thrown for an invalid field; decode() reports it as WireError::BadField.
struct BadField {};

/// Converts \p Value to an enumerator. Throws BadField if it is greater than
/// \p Last.
template <typename Enum> Enum checkedEnum(std::uint32_t Value, Enum Last) {
  if (Value > static_cast<std::uint32_t>(Last))
    throw BadField();
  return static_cast<Enum>(Value);
}

/// Returns the content of \p Value. Throws BadField if it is empty.
template <typename T> T required(std::optional<T> Value) {
  if (!Value)
    throw BadField();
  return std::move(*Value);
}

} // namespace mimosacart
