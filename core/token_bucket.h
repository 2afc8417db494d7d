/// \file
/// A budget for extra work such as retries and hedges. Its tokens are earned by
/// ordinary requests or over time.
#pragma once

#include <algorithm>

namespace mimosacart {

/// Holds a limited number of tokens, which may be fractional.
class TokenBucket {
public:
  TokenBucket(double Maximum, double Initial)
      : Maximum(Maximum), Tokens(Initial) {}

  /// Adds \p Amount tokens, up to the maximum.
  void earn(double Amount) { Tokens = std::min(Maximum, Tokens + Amount); }

  /// Takes \p Amount tokens. Takes none and returns false if fewer are
  /// available.
  bool spend(double Amount) {
    if (Tokens < Amount)
      return false;
    Tokens -= Amount;
    return true;
  }

  double available() const { return Tokens; }

private:
  double Maximum;
  double Tokens;
};

} // namespace mimosacart
