/// \file
/// Small helpers for texts.
#pragma once

#include <algorithm>
#include <cctype>
#include <string_view>

namespace mimosacart {

/// Compares ASCII texts without regard to case.
inline bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char L, unsigned char R) {
                      return std::tolower(L) == std::tolower(R);
                    });
}

} // namespace mimosacart
