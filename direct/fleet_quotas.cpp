#include "direct/fleet_quotas.h"

#include "core/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mimosacart {

namespace {

/// Longest time that a request waits for a token. It covers a few round trips
/// between data centres and is spent before a server is chosen, so it has to be
/// short compared with common objectives.
constexpr Duration MaxWait = std::chrono::milliseconds(40);
/// An unanswered request counts as lost after this time.
constexpr Duration AskTimeout = std::chrono::milliseconds(150);
/// Shortest time between two messages to the same lender, so that busy
/// workspaces share messages.
constexpr Duration FlushInterval = std::chrono::milliseconds(5);
/// A host that says that it does not lend is asked again after this time.
constexpr Duration NotLendingDelay = std::chrono::milliseconds(100);
/// Retries of requests that were refused because no lender answers are spread
/// over this time from its start on.
constexpr Duration NoLenderRetry = std::chrono::milliseconds(500);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration LogInterval = std::chrono::seconds(1);

} // namespace

FleetQuotas::FleetQuotas(Instant Now, QuotaLimits QuotaBounds,
                         std::string SelfAddress, std::uint64_t Seed,
                         Hooks QuotaHooks)
    : Limits(QuotaBounds), Self(std::move(SelfAddress)),
      Callbacks(std::move(QuotaHooks)), FleetChangedAt(Now), LastNumber(Seed),
      LastEventAt(Now) {}

void FleetQuotas::setQuotas(Instant Now,
                            const RouteConfiguration &Configuration) {
  touch(Now);
  std::set<std::string> Kept;
  if (Configuration.Workspaces)
    for (const Workspace &Workspace : *Configuration.Workspaces) {
      if (!Workspace.Quota)
        continue;
      Kept.insert(Workspace.Name);
      Entry &Of = Entries[Workspace.Name];
      Of.Name = Workspace.Name;
      Of.Hash = stableHash(Workspace.Name);
      Of.Quota = *Workspace.Quota;
    }
  std::vector<RequestId> Freed;
  const auto IsGone = [&Kept](const Entry *Of) {
    return !Kept.contains(Of->Name);
  };
  for (const Entry *Of : Active)
    if (IsGone(Of))
      for (const auto &Request : Of->Borrows->Waiting)
        Freed.push_back(Request.Id);
  std::erase_if(Active, IsGone);
  std::erase_if(Dirty, IsGone);
  std::erase_if(Entries,
                [&IsGone](const auto &Item) { return IsGone(&Item.second); });
  // No host lent for a workspace that is new, so its bucket only has to wait
  // for a change of hosts.
  updateLenders(Now, std::max(Now, FleetChangedAt + Limits.pause()));
  Counters.Waiting -= Freed.size();
  for (const RequestId Id : Freed)
    Callbacks.Admitted(Id);
}

FleetQuotas::Entry *FleetQuotas::find(const std::string &Workspace) {
  const auto Found = Entries.find(Workspace);
  return Found == Entries.end() ? nullptr : &Found->second;
}

QuotaBorrower &FleetQuotas::borrower(Instant Now, Entry &Of) {
  if (!Of.Borrows) {
    Of.Borrows = std::make_unique<QuotaBorrower>(Now);
    Active.push_back(&Of);
  }
  return *Of.Borrows;
}

bool FleetQuotas::tryAdmit(Instant Now, const std::string &Workspace) {
  Entry *Of = find(Workspace);
  if (Of == nullptr)
    return true;
  touch(Now);
  QuotaBorrower &Borrows = borrower(Now, *Of);
  Borrows.countDemand(Now);
  if (!Borrows.Waiting.empty() || !Borrows.takeToken(Now))
    return false;
  ++Counters.Admitted;
  ++Borrows.AdmittedSinceLog;
  if (Borrows.isLow(Now))
    ask(Now, *Of);
  return true;
}

void FleetQuotas::wait(Instant Now, RequestId Id, const std::string &Workspace,
                       Instant Deadline) {
  touch(Now);
  Entry *Of = find(Workspace);
  if (Of == nullptr) {
    Callbacks.Admitted(Id);
    return;
  }
  QuotaBorrower &Borrows = borrower(Now, *Of);
  Borrows.Waiting.push_back({Id, std::min(Now + MaxWait, Deadline)});
  ++Counters.Waiting;
  schedule(Borrows.Waiting.back().Until);
  if (Now < Borrows.NotLendingUntil || Of->Lender.empty()) {
    decideByReserve(Now, *Of);
    return;
  }
  refuseDenied(Now, *Of);
  if (!Borrows.Waiting.empty())
    ask(Now, *Of);
}

void FleetQuotas::abandon(RequestId Id, const std::string &Workspace) {
  const Entry *Of = find(Workspace);
  if (Of != nullptr && Of->Borrows)
    Counters.Waiting -=
        std::erase_if(Of->Borrows->Waiting,
                      [Id](const auto &Request) { return Request.Id == Id; });
}

