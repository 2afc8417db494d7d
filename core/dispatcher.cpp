#include "core/dispatcher.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Moves of an attempt between hosts; a view that is wrong everywhere must
/// not keep an attempt travelling.
constexpr std::uint32_t MaxHops = 4;
/// Attempt times kept per kind.
constexpr std::size_t TimeSamples = 512;
/// The quantile is computed again after so many samples.
constexpr std::size_t QuantileEvery = 64;
/// Time to wait that is proposed to a caller refused for load.
constexpr Duration OverloadRetryAfter = std::chrono::seconds(1);

bool helpsToWait(RefusalReason Reason) {
  return Reason == RefusalReason::Overloaded ||
         Reason == RefusalReason::NoServer ||
         Reason == RefusalReason::ServerUnreachable ||
         Reason == RefusalReason::ServerRefused ||
         Reason == RefusalReason::DeadlinePassed;
}

} // namespace

Dispatcher::Dispatcher(HostName Self, IncarnationId Incarnation,
                       DispatchPolicy Policy, Scheduler &Local,
                       OwnerLoadTable &Loads, Hooks Callbacks)
    : Self(std::move(Self)), Incarnation(Incarnation), Policy(Policy),
      Local(Local), Loads(Loads), Callbacks(std::move(Callbacks)) {}

Dispatcher::ServiceBudget &Dispatcher::budgetOf(const ServiceName &Service) {
  const auto Found = Budgets.find(Service);
  if (Found != Budgets.end())
    return Found->second;
  const ServiceBudget Full{
      TokenBucket(Policy.RetryBurst, Policy.RetryBurst),
      TokenBucket(Policy.HedgeBurst, Policy.HedgeBurst),
      TokenBucket(Policy.HedgeBurst, Policy.HedgeTrialBurst)};
  return Budgets.emplace(Service, Full).first->second;
}

Dispatcher::KindTimes &Dispatcher::timesOf(const DispatchRequest &Request) {
  return Times[Request.Service.value() + '/' + Request.Kind.Name];
}

void Dispatcher::start(Instant Now, DispatchRequest Request) {
  const RequestId Id = Request.Id;
  Work Added;
  const unsigned Allowed =
      Request.Kind.Idempotent ? Request.Kind.Retries + 1 : 1;
  Added.AttemptsLeft =
      std::min(Allowed, Request.Request->AttemptsLeft.value_or(Allowed));
  Added.AttemptsLeft = std::max(Added.AttemptsLeft, 1U);
  Added.Request = std::move(Request);
  Work &Of = Works.emplace(Id, std::move(Added)).first->second;
  ServiceBudget &Budget = budgetOf(Of.Request.Service);
  Budget.Retries.earn(Policy.RetryShare);
  if (Of.Request.Kind.Hedge) {
    Budget.Hedges.earn(Policy.HedgeShare);
    Budget.ProvenHedges.earn(Policy.HedgeTrialShare);
    const Duration Quantile = timesOf(Of.Request).Quantile;
    if (Quantile > Duration::zero())
      Of.HedgeAt = Now + Quantile;
  }
  Timers.emplace(std::min(Of.HedgeAt, Of.Request.Deadline), Id);
  if (Callbacks.CrashCount(Of.Request.Fingerprint) >=
      Policy.QuarantineCrashes) {
    DispatchResult Result;
    Result.Refused = {RefusalOutcome::NotRun, RefusalReason::Quarantined,
                      Duration::zero()};
    finish(Now, Id, std::move(Result));
    return;
  }
  place(Now, Of, ServerName());
}

std::optional<HostName>
Dispatcher::choosePlace(Instant Now, const ServiceName &Service) const {
  const ServiceLoad Own = Local.load(Now, Service);
  if (Own.FreeSlots > 0 && Own.Queued == 0)
    return Self;
  if (auto Idle = Loads.withFreeSlot(Service, Self))
    return Idle;
  if (Own.UsableSlots > 0)
    return Self;
  if (auto Peer = Loads.leastLoaded(Service, Self))
    return Peer;
  if (Local.owns(Service))
    return Self;
  return std::nullopt;
}

void Dispatcher::place(Instant Now, Work &Of, const ServerName &Avoid) {
  const RequestId Owner = Of.Request.Id;
  const auto Place = choosePlace(Now, Of.Request.Service);
  --Of.AttemptsLeft;
  ++Of.AttemptsMade;
  const AttemptId Id(++LastAttempt);
  Of.Open.push_back(Id);
  Attempts[Id] = {Owner, Place.value_or(Self), Now};
  if (!Place) {
    AttemptResult None;
    None.End = AttemptEnd::NotRun;
    None.Reason = RefusalReason::NoServer;
    onAttemptResult(Now, Id, None);
    return;
  }
  Callbacks.Placed(Of.Request, Id, *Place);
  sendAttempt(Now, Of, Id, *Place, Avoid);
}

