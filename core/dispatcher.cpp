#include "core/dispatcher.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Limit on forwards of one attempt between hosts. Without it, an attempt could
/// be forwarded endlessly while every host has an outdated view of the loads.
constexpr std::uint32_t MaxHops = 4;
/// Latency samples kept per request kind.
constexpr std::size_t MaxLatencySamples = 512;
/// Number of new samples after which the hedging quantile is recomputed.
constexpr std::size_t SamplesPerQuantileUpdate = 64;
/// Retry-After value of a refusal with a transient reason.
constexpr Duration TransientRetryAfter = std::chrono::seconds(1);

/// Returns whether the same request may succeed when the caller sends it again
/// later.
bool isTransient(RefusalReason Reason) {
  return Reason == RefusalReason::Overloaded ||
         Reason == RefusalReason::NoServer ||
         Reason == RefusalReason::ServerUnreachable ||
         Reason == RefusalReason::ServerRefused ||
         Reason == RefusalReason::DeadlinePassed;
}

} // namespace

Dispatcher::Dispatcher(HostName Self, IncarnationId Incarnation,
                       DispatchPolicy Policy, Scheduler &LocalScheduler,
                       OwnerLoadTable &OwnerLoads, Hooks Callbacks)
    : Self(std::move(Self)), Incarnation(Incarnation), Policy(Policy),
      LocalScheduler(LocalScheduler), OwnerLoads(OwnerLoads),
      Callbacks(std::move(Callbacks)) {}

Dispatcher::ServiceBudget &Dispatcher::budgetOf(const ServiceName &Service) {
  const auto Found = Budgets.find(Service);
  if (Found != Budgets.end())
    return Found->second;
  const ServiceBudget Initial{
      TokenBucket(Policy.RetryBurst, Policy.RetryBurst),
      TokenBucket(Policy.HedgeBurst, Policy.HedgeBurst),
      TokenBucket(Policy.HedgeBurst, Policy.HedgeTrialBurst)};
  return Budgets.emplace(Service, Initial).first->second;
}

Dispatcher::KindLatencies &
Dispatcher::latenciesOf(const DispatchRequest &Request) {
  return LatenciesByKind[Request.Service.value() + '/' + Request.Kind.Name];
}

void Dispatcher::start(Instant Now, DispatchRequest Request) {
  const RequestId Id = Request.Id;
  PendingRequest Added;
  const unsigned Allowed =
      Request.Kind.Idempotent ? Request.Kind.Retries + 1 : 1;
  Added.AttemptsLeft =
      std::min(Allowed, Request.Request->AttemptsLeft.value_or(Allowed));
  Added.AttemptsLeft = std::max(Added.AttemptsLeft, 1U);
  Added.Request = std::move(Request);
  PendingRequest &Pending =
      PendingRequests.emplace(Id, std::move(Added)).first->second;
  ServiceBudget &Budget = budgetOf(Pending.Request.Service);
  Budget.Retries.earn(Policy.RetryShare);
  if (Pending.Request.Kind.Hedge) {
    Budget.Hedges.earn(Policy.HedgeShare);
    Budget.ProvenHedges.earn(Policy.HedgeTrialShare);
    const Duration Quantile = latenciesOf(Pending.Request).Quantile;
    if (Quantile > Duration::zero())
      Pending.HedgeAt = Now + Quantile;
  }
  Timers.emplace(std::min(Pending.HedgeAt, Pending.Request.Deadline), Id);
  if (Callbacks.CrashCount(Pending.Request.Fingerprint) >=
      Policy.QuarantineCrashes) {
    DispatchResult Result;
    Result.Refused = {RefusalOutcome::NotRun, RefusalReason::Quarantined,
                      Duration::zero()};
    finish(Now, Id, std::move(Result));
    return;
  }
  placeAttempt(Now, Pending, ServerName());
}