void FleetQuotas::ask(Instant Now, Entry &Of) {
  QuotaBorrower &Borrows = *Of.Borrows;
  if (Now < Borrows.DeniedUntil) {
    schedule(Borrows.DeniedUntil);
    return;
  }
  if (Of.IsDirty || Now < Borrows.NotLendingUntil ||
      (Borrows.AskNumber != 0 && Now - Borrows.AskedAt < AskTimeout))
    return;
  Of.IsDirty = true;
  Dirty.push_back(&Of);
  if (Now >= NextFlushAt)
    flush(Now);
  else
    schedule(NextFlushAt);
}

void FleetQuotas::flush(Instant Now) {
  std::map<std::string, QuotaRequest> Requests;
  for (Entry *Of : std::exchange(Dirty, {})) {
    Of->IsDirty = false;
    QuotaBorrower &Borrows = *Of->Borrows;
    const std::uint32_t Returned = Borrows.takeReturns(Now);
    std::uint32_t Wanted = 0;
    const bool MayAsk =
        Now >= Borrows.DeniedUntil &&
        (Borrows.AskNumber == 0 || Now - Borrows.AskedAt >= AskTimeout);
    if (MayAsk)
      Wanted = Borrows.wanted(Now);
    if (Of->Lender.empty() || (Wanted == 0 && Returned == 0))
      continue;
    QuotaRequest &Request = Requests[Of->Lender];
    if (Request.Number == 0)
      Request.Number = ++LastNumber;
    Request.Asks.push_back({Of->Name, Wanted, Returned});
    if (Wanted == 0)
      continue;
    Borrows.AskNumber = Request.Number;
    Borrows.AskedAt = Now;
    Borrows.Asked = Wanted;
    schedule(Now + AskTimeout);
  }
  if (!Requests.empty())
    NextFlushAt = Now + FlushInterval;
  for (auto &[Address, Request] : Requests)
    if (Address == Self)
      onGrant(Now, Self, answer(Now, Self, Request));
    else
      Callbacks.Send(Address, std::move(Request));
}

void FleetQuotas::onGrant(Instant Now, const std::string &From,
                          const QuotaGrant &Grant) {
  touch(Now);
  if (Grant.Confirms) {
    const auto Found = Confirmations.find(From);
    if (Found != Confirmations.end() && Found->second.Number == Grant.Number)
      Found->second.ConfirmedAt = Found->second.AskedAt;
  }
  for (const QuotaHandover &Handover : Grant.Handovers)
    acceptHandover(Now, Handover);
  for (const QuotaLease &Lease : Grant.Leases) {
    Entry *Of = find(Lease.Workspace);
    // Tokens of late answers are not used: their validity is not known.
    if (Of != nullptr && Of->Borrows && Of->Borrows->AskNumber != 0 &&
        Of->Borrows->AskNumber == Grant.Number)
      applyLease(Now, *Of, Lease);
  }
}

void FleetQuotas::applyLease(Instant Now, Entry &Of, const QuotaLease &Lease) {
  QuotaBorrower &Borrows = *Of.Borrows;
  Borrows.AskNumber = 0;
  if (!Lease.Lends) {
    Borrows.NotLendingUntil = Now + NotLendingDelay;
    decideByReserve(Now, Of);
    return;
  }
  // The lender counts from a later time on.
  const Duration Lifetime = std::min(Lease.Lifetime, Limits.leaseLifetime());
  const Instant ExpiresAt = Borrows.AskedAt + Lifetime;
  constexpr double ReturnAfter = 0.67;
  const Instant ReturnAt = Borrows.AskedAt + scaled(Lifetime, ReturnAfter);
  if (ExpiresAt > Now)
    Borrows.addLease(ExpiresAt, ReturnAt,
                     std::min(Lease.Tokens, Borrows.Asked));
  if (Lease.Wait > Duration::zero())
    Borrows.DeniedUntil = Now + Lease.Wait;
  schedule(ReturnAt);
  serveWaiting(Now, Of);
  refuseDenied(Now, Of);
  if (!Borrows.Waiting.empty())
    ask(Now, Of);
}

void FleetQuotas::serveWaiting(Instant Now, Entry &Of) {
  QuotaBorrower &Borrows = *Of.Borrows;
  while (!Borrows.Waiting.empty() && Borrows.takeToken(Now)) {
    const RequestId Id = Borrows.Waiting.front().Id;
    Borrows.Waiting.pop_front();
    --Counters.Waiting;
    admit(Of, Id);
  }
}

void FleetQuotas::refuseDenied(Instant Now, Entry &Of) {
  QuotaBorrower &Borrows = *Of.Borrows;
  if (Now >= Borrows.DeniedUntil)
    return;
  std::deque<QuotaBorrower::WaitingRequest> Refused;
  for (const auto &Request : std::exchange(Borrows.Waiting, {}))
    (Request.Until < Borrows.DeniedUntil ? Refused : Borrows.Waiting)
        .push_back(Request);
  Counters.Waiting -= Refused.size();
  for (const auto &Request : Refused)
    refuse(Now, Of, Request.Id, Borrows.DeniedUntil - Now);
}

