#include "direct/quota_lender.h"

#include <algorithm>
#include <cmath>

namespace mimosacart {

namespace {

/// Longest time that a host is told to wait. A host's demand may be gone later.
constexpr Duration MaxWait = std::chrono::seconds(2);
/// Tolerates the rounding of sums of fractions of tokens.
constexpr double Rounding = 1e-6;

} // namespace

void QuotaLender::update(Instant Now) {
  while (!Leases.empty() && Leases.front().ExpiresAt <= Now) {
    Lent -= Leases.front().Tokens;
    Leases.pop_front();
  }
  if (Now > EarnedAt) {
    Tokens += toSeconds(Now - EarnedAt) * Current.TokensPerSecond;
    EarnedAt = Now;
  }
  const double Left = Current.Size +
                      Current.TokensPerSecond * toSeconds(Current.Lifetime) -
                      static_cast<double>(Lent);
  Tokens = std::min({Tokens, Current.Size, std::max(0.0, Left)});
}

void QuotaLender::setRates(Instant Now, const Rates &NewRates) {
  update(Now);
  Current = NewRates;
  update(Now);
}

void QuotaLender::takeOver(Instant Now, std::uint32_t TokensBefore,
                           std::uint32_t LentBefore) {
  StartsAt = EarnedAt = NextSlotAt = Now;
  Tokens = TokensBefore;
  Leases.clear();
  Lent = LentBefore;
  if (LentBefore > 0)
    Leases.push_back({Now + Current.Lifetime, std::string(), LentBefore});
  update(Now);
}

std::uint32_t QuotaLender::lend(Instant Now, const std::string &Borrower,
                                std::uint32_t Wanted) {
  const std::uint32_t Result = std::min(Wanted, tokens(Now));
  if (Result == 0)
    return 0;
  Tokens -= Result;
  Lent += Result;
  Leases.push_back({Now + Current.Lifetime, Borrower, Result});
  return Result;
}

void QuotaLender::takeBack(Instant Now, const std::string &Borrower,
                           std::uint32_t Returned) {
  update(Now);
  for (Lease &Lease : Leases) {
    if (Lease.Borrower != Borrower)
      continue;
    const std::uint32_t Taken = std::min(Lease.Tokens, Returned);
    Lease.Tokens -= Taken;
    Returned -= Taken;
    Lent -= Taken;
    Tokens += Taken;
  }
  update(Now);
}

Duration QuotaLender::assignWait(Instant Now) {
  update(Now);
  if (Current.TokensPerSecond <= 0)
    return MaxWait;
  const auto EarnTime = [this](double Count) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::min(Count / Current.TokensPerSecond, toSeconds(MaxWait))));
  };
  const Instant Next = Now + EarnTime(std::max(0.0, 1 - Tokens));
  // Hosts of a busy workspace come back at MaxWaitsPerSecond, so that their
  // messages are bounded.
  constexpr double MaxWaitsPerSecond = 50;
  constexpr Duration BusyPeriod = std::chrono::seconds(1);
  if (Now - WaitsCountedFrom >= BusyPeriod) {
    // Counts of an earlier period say nothing about this one.
    IsBusy = Now - WaitsCountedFrom < 2 * BusyPeriod &&
             Waits >= 2 * MaxWaitsPerSecond;
    Waits = 0;
    WaitsCountedFrom = Now;
  }
  ++Waits;
  Duration Spacing = EarnTime(1);
  if (IsBusy)
    Spacing = std::max(Spacing, scaled(BusyPeriod, 1 / MaxWaitsPerSecond));
  NextSlotAt = std::min(std::max(Next, NextSlotAt + Spacing), Now + MaxWait);
  return NextSlotAt - Now;
}

std::uint32_t QuotaLender::tokens(Instant Now) {
  update(Now);
  constexpr double MaxTokens = 1e9;
  return static_cast<std::uint32_t>(
      std::floor(std::min(Tokens + Rounding, MaxTokens)));
}

std::uint32_t QuotaLender::lent(Instant Now) {
  update(Now);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(Lent, UINT32_MAX));
}

} // namespace mimosacart
