/// \file
/// A budget that is earned by ordinary work or by time and spent on extras.
#pragma once

#include <algorithm>

namespace mimosacart {

/// Holds up to a maximum of tokens; fractions may be earned.
class TokenBucket {
public:
  TokenBucket(double Maximum, double Initial)
      : Maximum(Maximum), Tokens(Initial) {}

  void earn(double Amount) { Tokens = std::min(Maximum, Tokens + Amount); }

  /// Takes \p Amount tokens, or nothing and false if there are fewer.
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