void FleetQuotas::decideByReserve(Instant Now, Entry &Of) {
  const auto Requests = std::exchange(Of.Borrows->Waiting, {});
  if (Requests.empty())
    return;
  Counters.Waiting -= Requests.size();
  // The reserve is divided into whole requests. If there are fewer than hosts,
  // only the first hosts in the workspace's order get any.
  double OwnPart = 0;
  const auto Place = Callbacks.Position(Of.Name).Overall;
  if (Place && Place->Rank < Place->Hosts) {
    const auto Total = static_cast<std::uint64_t>(Limits.reserve(Of.Quota) / 2);
    const auto UpTo = [Total, &Place](std::size_t Rank) {
      return (Total * (Place->Hosts - Rank) + Place->Hosts - 1) / Place->Hosts;
    };
    OwnPart =
        2 * static_cast<double>(UpTo(Place->Rank) - UpTo(Place->Rank + 1));
  }
  for (const auto &Request : Requests) {
    if (Of.Borrows->takeReserve(Now, OwnPart, Limits.Window)) {
      ++Counters.FromReserve;
      admit(Of, Request.Id);
    } else {
      refuse(Now, Of, Request.Id,
             NoLenderRetry +
                 Duration(static_cast<Duration::rep>(
                     stableHash(Self, Request.Id.value()) %
                     static_cast<std::uint64_t>(NoLenderRetry.count()))));
    }
  }
}

void FleetQuotas::admit(Entry &Of, RequestId Id) {
  ++Counters.Admitted;
  ++Of.Borrows->AdmittedSinceLog;
  Callbacks.Admitted(Id);
}

void FleetQuotas::refuse(Instant Now, Entry &Of, RequestId Id,
                         Duration RetryAfter) {
  ++Counters.Refused;
  ++Of.Borrows->RefusedSinceLog;
  schedule(Now + LogInterval);
  Callbacks.Refused(Id, std::max(RetryAfter, MinRetryAfter));
}

void FleetQuotas::tick(Instant Now) {
  touch(Now);
  if (Now < NextTick)
    return;
  NextTick = Instant::max();
  updatePart(Now);
  askConfirmations(Now);
  for (Entry *Of : std::vector<Entry *>(Active))
    tickBorrower(Now, *Of);
  std::erase_if(Active, [Now](Entry *Of) {
    if (Of->IsDirty || !Of->Borrows->isIdle(Now))
      return false;
    Of->Borrows.reset();
    return true;
  });
  if (Now >= NextFlushAt)
    flush(Now);
  else if (!Dirty.empty())
    schedule(NextFlushAt);
}

void FleetQuotas::tickBorrower(Instant Now, Entry &Of) {
  QuotaBorrower &Borrows = *Of.Borrows;
  // In the order of arrival, which is not that of the ends: deadlines differ.
  std::deque<QuotaBorrower::WaitingRequest> Due;
  for (const auto &Request : std::exchange(Borrows.Waiting, {})) {
    (Request.Until <= Now ? Due : Borrows.Waiting).push_back(Request);
    if (Request.Until > Now)
      schedule(Request.Until);
  }
  if (!Due.empty() && Now < Borrows.DeniedUntil) {
    Counters.Waiting -= Due.size();
    for (const auto &Request : Due)
      refuse(Now, Of, Request.Id, Borrows.DeniedUntil - Now);
  } else if (!Due.empty()) {
    // No answer came in time.
    std::swap(Borrows.Waiting, Due);
    decideByReserve(Now, Of);
    std::swap(Borrows.Waiting, Due);
  }
  if (!Borrows.Waiting.empty())
    ask(Now, Of);
  const Instant LeaseEvent = Borrows.nextLeaseEvent();
  if (LeaseEvent <= Now && !Of.IsDirty) {
    Of.IsDirty = true;
    Dirty.push_back(&Of);
  }
  if (LeaseEvent != Instant::max())
    schedule(std::max(LeaseEvent, Now + FlushInterval));
  logRefusals(Now, Of);
}

void FleetQuotas::logRefusals(Instant Now, Entry &Of) {
  QuotaBorrower &Borrows = *Of.Borrows;
  if (Borrows.RefusedSinceLog == 0)
    return;
  if (Now - Borrows.LoggedAt < LogInterval) {
    schedule(Borrows.LoggedAt + LogInterval);
    return;
  }
  Callbacks.Log("quota_refused",
                {{"workspace", Of.Name},
                 {"refused", std::to_string(Borrows.RefusedSinceLog)},
                 {"admitted", std::to_string(Borrows.AdmittedSinceLog)},
                 {"lender", Of.Lender},
                 {"lending", Now < Borrows.NotLendingUntil ? "no" : "yes"}});
  Borrows.RefusedSinceLog = 0;
  Borrows.AdmittedSinceLog = 0;
  Borrows.LoggedAt = Now;
}

QuotaCounters FleetQuotas::counters(Instant Now) {
  QuotaCounters Result = Counters;
  for (auto &[Name, Of] : Entries) {
    if (Of.Borrows)
      Result.Leases += Of.Borrows->tokens(Now);
    if (!Of.Lends || Of.IsPending)
      continue;
    ++Result.Lending;
    Result.Lent += Of.Lends->lent(Now);
  }
  return Result;
}

} // namespace mimosacart
