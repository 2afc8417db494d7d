/// \file
/// The median of a small set of values.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace mimosacart {

/// Returns the median; for an even number of values the lower of the two middle
/// ones, so that the greater of two values lies above the result. Returns 0 for
/// no values.
inline double lowerMedian(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace mimosacart