std::optional<HostName>
Dispatcher::chooseHost(Instant Now, const ServiceName &Service) const {
  const ServiceLoad LocalLoad = LocalScheduler.load(Now, Service);
  if (LocalLoad.FreeSlots > 0 && LocalLoad.Queued == 0)
    return Self;
  if (auto Idle = OwnerLoads.findOwnerWithFreeSlot(Service, Self))
    return Idle;
  if (LocalLoad.UsableSlots > 0)
    return Self;
  if (auto Peer = OwnerLoads.findLeastLoadedOwner(Service, Self))
    return Peer;
  if (LocalScheduler.owns(Service))
    return Self;
  return std::nullopt;
}

void Dispatcher::placeAttempt(Instant Now, PendingRequest &Pending,
                              const ServerName &Avoid) {
  const RequestId ParentRequest = Pending.Request.Id;
  const auto Host = chooseHost(Now, Pending.Request.Service);
  --Pending.AttemptsLeft;
  ++Pending.AttemptsMade;
  const AttemptId Id(++LastAttemptId);
  Pending.OpenAttempts.push_back(Id);
  Attempts[Id] = {ParentRequest, Host.value_or(Self), Now};
  if (!Host) {
    AttemptResult NotRun;
    NotRun.End = AttemptEnd::NotRun;
    NotRun.Reason = RefusalReason::NoServer;
    onAttemptResult(Now, Id, NotRun);
    return;
  }
  Callbacks.Placed(Pending.Request, Id, *Host);
  sendAttempt(Now, Pending, Id, *Host, Avoid);
}

void Dispatcher::sendAttempt(Instant Now, const PendingRequest &Pending,
                             AttemptId Id, const HostName &To,
                             const ServerName &Avoid) {
  WorkItem Item;
  Item.Origin = Self;
  Item.OriginIncarnation = Incarnation;
  Item.Attempt = Id;
  Item.Service = Pending.Request.Service;
  Item.Kind = Pending.Request.Kind;
  Item.Request = Pending.Request.Request;
  Item.ExpiresAt = Pending.Request.Deadline;
  Item.Avoid = Avoid;
  if (To == Self) {
    LocalScheduler.submit(Now, std::move(Item));
    return;
  }
  forwardItem(Now, To, Item);
}

void Dispatcher::forwardItem(Instant Now, const HostName &To,
                             const WorkItem &Item) {
  ++ForwardCount;
  OwnerLoads.recordForwarded(To, Item.Service);
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
  if (LocalScheduler.owns(Item.Service))
    Message.Load = LocalScheduler.load(Now, Item.Service);
  Callbacks.Send(To, std::move(Message));
}

