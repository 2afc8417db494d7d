#include "core/scheduler.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr unsigned FirstServerErrorStatus = 500;

bool headerEquals(const Answer &Reply, std::string_view Name,
                  std::string_view Expected) {
  const std::string *Found = findField(Reply.Headers, Name);
  return Found != nullptr && *Found == Expected;
}

bool isProvenNotRun(const Answer &Reply) {
  return headerEquals(Reply, ServerOutcomeHeader, "not-run");
}

bool reportsDraining(const CallResult &Result) {
  return Result.Reply &&
         headerEquals(*Result.Reply, ServerStateHeader, "draining");
}

} // namespace

Scheduler::Scheduler(SchedulerPolicy Policy, Hooks Callbacks)
    : Policy(std::move(Policy)), Callbacks(std::move(Callbacks)) {}

void Scheduler::assign(Instant Now, const Service &ServiceConfig,
                       const std::vector<BackendServer> &Owned,
                       const std::function<bool(const ServerName &)> &IsNew) {
  const auto Found = Services.find(ServiceConfig.Name);
  if (Owned.empty() && Found == Services.end())
    return;
  const auto [Entry, Added] =
      Services.try_emplace(ServiceConfig.Name, Policy.Pool);
  Entry->second.Pool.assign(Now, Owned, IsNew);
  startQueued(Now, ServiceConfig.Name, Entry->second);
  Callbacks.LoadChanged(ServiceConfig.Name);
}

void Scheduler::removeService(Instant Now, const ServiceName &Name) {
  const auto Found = Services.find(Name);
  if (Found == Services.end())
    return;
  while (const auto Item = Found->second.Queue.pop())
    finish(*Item, AttemptEnd::NotRun, RefusalReason::NoServer);
  Found->second.Pool.assign(Now, {}, [](const ServerName &) { return false; });
  if (Found->second.Pool.empty())
    Services.erase(Found);
}

void Scheduler::submit(Instant Now, WorkItem Item) {
  Item.EnqueuedAt = Now;
  const auto Found = Services.find(Item.Service);
  if (Found == Services.end()) {
    finish(Item, AttemptEnd::NotRun, RefusalReason::NoServer);
    return;
  }
  ServiceState &State = Found->second;
  if (State.Queue.empty() && tryStart(Now, State, Item)) {
    Callbacks.LoadChanged(Item.Service);
    return;
  }
  if (!canMeetDeadline(Now, State, Item)) {
    finish(Item, AttemptEnd::NotRun, RefusalReason::Overloaded);
    return;
  }
  if (State.Queue.size() >= Policy.MaxQueued)
    dropLowerPriority(Item, State);
  if (State.Queue.size() >= Policy.MaxQueued) {
    finish(Item, AttemptEnd::NotRun, RefusalReason::Overloaded);
    return;
  }
  const ServiceName Name = Item.Service;
  State.Queue.push(std::move(Item));
  QueuedServices.insert(Name);
  startQueued(Now, Name, State);
  Callbacks.LoadChanged(Name);
}

/// Drops the last attempt of a full queue if its priority is lower than that of
/// the arriving one.
void Scheduler::dropLowerPriority(const WorkItem &Arriving,
                                  ServiceState &State) {
  const auto Last = State.Queue.lastPriority();
  if (!Last || *Last <= Arriving.Kind.Priority)
    return;
  const auto Dropped = State.Queue.popLast();
  finish(*Dropped, AttemptEnd::NotRun, RefusalReason::Overloaded);
}

bool Scheduler::canMeetDeadline(Instant Now, const ServiceState &State,
                                const WorkItem &Item) const {
  const Duration Mean = State.Pool.meanServiceTime();
  const unsigned Slots = State.Pool.usableSlots(Now);
  if (Slots == 0 || Mean == Duration::zero())
    return Item.ExpiresAt > Now;
  const std::size_t QueuedBefore =
      State.Queue.countBefore(Item.Kind.Priority, Item.ExpiresAt);
  // The slots together serve one round of attempts per mean service time.
  const auto Rounds = static_cast<double>(QueuedBefore + 1) / Slots;
  const auto Wait = Duration(
      static_cast<Duration::rep>(Rounds * static_cast<double>(Mean.count())));
  const Duration Slack =
      Item.ExpiresAt - Now - State.Pool.estimatedMaxServiceTime();
  return Wait <= Duration(static_cast<Duration::rep>(
                     Policy.MaxWaitShare * static_cast<double>(Slack.count())));
}

