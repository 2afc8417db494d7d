/// \file
/// The middle of a few values.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace mimosacart {

/// Of two middle values the lower one, so that the greater of two values can
/// be told; 0 for no values.
inline double lowerMedian(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace mimosacart