void Dispatcher::reassignItem(Instant Now, const HostName &To,
                              const WorkItem &Item) {
  if (Item.Origin == Self && Item.OriginIncarnation == Incarnation) {
    const auto Found = Attempts.find(Item.Attempt);
    if (Found != Attempts.end())
      Found->second.Holder = To;
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
  // The request kind is unknown if this host's configuration is older than the
  // sender's; the attempt cannot be run safely then.
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
  const ServiceLoad LocalLoad = LocalScheduler.load(Now, Item.Service);
  const bool CanForward = Item.Hops < MaxHops;
  if (LocalLoad.UsableSlots == 0 && CanForward) {
    const auto Other = OwnerLoads.findOwnerWithFreeSlot(Item.Service, Self);
    if (Other && *Other != Message.Origin) {
      forwardItem(Now, *Other, Item);
      return;
    }
  }
  LocalScheduler.submit(Now, std::move(Item));
}

void Dispatcher::onWorkRequest(Instant Now, const HostName &From,
                               const WorkRequest &Message) {
  // The free slots are recorded, so that attempts that arrive later can be
  // forwarded to the peer even if the queue holds too few attempts now.
  OwnerLoads.recordIdle(From, Message.Service, Message.Slots);
  std::vector<WorkItem> Taken =
      LocalScheduler.takeQueued(Message.Service, Message.Slots);
  if (Taken.empty()) {
    // The peer's view of this host's load is outdated; without a report it
    // would keep sending work requests.
    Callbacks.Send(From,
                   LoadReport{{LocalScheduler.load(Now, Message.Service)}});
    return;
  }
  for (WorkItem &Item : Taken) {
    if (Item.Hops >= MaxHops) {
      LocalScheduler.submit(Now, std::move(Item));
      continue;
    }
    reassignItem(Now, From, Item);
  }
}

void Dispatcher::onServiceLost(Instant Now, const ServiceName &Service) {
  for (WorkItem &Item :
       LocalScheduler.takeQueued(Service, LocalScheduler.queuedAttempts())) {
    const auto To = OwnerLoads.findLeastLoadedOwner(Service, Self);
    if (!To) {
      LocalScheduler.submit(Now, std::move(Item));
      continue;
    }
    reassignItem(Now, *To, Item);
  }
}

void Dispatcher::onLocalLoadChanged(Instant Now, const ServiceName &Service) {
  requestWork(Now, Service);
}

void Dispatcher::requestWork(Instant Now, const ServiceName &Service) {
  const ServiceLoad LocalLoad = LocalScheduler.load(Now, Service);
  if (LocalLoad.FreeSlots == 0 || LocalLoad.Queued > 0)
    return;
  const auto Busy = OwnerLoads.findOwnerWithLongestQueue(Service, Self);
  if (!Busy)
    return;
  OwnerLoads.recordWorkRequested(*Busy, Service, LocalLoad.FreeSlots);
  Callbacks.Send(*Busy, WorkRequest{Service, LocalLoad.FreeSlots});
}

void Dispatcher::onAttemptResult(Instant Now, AttemptId Id,
                                 const AttemptResult &Result) {
  const auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return;
  const Attempt Ended = Found->second;
  Attempts.erase(Found);
  const auto Parent = PendingRequests.find(Ended.ParentRequest);
  if (Parent == PendingRequests.end())
    return;
  PendingRequest &Pending = Parent->second;
  std::erase(Pending.OpenAttempts, Id);
  Callbacks.Ended(Pending.Request, Id, Result);
  if (Result.End == AttemptEnd::Answered) {
    recordLatency(Pending, Now - Ended.StartedAt);
    if (Pending.Hedged && Id == Pending.HedgeAttempt)
      budgetOf(Pending.Request.Service).ProvenHedges.earn(Policy.HedgesPerWin);
    DispatchResult Answered;
    Answered.Reply = Result.Reply;
    Answered.Server = Result.Server;
    Answered.ServiceTime = Result.ServiceTime;
    finish(Now, Ended.ParentRequest, std::move(Answered));
    return;
  }
  if (Result.End == AttemptEnd::Failed)
    Pending.MayHaveRun = true;
  Pending.LastResult = Result;
  if (!Pending.OpenAttempts.empty())
    return;
  if (mayRetry(Now, Pending, Result)) {
    ++RetryCount;
    placeAttempt(Now, Pending, Result.Server);
    return;
  }
  finishWithLastResult(Now, Pending);
}

bool Dispatcher::mayRetry(Instant Now, PendingRequest &Pending,
                          const AttemptResult &Result) {
  if (Pending.Reported || Now >= Pending.Request.Deadline)
    return false;
  const bool ProvenNotRun = Result.End == AttemptEnd::NotRun;
  // A request that is not idempotent is retried only if no attempt can have
  // run. An attempt that provably did not run never uses up the last of
  // AttemptsLeft.
  if (!Pending.Request.Kind.Idempotent &&
      !(ProvenNotRun && !Pending.MayHaveRun))
    return false;
  if (Result.Reason == RefusalReason::Overloaded ||
      Result.Reason == RefusalReason::DeadlinePassed ||
      Result.Reason == RefusalReason::NoServer)
    return false;
  if (ProvenNotRun && Pending.AttemptsLeft == 0)
    ++Pending.AttemptsLeft;
  if (Pending.AttemptsLeft == 0)
    return false;
  const std::size_t Crashes = Callbacks.CrashCount(Pending.Request.Fingerprint);
  if (Crashes >= Policy.QuarantineCrashes)
    return false;
  return budgetOf(Pending.Request.Service).Retries.spend(1);
}

void Dispatcher::finishWithLastResult(Instant Now, PendingRequest &Pending) {
  DispatchResult Result;
  Result.Server = Pending.LastResult.Server;
  // The caller gets the error answer of the backend server. The header keeps
  // hosts further up the call tree from retrying it again.
  if (Pending.LastResult.Reply) {
    Answer Relayed = *Pending.LastResult.Reply;
    Relayed.Headers.push_back({RetryHeader, "exhausted"});
    Result.Reply = std::make_shared<const Answer>(std::move(Relayed));
    finish(Now, Pending.Request.Id, std::move(Result));
    return;
  }
  Result.Refused.Outcome =
      Pending.MayHaveRun ? RefusalOutcome::Unknown : RefusalOutcome::NotRun;
  Result.Refused.Reason = Pending.LastResult.Reason;
  if (isTransient(Pending.LastResult.Reason))
    Result.Refused.RetryAfter = TransientRetryAfter;
  finish(Now, Pending.Request.Id, std::move(Result));
}

void Dispatcher::finish(Instant Now, RequestId Id, DispatchResult Result) {
  const auto Found = PendingRequests.find(Id);
  if (Found == PendingRequests.end())
    return;
  Result.Attempts = Found->second.AttemptsMade;
  cancelOpenAttempts(Now, Found->second);
  const DispatchRequest Request = std::move(Found->second.Request);
  PendingRequests.erase(Found);
  Callbacks.Finished(Request, Result);
}

void Dispatcher::cancelOpenAttempts(Instant Now, PendingRequest &Pending) {
  for (const AttemptId Id : Pending.OpenAttempts) {
    const auto Found = Attempts.find(Id);
    if (Found == Attempts.end())
      continue;
    const HostName Holder = Found->second.Holder;
    Attempts.erase(Found);
    if (Holder == Self)
      LocalScheduler.cancel(Now, {Self, Incarnation, Id});
    else
      Callbacks.Send(Holder, CancelForwarded{Incarnation, Id});
  }
  Pending.OpenAttempts.clear();
}

void Dispatcher::abandon(Instant Now, RequestId Id) {
  const auto Found = PendingRequests.find(Id);
  if (Found == PendingRequests.end() || !Found->second.Request.Kind.Idempotent)
    return;
  cancelOpenAttempts(Now, Found->second);
  PendingRequests.erase(Found);
}

void Dispatcher::onHostGone(Instant Now, const HostName &Host,
                            IncarnationId GoneIncarnation) {
  LocalScheduler.dropOrigin(Host, GoneIncarnation);
  std::vector<AttemptId> Lost;
  for (const auto &[Id, Open] : Attempts)
    if (Open.Holder == Host)
      Lost.push_back(Id);
  AttemptResult HolderGone;
  HolderGone.End = AttemptEnd::Failed;
  HolderGone.Reason = RefusalReason::HolderGone;
  for (const AttemptId Id : Lost) {
    const auto Found = Attempts.find(Id);
    if (Found == Attempts.end())
      continue;
    const auto Parent = PendingRequests.find(Found->second.ParentRequest);
    if (Parent == PendingRequests.end())
      continue;
    // The host may only be partitioned from this one and still send its answer.
    // A request that is not idempotent therefore stays open until its deadline.
    if (!Parent->second.Request.Kind.Idempotent)
      continue;
    onAttemptResult(Now, Id, HolderGone);
  }
}

void Dispatcher::tick(Instant Now) {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const RequestId Id = Timers.begin()->second;
    Timers.erase(Timers.begin());
    const auto Found = PendingRequests.find(Id);
    if (Found == PendingRequests.end())
      continue;
    PendingRequest &Pending = Found->second;
    if (Now >= Pending.DiscardAt) {
      DispatchResult Discarded;
      Discarded.Refused = {
          RefusalOutcome::Unknown, RefusalReason::DeadlinePassed, {}};
      finish(Now, Id, std::move(Discarded));
      continue;
    }
    if (Now >= Pending.Request.Deadline) {
      expireDeadline(Now, Pending);
      continue;
    }
    Timers.emplace(Pending.Request.Deadline, Id);
    tryHedge(Now, Pending);
  }
}

