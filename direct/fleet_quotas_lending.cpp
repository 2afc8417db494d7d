#include "direct/fleet_quotas.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace mimosacart {

namespace {

/// Time between two questions to a host whether it counts this one.
constexpr Duration ConfirmationInterval = std::chrono::seconds(1);
/// A handover is valid for this time until the new lender has noticed that it
/// is the lender, and then without a confirmation.
constexpr Duration PendingTime = std::chrono::seconds(5);
constexpr Duration UnconfirmedTime = std::chrono::seconds(1);
constexpr double Milli = 1000;

/// Orders hosts for a workspace, as stableHash() of both texts would, but
/// without reading them again for each pair.
std::uint64_t combine(std::uint64_t Workspace, std::uint64_t Host) {
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15U;
  constexpr unsigned Half = 32;
  std::uint64_t Result = (Workspace ^ Host) * Multiplier;
  Result ^= Result >> Half;
  Result *= Multiplier;
  return Result ^ (Result >> Half);
}

} // namespace

/// What changed with the hosts, for one log line.
struct FleetQuotas::LendingChanges {
  std::size_t Begun = 0;
  std::size_t HandedOver = 0;
  std::map<std::string, QuotaGrant> Grants;
};

void FleetQuotas::touch(Instant Now) {
  const Instant Previous = std::exchange(LastEventAt, Now);
  if (Now - Previous < Limits.pause())
    return;
  for (auto &[Address, Asked] : Confirmations)
    Asked = {};
  NextConfirmationAt = Now;
  FleetChangedAt = Now;
  for (auto &[Name, Of] : Entries)
    if (Of.Lends) {
      *Of.Lends = QuotaLender(Now + Limits.pause());
      Of.HandedUntil = Instant();
      updateRates(Now, Of);
    }
  schedule(Now);
}

void FleetQuotas::setFleet(Instant Now, QuotaFleet NewFleet) {
  touch(Now);
  const bool IsSame = NewFleet.Serving == Fleet.Serving;
  Fleet = std::move(NewFleet);
  updatePart(Now);
  if (IsSame)
    return;
  FleetChangedAt = Now;
  ServingHashes.clear();
  for (const std::string &Address : Fleet.Serving)
    ServingHashes.push_back(stableHash(Address));
  updateLenders(Now, Now + Limits.pause());
}

void FleetQuotas::updateLenders(Instant Now, Instant StartsAt) {
  LendingChanges Changes;
  for (auto &[Name, Of] : Entries)
    updateLender(Now, Of, Changes, StartsAt);
  std::set<std::string> Asked;
  for (const auto &[Name, Of] : Entries)
    if (Of.Lends && !Of.IsPending && !Of.Next.empty())
      Asked.insert(Of.Next);
  std::erase_if(Confirmations, [&Asked](const auto &Item) {
    return !Asked.contains(Item.first);
  });
  for (const std::string &Address : Asked)
    Confirmations.try_emplace(Address);
  NextConfirmationAt = Now;
  schedule(Now);
  for (auto &[Address, Grant] : Changes.Grants)
    Callbacks.Send(Address, std::move(Grant));
  if (Changes.Begun > 0 || Changes.HandedOver > 0)
    Callbacks.Log("quota_lending_changed",
                  {{"begun", std::to_string(Changes.Begun)},
                   {"handed_over", std::to_string(Changes.HandedOver)},
                   {"starts_in_ms", toMsText(StartsAt - Now)},
                   {"hosts", std::to_string(Fleet.Serving.size())}});
}

void FleetQuotas::updateLender(Instant Now, Entry &Of, LendingChanges &Changes,
                               Instant StartsAt) {
  const bool WasLending = lends(Now, Of);
  constexpr auto None = std::numeric_limits<std::size_t>::max();
  std::size_t First = None;
  std::size_t Second = None;
  std::uint64_t FirstHash = 0;
  std::uint64_t SecondHash = 0;
  for (std::size_t Index = 0; Index < ServingHashes.size(); ++Index) {
    const std::uint64_t Hash = combine(Of.Hash, ServingHashes[Index]);
    if (First == None || Hash < FirstHash) {
      Second = std::exchange(First, Index);
      SecondHash = std::exchange(FirstHash, Hash);
    } else if (Second == None || Hash < SecondHash) {
      Second = Index;
      SecondHash = Hash;
    }
  }
  const std::string PreviousNext = std::exchange(
      Of.Next, Second == None ? std::string() : Fleet.Serving[Second]);
  const std::string Lender =
      First == None ? std::string() : Fleet.Serving[First];
  if (Lender != Of.Lender && Of.Borrows) {
    // Another host answers from now on.
    Of.Borrows->AskNumber = 0;
    Of.Borrows->DeniedUntil = Of.Borrows->NotLendingUntil = Instant();
  }
  Of.Lender = Lender;
  if (Lender == Self) {
    const bool IsOld = Of.IsPending && Now >= Of.HandedUntil;
    if (!Of.Lends || IsOld) {
      Of.Lends = std::make_unique<QuotaLender>(StartsAt);
      Of.HandedUntil = Instant();
      ++Changes.Begun;
    } else if (Of.IsPending || (WasLending && Of.Next != PreviousNext)) {
      // Another host has to confirm from now on.
      Of.HandedUntil = Now + UnconfirmedTime;
    }
    Of.IsPending = false;
    updateRates(Now, Of);
    return;
  }
  if (!Of.Lends || (Of.IsPending && Now < Of.HandedUntil))
    return;
  if (WasLending && !Lender.empty()) {
    const double Rate = Part * Of.Quota.RequestsPerSecond * Milli;
    Changes.Grants[Lender].Handovers.push_back(
        {Of.Name, Of.Lends->tokens(Now), Of.Lends->lent(Now),
         static_cast<std::uint32_t>(std::min(Rate, 4e9))});
    ++Changes.HandedOver;
  }
  Of.Lends.reset();
  Of.IsPending = false;
}

