#include "core/hash.h"

#include <xxhash.h>

namespace mimosacart {

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace mimosacart