void Dispatcher::expireDeadline(Instant Now, PendingRequest &Pending) {
  if (Pending.Reported)
    return;
  const bool Running = !Pending.OpenAttempts.empty();
  DispatchResult Result;
  Result.Refused.Outcome = Running || Pending.MayHaveRun
                               ? RefusalOutcome::Unknown
                               : RefusalOutcome::NotRun;
  Result.Refused.Reason = RefusalReason::DeadlinePassed;
  if (Pending.Request.Kind.Idempotent) {
    finish(Now, Pending.Request.Id, std::move(Result));
    return;
  }
  // The pending request is kept, so that a late answer can still be stored for
  // the claim.
  Result.Attempts = Pending.AttemptsMade;
  Result.Final = false;
  Pending.Reported = true;
  Pending.DiscardAt = Now + Policy.LateAnswerWindow;
  Timers.emplace(Pending.DiscardAt, Pending.Request.Id);
  const DispatchRequest Request = Pending.Request;
  Callbacks.Finished(Request, Result);
}

void Dispatcher::tryHedge(Instant Now, PendingRequest &Pending) {
  if (Pending.Hedged || Now < Pending.HedgeAt ||
      Pending.OpenAttempts.size() != 1)
    return;
  if (Callbacks.CrashCount(Pending.Request.Fingerprint) > 0)
    return;
  const ServiceName &Service = Pending.Request.Service;
  if (!hasHeadroomForHedge(Now, Service))
    return;
  ServiceBudget &Budget = budgetOf(Service);
  if (Budget.Hedges.available() < 1 || !Budget.ProvenHedges.spend(1))
    return;
  Budget.Hedges.spend(1);
  Pending.Hedged = true;
  // The id that placeAttempt() assigns next.
  Pending.HedgeAttempt = AttemptId(LastAttemptId + 1);
  ++HedgeCount;
  ++Pending.AttemptsLeft;
  placeAttempt(Now, Pending,
               LocalScheduler.serverOf(
                   {Self, Incarnation, Pending.OpenAttempts.front()}));
}