void FleetQuotas::updateRates(Instant Now, Entry &Of) {
  const double Rate = IsPartKnown || Of.HandedRate <= 0
                          ? Part * Of.Quota.RequestsPerSecond
                          : std::min(Of.HandedRate, Of.Quota.RequestsPerSecond);
  Of.Lends->setRates(
      Now, {Rate, Limits.bucketSize(Of.Quota), Limits.leaseLifetime()});
}

void FleetQuotas::updatePart(Instant Now) {
  const double Previous = Part;
  const bool WasKnown = IsPartKnown;
  const double Current =
      Fleet.Overall == 0
          ? 0
          : std::min(1.0, static_cast<double>(Fleet.Reachable) /
                              static_cast<double>(Fleet.Overall));
  if (!IsPartKnown) {
    Part = Current;
    IsPartKnown = Fleet.Overall > 0;
  } else if (Current <= Part) {
    Part = Current;
    RaisePartAt.reset();
  } else {
    RaisedPart = RaisePartAt ? std::min(RaisedPart, Current) : Current;
    if (!RaisePartAt)
      RaisePartAt = Now + Limits.pause();
    if (Now >= *RaisePartAt) {
      Part = RaisedPart;
      RaisePartAt.reset();
    } else {
      schedule(*RaisePartAt);
    }
  }
  if (Part == Previous && IsPartKnown == WasKnown)
    return;
  for (auto &[Name, Of] : Entries)
    if (Of.Lends)
      updateRates(Now, Of);
}

bool FleetQuotas::lends(Instant Now, const Entry &Of) const {
  if (!Of.Lends || Of.IsPending || !Of.Lends->hasStarted(Now))
    return false;
  if (Of.Next.empty() || Now < Of.HandedUntil)
    return true;
  const auto Found = Confirmations.find(Of.Next);
  return Found != Confirmations.end() &&
         Now < Found->second.ConfirmedAt + Limits.pause();
}

QuotaGrant FleetQuotas::answer(Instant Now, const std::string &From,
                               const QuotaRequest &Request) {
  QuotaGrant Result;
  Result.Number = Request.Number;
  Result.Confirms =
      std::binary_search(Fleet.Serving.begin(), Fleet.Serving.end(), From);
  for (const QuotaAsk &Ask : Request.Asks) {
    Entry *Of = find(Ask.Workspace);
    if (Of != nullptr && Of->Lends && !Of->IsPending)
      Of->Lends->takeBack(Now, From, Ask.Returned);
    if (Ask.Wanted == 0)
      continue;
    QuotaLease Lease;
    Lease.Workspace = Ask.Workspace;
    Lease.Lends = Of != nullptr && lends(Now, *Of);
    if (Lease.Lends) {
      Lease.Tokens = Of->Lends->lend(Now, From, Ask.Wanted);
      Lease.Lifetime = Limits.leaseLifetime();
      if (Lease.Tokens < Ask.Wanted)
        Lease.Wait = Of->Lends->assignWait(Now);
    }
    Result.Leases.push_back(std::move(Lease));
  }
  return Result;
}

void FleetQuotas::onRequest(Instant Now, const std::string &From,
                            const QuotaRequest &Request) {
  touch(Now);
  QuotaGrant Result = answer(Now, From, Request);
  if (Request.Asks.empty() || !Result.Leases.empty())
    Callbacks.Send(From, std::move(Result));
}

void FleetQuotas::acceptHandover(Instant Now, const QuotaHandover &Handover) {
  Entry *Of = find(Handover.Workspace);
  const bool IsLender = Of != nullptr && Of->Lender == Self;
  // A bucket that is in use is kept: this host has lent beside the sender.
  if (Of == nullptr || (IsLender && Of->Lends && Of->Lends->hasStarted(Now)))
    return;
  if (!Of->Lends)
    Of->Lends = std::make_unique<QuotaLender>(Now);
  Of->IsPending = !IsLender;
  Of->HandedUntil = Now + (IsLender ? UnconfirmedTime : PendingTime);
  Of->HandedRate = static_cast<double>(Handover.MilliRate) / Milli;
  updateRates(Now, *Of);
  Of->Lends->takeOver(Now, Handover.Tokens, Handover.Lent);
}

void FleetQuotas::askConfirmations(Instant Now) {
  if (Confirmations.empty())
    return;
  if (Now >= NextConfirmationAt) {
    NextConfirmationAt = Now + ConfirmationInterval;
    for (auto &[Address, Asked] : Confirmations) {
      Asked.Number = ++LastNumber;
      Asked.AskedAt = Now;
      Callbacks.Send(Address, QuotaRequest{Asked.Number, {}});
    }
  }
  schedule(NextConfirmationAt);
}

} // namespace mimosacart