void Dispatcher::sendAttempt(Instant Now, const Work &Of, AttemptId Id,
                             const HostName &To, const ServerName &Avoid) {
  WorkItem Item;
  Item.Origin = Self;
  Item.OriginIncarnation = Incarnation;
  Item.Attempt = Id;
  Item.Service = Of.Request.Service;
  Item.Kind = Of.Request.Kind;
  Item.Request = Of.Request.Request;
  Item.ExpiresAt = Of.Request.Deadline;
  Item.Avoid = Avoid;
  if (To == Self) {
    Local.submit(Now, std::move(Item));
    return;
  }
  forwardItem(Now, To, Item);
}

void Dispatcher::forwardItem(Instant Now, const HostName &To,
                             const WorkItem &Item) {
  ++ForwardCount;
  Loads.recordForwarded(To, Item.Service);
  ForwardedAttempt Message;
  Message.Origin = Item.Origin;
  Message.OriginIncarnation = Item.OriginIncarnation;
  Message.Attempt = Item.Attempt;
  Message.Service = Item.Service;
  Message.Kind = Item.Kind.Name;
  Message.Request = Item.Request;
  Message.Remaining = Item.ExpiresAt - Now - Policy.ForwardMargin;
  Message.Hops = Item.Hops + 1;
  Message.Avoid = Item.Avoid;
  if (Local.owns(Item.Service))
    Message.Load = Local.load(Now, Item.Service);
  Callbacks.Send(To, std::move(Message));
}

void Dispatcher::moveItem(Instant Now, const HostName &To,
                          const WorkItem &Item) {
  if (Item.Origin == Self && Item.OriginIncarnation == Incarnation) {
    const auto Own = Attempts.find(Item.Attempt);
    if (Own != Attempts.end())
      Own->second.Holder = To;
  }
  forwardItem(Now, To, Item);
}

void Dispatcher::onForwarded(Instant Now, const ForwardedAttempt &Message,
                             const RequestKind *Kind) {
  WorkItem Item;
  Item.Origin = Message.Origin;
  Item.OriginIncarnation = Message.OriginIncarnation;
  Item.Attempt = Message.Attempt;
  Item.Service = Message.Service;
  Item.Request = Message.Request;
  Item.ExpiresAt = Now + Message.Remaining;
  Item.Hops = Message.Hops;
  Item.Avoid = Message.Avoid;
  // A host with an older configuration cannot tell how to treat the request.
  if (Kind == nullptr) {
    AttemptResult Refused;
    Refused.End = AttemptEnd::NotRun;
    Refused.Reason = RefusalReason::NoServer;
    Callbacks.Send(Message.Origin,
                   AttemptAnswer{Message.OriginIncarnation, Message.Attempt,
                                 Refused, std::nullopt});
    return;
  }
  Item.Kind = *Kind;
  const ServiceLoad Own = Local.load(Now, Item.Service);
  const bool CanPassOn = Item.Hops < MaxHops;
  if (Own.UsableSlots == 0 && CanPassOn) {
    const auto Other = Loads.withFreeSlot(Item.Service, Self);
    if (Other && *Other != Message.Origin) {
      forwardItem(Now, *Other, Item);
      return;
    }
  }
  Local.submit(Now, std::move(Item));
}

void Dispatcher::onWorkRequest(Instant Now, const HostName &From,
                               const WorkRequest &Message) {
  // What is not taken from the queue now can be sent there as it arrives.
  Loads.recordIdle(From, Message.Service, Message.Slots);
  std::vector<WorkItem> Given = Local.take(Message.Service, Message.Slots);
  if (Given.empty()) {
    // The peer's belief is out of date; it would ask again and again.
    Callbacks.Send(From, LoadReport{{Local.load(Now, Message.Service)}});
    return;
  }
  for (WorkItem &Item : Given) {
    if (Item.Hops >= MaxHops) {
      Local.submit(Now, std::move(Item));
      continue;
    }
    moveItem(Now, From, Item);
  }
}

void Dispatcher::onServiceLost(Instant Now, const ServiceName &Service) {
  for (WorkItem &Item : Local.take(Service, Local.queuedAttempts())) {
    const auto To = Loads.leastLoaded(Service, Self);
    if (!To) {
      Local.submit(Now, std::move(Item));
      continue;
    }
    moveItem(Now, *To, Item);
  }
}

void Dispatcher::onLocalLoadChanged(Instant Now, const ServiceName &Service) {
  askForWork(Now, Service);
}

void Dispatcher::askForWork(Instant Now, const ServiceName &Service) {
  const ServiceLoad Own = Local.load(Now, Service);
  if (Own.FreeSlots == 0 || Own.Queued > 0)
    return;
  const auto Busy = Loads.withQueue(Service, Self);
  if (!Busy)
    return;
  Loads.recordTaken(*Busy, Service, Own.FreeSlots);
  Callbacks.Send(*Busy, WorkRequest{Service, Own.FreeSlots});
}

