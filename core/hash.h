/// \file
/// Stable 64-bit hashing, equal on every host.
#pragma once

#include <cstdint>
#include <string_view>

namespace mimosacart {

/// XXH3 of \p Text; \p Seed chains several hashes.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

} // namespace mimosacart