bool Scheduler::tryStart(Instant Now, ServiceState &State, WorkItem &Item) {
  const bool AllowEjected = State.Pool.usableSlots(Now) == 0 &&
                            !Callbacks.HasAlternative(Item.Service);
  const auto Server = State.Pool.pick(Now, Item.Avoid, AllowEjected);
  if (!Server)
    return false;
  const CallId Id(++LastCallId);
  State.Pool.beginCall(Server->Name);
  CallsByAttempt[keyOf(Item)] = Id;
  const Duration Remaining =
      std::max(Item.ExpiresAt - Now, Duration(std::chrono::milliseconds(1)));
  ServerCall Call;
  Call.Id = Id;
  Call.Server = *Server;
  Call.Request = Item.Request;
  Call.Remaining = Remaining;
  Call.Timeout =
      Item.Kind.Idempotent ? Remaining : Remaining + Policy.NonIdempotentGrace;
  Call.AttemptsLeft =
      Item.Request->AttemptsLeft.value_or(Item.Kind.Retries + 1);
  Call.MayReuseIdle = Item.Kind.Idempotent;
  RunningCalls[Id] = {std::move(Item), *Server, Now};
  Callbacks.Start(std::move(Call));
  return true;
}

void Scheduler::startQueued(Instant Now, const ServiceName &Name,
                            ServiceState &State) {
  bool Changed = false;
  while (!State.Queue.empty()) {
    WorkItem Item = *State.Queue.pop();
    if (Now + State.Pool.estimatedMaxServiceTime() > Item.ExpiresAt) {
      finish(Item, AttemptEnd::NotRun, RefusalReason::DeadlinePassed);
      Changed = true;
      continue;
    }
    if (!tryStart(Now, State, Item)) {
      State.Queue.push(std::move(Item));
      break;
    }
    Changed = true;
  }
  if (Changed)
    Callbacks.LoadChanged(Name);
}

void Scheduler::cancel(Instant Now, const AttemptKey &Key) {
  const auto Call = CallsByAttempt.find(Key);
  if (Call == CallsByAttempt.end()) {
    for (auto &[Name, State] : Services)
      if (State.Queue.remove(Key)) {
        Callbacks.LoadChanged(Name);
        return;
      }
    return;
  }
  const CallId Id = Call->second;
  const RunningCall &Cancelled = RunningCalls.at(Id);
  if (!Cancelled.Item.Kind.Idempotent)
    return;
  const ServiceName Name = Cancelled.Item.Service;
  const ServerName Server = Cancelled.Server.Name;
  CallsByAttempt.erase(Call);
  RunningCalls.erase(Id);
  Callbacks.Cancel(Id);
  const auto State = Services.find(Name);
  if (State == Services.end())
    return;
  State->second.Pool.finishCall(Now, Server, CallOutcome::Cancelled, {});
  startQueued(Now, Name, State->second);
  Callbacks.LoadChanged(Name);
}

std::vector<WorkItem> Scheduler::takeQueued(const ServiceName &Name,
                                            std::size_t Count) {
  std::vector<WorkItem> Taken;
  const auto Found = Services.find(Name);
  if (Found == Services.end())
    return Taken;
  while (Taken.size() < Count) {
    auto Item = Found->second.Queue.pop();
    if (!Item)
      break;
    Taken.push_back(std::move(*Item));
  }
  if (!Taken.empty())
    Callbacks.LoadChanged(Name);
  return Taken;
}

void Scheduler::dropOrigin(const HostName &Origin, IncarnationId Incarnation) {
  for (auto &[Name, State] : Services) {
    std::vector<WorkItem> Kept;
    std::vector<WorkItem> Dropped;
    while (auto Item = State.Queue.pop()) {
      const bool IsGone =
          Item->Origin == Origin && Item->OriginIncarnation == Incarnation;
      (IsGone ? Dropped : Kept).push_back(std::move(*Item));
    }
    for (WorkItem &Item : Kept)
      State.Queue.push(std::move(Item));
    // The origin gets these results, because it may only have been suspended
    // or partitioned and may come back.
    for (const WorkItem &Item : Dropped)
      finish(Item, AttemptEnd::NotRun, RefusalReason::HolderGone);
  }
}

CallOutcome Scheduler::classifyCall(const CallResult &Result) const {
  if (Result.End != CallEnd::Answered)
    return CallOutcome::Failed;
  if (isProvenNotRun(*Result.Reply))
    return CallOutcome::Refused;
  return Result.Reply->Status >= FirstServerErrorStatus
             ? CallOutcome::Failed
             : CallOutcome::Succeeded;
}

