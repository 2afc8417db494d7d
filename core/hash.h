/// \file
/// 64-bit hashing with the same results on every host.
#pragma once

#include <cstdint>
#include <string_view>

namespace mimosacart {

/// Returns the XXH3 hash of \p Text. To hash several strings together, pass the
/// hash of the previous one as \p Seed.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

} // namespace mimosacart