void Dispatcher::onAttemptResult(Instant Now, AttemptId Id,
                                 const AttemptResult &Result) {
  const auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return;
  const Attempt Ended = Found->second;
  Attempts.erase(Found);
  const auto Owner = Works.find(Ended.Owner);
  if (Owner == Works.end())
    return;
  Work &Of = Owner->second;
  std::erase(Of.Open, Id);
  Callbacks.Ended(Of.Request, Id, Result);
  if (Result.End == AttemptEnd::Answered) {
    recordTime(Of, Now - Ended.StartedAt);
    if (Of.Hedged && Id == Of.HedgeAttempt)
      budgetOf(Of.Request.Service).ProvenHedges.earn(Policy.HedgesPerWin);
    DispatchResult Done;
    Done.Reply = Result.Reply;
    Done.Server = Result.Server;
    Done.ServiceTime = Result.ServiceTime;
    finish(Now, Ended.Owner, std::move(Done));
    return;
  }
  if (Result.End == AttemptEnd::Failed)
    Of.MayHaveRun = true;
  Of.Last = Result;
  if (!Of.Open.empty())
    return;
  if (mayRetry(Now, Of, Result)) {
    ++RetryCount;
    place(Now, Of, Result.Server);
    return;
  }
  conclude(Now, Of);
}

bool Dispatcher::mayRetry(Instant Now, Work &Of, const AttemptResult &Result) {
  if (Of.Reported || Now >= Of.Request.Deadline)
    return false;
  const bool ProvenNotRun = Result.End == AttemptEnd::NotRun;
  // A request that may not be repeated is tried again only on proof, and the
  // proof costs no attempt of its allowance.
  if (!Of.Request.Kind.Idempotent && !(ProvenNotRun && !Of.MayHaveRun))
    return false;
  if (Result.Reason == RefusalReason::Overloaded ||
      Result.Reason == RefusalReason::DeadlinePassed ||
      Result.Reason == RefusalReason::NoServer)
    return false;
  if (ProvenNotRun && Of.AttemptsLeft == 0)
    ++Of.AttemptsLeft;
  if (Of.AttemptsLeft == 0)
    return false;
  const std::size_t Crashes = Callbacks.CrashCount(Of.Request.Fingerprint);
  if (Crashes >= Policy.QuarantineCrashes)
    return false;
  return budgetOf(Of.Request.Service).Retries.spend(1);
}

void Dispatcher::conclude(Instant Now, Work &Of) {
  DispatchResult Result;
  Result.Server = Of.Last.Server;
  // An error answer of the application is the caller's to see.
  if (Of.Last.Reply) {
    Answer Relayed = *Of.Last.Reply;
    Relayed.Headers.push_back({RetryHeader, "exhausted"});
    Result.Reply = std::make_shared<const Answer>(std::move(Relayed));
    finish(Now, Of.Request.Id, std::move(Result));
    return;
  }
  Result.Refused.Outcome =
      Of.MayHaveRun ? RefusalOutcome::Unknown : RefusalOutcome::NotRun;
  Result.Refused.Reason = Of.Last.Reason;
  if (helpsToWait(Of.Last.Reason))
    Result.Refused.RetryAfter = OverloadRetryAfter;
  finish(Now, Of.Request.Id, std::move(Result));
}

void Dispatcher::finish(Instant Now, RequestId Id, DispatchResult Result) {
  const auto Found = Works.find(Id);
  if (Found == Works.end())
    return;
  Result.Attempts = Found->second.AttemptsMade;
  cancelOpen(Now, Found->second);
  const DispatchRequest Request = std::move(Found->second.Request);
  Works.erase(Found);
  Callbacks.Finished(Request, Result);
}

void Dispatcher::cancelOpen(Instant Now, Work &Of) {
  for (const AttemptId Id : Of.Open) {
    const auto Found = Attempts.find(Id);
    if (Found == Attempts.end())
      continue;
    const HostName Holder = Found->second.Holder;
    Attempts.erase(Found);
    if (Holder == Self)
      Local.cancel(Now, {Self, Incarnation, Id});
    else
      Callbacks.Send(Holder, CancelForwarded{Incarnation, Id});
  }
  Of.Open.clear();
}

void Dispatcher::abandon(Instant Now, RequestId Id) {
  const auto Found = Works.find(Id);
  if (Found == Works.end() || !Found->second.Request.Kind.Idempotent)
    return;
  cancelOpen(Now, Found->second);
  Works.erase(Found);
}

