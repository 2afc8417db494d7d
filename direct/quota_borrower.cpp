#include "direct/quota_borrower.h"

#include <algorithm>
#include <cmath>

namespace mimosacart {

namespace {

/// Time over which the demand is averaged.
constexpr Duration DemandPeriod = std::chrono::seconds(1);
/// Time for which tokens are borrowed ahead: half the lifetime of a lease, so
/// that few are returned.
constexpr Duration AheadTime = std::chrono::milliseconds(150);
/// Greatest number of tokens that are borrowed at once.
constexpr double MaxAhead = 10'000;
/// State of a workspace is dropped after this time without requests.
constexpr Duration IdleTime = std::chrono::seconds(10);

} // namespace

void QuotaBorrower::countDemand(Instant Now) {
  const double Passed = toSeconds(Now - DemandAt) / toSeconds(DemandPeriod);
  Demand = Demand * std::exp(-Passed) + 1 / toSeconds(DemandPeriod);
  DemandAt = Now;
}

std::uint32_t QuotaBorrower::ahead(Instant Now) const {
  const double Passed = toSeconds(Now - DemandAt) / toSeconds(DemandPeriod);
  return static_cast<std::uint32_t>(std::min(
      MaxAhead, std::floor(Demand * std::exp(-Passed) * toSeconds(AheadTime))));
}

void QuotaBorrower::expire(Instant Now) {
  while (!Leases.empty() &&
         (Leases.front().ExpiresAt <= Now || Leases.front().Tokens == 0))
    Leases.pop_front();
}

bool QuotaBorrower::takeToken(Instant Now) {
  expire(Now);
  if (Leases.empty())
    return false;
  --Leases.front().Tokens;
  return true;
}

std::uint32_t QuotaBorrower::tokens(Instant Now) {
  expire(Now);
  std::uint32_t Result = 0;
  for (const Lease &Lease : Leases)
    Result += Lease.Tokens;
  return Result;
}

std::uint32_t QuotaBorrower::wanted(Instant Now) {
  const std::uint32_t Needed =
      static_cast<std::uint32_t>(Waiting.size()) + ahead(Now);
  return Needed - std::min(Needed, tokens(Now));
}

bool QuotaBorrower::isLow(Instant Now) {
  const std::uint32_t Ahead = ahead(Now);
  return Ahead > 0 && tokens(Now) * 2 < Ahead;
}

void QuotaBorrower::addLease(Instant ExpiresAt, Instant ReturnAt,
                             std::uint32_t Tokens) {
  if (Tokens > 0)
    Leases.push_back({ExpiresAt, ReturnAt, Tokens});
}

std::uint32_t QuotaBorrower::takeReturns(Instant Now) {
  expire(Now);
  std::uint32_t Result = 0;
  for (Lease &Lease : Leases)
    if (Lease.ReturnAt <= Now) {
      Result += Lease.Tokens;
      Lease.Tokens = 0;
    }
  expire(Now);
  return Result;
}

bool QuotaBorrower::takeReserve(Instant Now, double Part, Duration Window) {
  // A bucket of half the part that earns the other half in a window.
  const double Size = std::floor(Part / 2);
  Reserve += Size * toSeconds(Now - ReserveAt) / toSeconds(Window);
  Reserve = std::min(Reserve, Size);
  ReserveAt = Now;
  if (Reserve < 1)
    return false;
  --Reserve;
  return true;
}

bool QuotaBorrower::isIdle(Instant Now) {
  expire(Now);
  return Waiting.empty() && Leases.empty() && Now - DemandAt > IdleTime &&
         RefusedSinceLog == 0;
}

Instant QuotaBorrower::nextLeaseEvent() const {
  Instant Result = Instant::max();
  for (const Lease &Lease : Leases)
    if (Lease.Tokens > 0)
      Result = std::min({Result, Lease.ReturnAt, Lease.ExpiresAt});
  return Result;
}

} // namespace mimosacart