/// Returns whether enough slots are free for a hedge. Near saturation, a hedge
/// would add to the load that made the first attempt slow.
bool Dispatcher::hasHeadroomForHedge(Instant Now,
                                     const ServiceName &Service) const {
  const ServiceLoad LocalLoad = LocalScheduler.load(Now, Service);
  if (LocalLoad.UsableSlots == 0)
    return OwnerLoads.findOwnerWithFreeSlot(Service, Self).has_value();
  return LocalLoad.Queued == 0 &&
         LocalLoad.FreeSlots >= Policy.HedgeFreeShare * LocalLoad.UsableSlots;
}

void Dispatcher::recordLatency(const PendingRequest &Pending,
                               Duration Latency) {
  if (!Pending.Request.Kind.Hedge)
    return;
  KindLatencies &Latencies = latenciesOf(Pending.Request);
  if (Latencies.Samples.size() < MaxLatencySamples)
    Latencies.Samples.push_back(Latency);
  else
    Latencies.Samples[Latencies.TotalSamples % MaxLatencySamples] = Latency;
  ++Latencies.TotalSamples;
  if (Latencies.Samples.size() < Policy.HedgeMinSamples ||
      Latencies.TotalSamples % SamplesPerQuantileUpdate != 0)
    return;
  std::vector<Duration> Sorted = Latencies.Samples;
  const auto Rank = static_cast<std::ptrdiff_t>(
      Policy.HedgeQuantile * static_cast<double>(Sorted.size() - 1));
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank, Sorted.end());
  Latencies.Quantile = Sorted[static_cast<std::size_t>(Rank)];
}

} // namespace mimosacart
