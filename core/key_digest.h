/// \file
/// Digests of the keys with which callers identify their workspace.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <string_view>

namespace mimosacart {

/// SHA-256 digest of a caller's key. Only digests are stored and compared, so
/// that no key can get into a log line, a metric or a message.
struct KeyDigest {
  static constexpr std::size_t Size = 32;
  std::array<unsigned char, Size> Bytes{};

  friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;
};

/// Returns the digest of \p Key.
KeyDigest digestKey(std::string_view Key);

} // namespace mimosacart