AttemptResult Scheduler::toAttemptResult(const RunningCall &Call,
                                         const CallResult &Result,
                                         Duration ServiceTime) const {
  AttemptResult Converted;
  Converted.Server = Call.Server.Name;
  Converted.ServiceTime = ServiceTime;
  switch (Result.End) {
  case CallEnd::Answered:
    break;
  case CallEnd::NotSent:
    Converted.End = AttemptEnd::NotRun;
    Converted.Reason = RefusalReason::ServerUnreachable;
    return Converted;
  case CallEnd::Broken:
    Converted.End = AttemptEnd::Failed;
    Converted.Reason = RefusalReason::ServerBroke;
    return Converted;
  case CallEnd::TimedOut:
    Converted.End = AttemptEnd::Failed;
    Converted.Reason = RefusalReason::ServerTimeout;
    return Converted;
  }
  // Only a ServerOutcomeHeader of `not-run` proves that the request has not
  // run. Any other error answer may have been sent after the server did the
  // work, so a request that is not idempotent must not be retried then.
  if (isProvenNotRun(*Result.Reply)) {
    Converted.End = AttemptEnd::NotRun;
    Converted.Reason = RefusalReason::ServerRefused;
    return Converted;
  }
  Converted.Reply = Result.Reply;
  const bool Retriable =
      Call.Item.Kind.Idempotent &&
      Result.Reply->Status >= FirstServerErrorStatus &&
      findField(Result.Reply->Headers, RetryHeader) == nullptr;
  Converted.End = Retriable ? AttemptEnd::Failed : AttemptEnd::Answered;
  return Converted;
}

void Scheduler::onCallResult(Instant Now, CallId Id, const CallResult &Result) {
  const auto Found = RunningCalls.find(Id);
  if (Found == RunningCalls.end())
    return;
  const RunningCall Call = std::move(Found->second);
  RunningCalls.erase(Found);
  CallsByAttempt.erase(keyOf(Call.Item));
  const Duration ServiceTime = Now - Call.StartedAt;
  const auto State = Services.find(Call.Item.Service);
  if (State != Services.end())
    State->second.Pool.finishCall(Now, Call.Server.Name, classifyCall(Result),
                                  ServiceTime);
  if (reportsDraining(Result))
    Callbacks.DrainSeen(Call.Server.Name);
  if (Result.End == CallEnd::Broken)
    Callbacks.CrashSeen(Call.Item, Call.Server.Name);
  if (State != Services.end())
    startQueued(Now, Call.Item.Service, State->second);
  Callbacks.LoadChanged(Call.Item.Service);
  Callbacks.Finished(Call.Item, toAttemptResult(Call, Result, ServiceTime));
}

void Scheduler::setDraining(Instant Now, const ServerName &Server,
                            bool Draining) {
  for (auto &[Name, State] : Services) {
    State.Pool.setDraining(Server, Draining);
    if (!Draining)
      startQueued(Now, Name, State);
  }
}

void Scheduler::tick(Instant Now) {
  const std::vector<ServiceName> ServiceNames(QueuedServices.begin(),
                                              QueuedServices.end());
  for (const ServiceName &Name : ServiceNames) {
    const auto Found = Services.find(Name);
    if (Found == Services.end() || Found->second.Queue.empty()) {
      QueuedServices.erase(Name);
      continue;
    }
    ServiceState &State = Found->second;
    const std::vector<WorkItem> Expired = State.Queue.removeExpired(Now);
    for (const WorkItem &Item : Expired)
      finish(Item, AttemptEnd::NotRun, RefusalReason::DeadlinePassed);
    if (!Expired.empty())
      Callbacks.LoadChanged(Name);
    startQueued(Now, Name, State);
  }
}

ServiceLoad Scheduler::load(Instant Now, const ServiceName &Name) const {
  ServiceLoad Result;
  Result.Service = Name;
  const auto Found = Services.find(Name);
  if (Found == Services.end())
    return Result;
  Result.FreeSlots = Found->second.Pool.freeSlots(Now);
  Result.UsableSlots = Found->second.Pool.usableSlots(Now);
  Result.Queued = static_cast<std::uint32_t>(Found->second.Queue.size());
  return Result;
}

bool Scheduler::owns(const ServiceName &Name) const {
  const auto Found = Services.find(Name);
  return Found != Services.end() && !Found->second.Pool.empty();
}

ServerName Scheduler::serverOf(const AttemptKey &Key) const {
  const auto Call = CallsByAttempt.find(Key);
  return Call == CallsByAttempt.end()
             ? ServerName()
             : RunningCalls.at(Call->second).Server.Name;
}

Duration Scheduler::meanServiceTime(const ServiceName &Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? Duration::zero()
                                 : Found->second.Pool.meanServiceTime();
}

std::size_t Scheduler::queuedAttempts() const {
  std::size_t Count = 0;
  for (const auto &[Name, State] : Services)
    Count += State.Queue.size();
  return Count;
}

std::vector<ServerView> Scheduler::servers(Instant Now) const {
  std::vector<ServerView> Result;
  for (const auto &[Name, State] : Services)
    for (ServerView &View : State.Pool.view(Now))
      Result.push_back(std::move(View));
  return Result;
}

void Scheduler::finish(const WorkItem &Item, AttemptEnd End,
                       RefusalReason Reason) {
  AttemptResult Result;
  Result.End = End;
  Result.Reason = Reason;
  Callbacks.Finished(Item, Result);
}

} // namespace mimosacart
