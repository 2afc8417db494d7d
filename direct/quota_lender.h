/// \file
/// Token bucket of one workspace at the host that lends for it.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <string>

namespace mimosacart {

/// Lends the tokens of one workspace to all hosts. The tokens in the bucket and
/// those in valid leases never exceed the size of the bucket plus what is
/// earned in the lifetime of a lease, whatever is returned.
class QuotaLender {
public:
  struct Rates {
    double TokensPerSecond = 0;
    double Size = 1;
    Duration Lifetime{};
  };

  /// The bucket is empty and earns from \p StartsAt on.
  explicit QuotaLender(Instant StartsAt)
      : StartsAt(StartsAt), EarnedAt(StartsAt), NextSlotAt(StartsAt) {}

  void setRates(Instant Now, const Rates &NewRates);
  /// Takes over the state of the previous lender, whose leases expire within
  /// the lifetime of a lease.
  void takeOver(Instant Now, std::uint32_t Tokens, std::uint32_t LentBefore);
  bool hasStarted(Instant Now) const { return Now >= StartsAt; }
  /// Lends up to \p Wanted tokens, only whole ones.
  std::uint32_t lend(Instant Now, const std::string &Borrower,
                     std::uint32_t Wanted);
  /// Takes back tokens, at most those of valid leases of \p Borrower.
  void takeBack(Instant Now, const std::string &Borrower, std::uint32_t Tokens);
  /// Time until a token is expected for a host that got too few. Each call
  /// names a later token, so that hosts do not come back together.
  Duration assignWait(Instant Now);
  std::uint32_t tokens(Instant Now);
  /// Tokens in valid leases; some of them may be used.
  std::uint32_t lent(Instant Now);

private:
  struct Lease {
    Instant ExpiresAt{};
    std::string Borrower;
    std::uint32_t Tokens = 0;
  };

  void update(Instant Now);

  Instant StartsAt;
  Instant EarnedAt;
  Instant NextSlotAt;
  /// Waits assigned in this second, and whether there were many in the last.
  double Waits = 0;
  Instant WaitsCountedFrom{};
  bool IsBusy = false;
  Rates Current;
  /// May be fractional.
  double Tokens = 0;
  std::uint64_t Lent = 0;
  /// In the order of their ends.
  std::deque<Lease> Leases;
};

} // namespace mimosacart