void Dispatcher::onHostGone(Instant Now, const HostName &Host,
                            IncarnationId OfIncarnation) {
  Local.dropOrigin(Host, OfIncarnation);
  std::vector<AttemptId> Lost;
  for (const auto &[Id, Given] : Attempts)
    if (Given.Holder == Host)
      Lost.push_back(Id);
  AttemptResult Gone;
  Gone.End = AttemptEnd::Failed;
  Gone.Reason = RefusalReason::HolderGone;
  for (const AttemptId Id : Lost) {
    const auto Given = Attempts.find(Id);
    if (Given == Attempts.end())
      continue;
    const auto Owner = Works.find(Given->second.Owner);
    if (Owner == Works.end())
      continue;
    // The host may only be cut off, so its answer may still come; until the
    // deadline nothing is certain about work that may not be repeated.
    if (!Owner->second.Request.Kind.Idempotent)
      continue;
    onAttemptResult(Now, Id, Gone);
  }
}

void Dispatcher::tick(Instant Now) {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const RequestId Id = Timers.begin()->second;
    Timers.erase(Timers.begin());
    const auto Found = Works.find(Id);
    if (Found == Works.end())
      continue;
    Work &Of = Found->second;
    if (Now >= Of.ForgetAt) {
      DispatchResult Forgotten;
      Forgotten.Refused = {
          RefusalOutcome::Unknown, RefusalReason::DeadlinePassed, {}};
      finish(Now, Id, std::move(Forgotten));
      continue;
    }
    if (Now >= Of.Request.Deadline) {
      expireDeadline(Now, Of);
      continue;
    }
    Timers.emplace(Of.Request.Deadline, Id);
    hedge(Now, Of);
  }
}

void Dispatcher::expireDeadline(Instant Now, Work &Of) {
  if (Of.Reported)
    return;
  const bool Running = !Of.Open.empty();
  DispatchResult Result;
  Result.Refused.Outcome = Running || Of.MayHaveRun ? RefusalOutcome::Unknown
                                                    : RefusalOutcome::NotRun;
  Result.Refused.Reason = RefusalReason::DeadlinePassed;
  if (Of.Request.Kind.Idempotent) {
    finish(Now, Of.Request.Id, std::move(Result));
    return;
  }
  // Keeps the record, so that a late answer can still settle the claim.
  Result.Attempts = Of.AttemptsMade;
  Result.Final = false;
  Of.Reported = true;
  Of.ForgetAt = Now + Policy.LateAnswerWindow;
  Timers.emplace(Of.ForgetAt, Of.Request.Id);
  const DispatchRequest Request = Of.Request;
  Callbacks.Finished(Request, Result);
}

void Dispatcher::hedge(Instant Now, Work &Of) {
  if (Of.Hedged || Now < Of.HedgeAt || Of.Open.size() != 1)
    return;
  if (Callbacks.CrashCount(Of.Request.Fingerprint) > 0)
    return;
  const ServiceName &Service = Of.Request.Service;
  if (!hasHeadroomForHedge(Now, Service))
    return;
  ServiceBudget &Budget = budgetOf(Service);
  if (Budget.Hedges.available() < 1 || !Budget.ProvenHedges.spend(1))
    return;
  Budget.Hedges.spend(1);
  Of.Hedged = true;
  Of.HedgeAttempt = AttemptId(LastAttempt + 1);
  ++HedgeCount;
  ++Of.AttemptsLeft;
  place(Now, Of, Local.serverOf({Self, Incarnation, Of.Open.front()}));
}

/// A hedge takes spare slots only; near saturation it would add to the load
/// that made the first attempt slow.
bool Dispatcher::hasHeadroomForHedge(Instant Now,
                                     const ServiceName &Service) const {
  const ServiceLoad Own = Local.load(Now, Service);
  if (Own.UsableSlots == 0)
    return Loads.withFreeSlot(Service, Self).has_value();
  return Own.Queued == 0 &&
         Own.FreeSlots >= Policy.HedgeFreeShare * Own.UsableSlots;
}

void Dispatcher::recordTime(const Work &Of, Duration Time) {
  if (!Of.Request.Kind.Hedge)
    return;
  KindTimes &Kept = timesOf(Of.Request);
  if (Kept.Samples.size() < TimeSamples)
    Kept.Samples.push_back(Time);
  else
    Kept.Samples[Kept.Next % TimeSamples] = Time;
  ++Kept.Next;
  if (Kept.Samples.size() < Policy.HedgeMinSamples ||
      Kept.Next % QuantileEvery != 0)
    return;
  std::vector<Duration> Sorted = Kept.Samples;
  const auto Rank = static_cast<std::ptrdiff_t>(
      Policy.HedgeQuantile * static_cast<double>(Sorted.size() - 1));
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank, Sorted.end());
  Kept.Quantile = Sorted[static_cast<std::size_t>(Rank)];
}

} // namespace mimosacart
