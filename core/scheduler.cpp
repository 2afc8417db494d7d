#include "core/scheduler.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr unsigned FirstServerError = 500;

bool headerEquals(const Answer &Value, std::string_view Name,
                  std::string_view Expected) {
  const std::string *Found = findField(Value.Headers, Name);
  return Found != nullptr && *Found == Expected;
}

bool isProvenNotRun(const Answer &Reply) {
  return headerEquals(Reply, ServerOutcomeHeader, "not-run");
}

bool isDrainReported(const CallResult &Result) {
  return Result.Reply &&
         headerEquals(*Result.Reply, ServerStateHeader, "draining");
}

} // namespace

Scheduler::Scheduler(SchedulerPolicy Policy, Hooks Callbacks)
    : Policy(std::move(Policy)), Callbacks(std::move(Callbacks)) {}

void Scheduler::assign(Instant Now, const Service &Subject,
                       const std::vector<BackendServer> &Owned,
                       const std::function<bool(const ServerName &)> &IsNew) {
  const auto Found = Services.find(Subject.Name);
  if (Owned.empty() && Found == Services.end())
    return;
  const auto [Place, Added] = Services.try_emplace(Subject.Name, Policy.Pool);
  Place->second.Pool.assign(Now, Owned, IsNew);
  startQueued(Now, Subject.Name, Place->second);
  Callbacks.LoadChanged(Subject.Name);
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
  ServiceState &At = Found->second;
  if (At.Queue.empty() && tryStart(Now, At, Item)) {
    Callbacks.LoadChanged(Item.Service);
    return;
  }
  if (!canMeetDeadline(Now, At, Item)) {
    finish(Item, AttemptEnd::NotRun, RefusalReason::Overloaded);
    return;
  }
  if (At.Queue.size() >= Policy.MaxQueued)
    shedForHigher(Item, At);
  if (At.Queue.size() >= Policy.MaxQueued) {
    finish(Item, AttemptEnd::NotRun, RefusalReason::Overloaded);
    return;
  }
  const ServiceName Name = Item.Service;
  At.Queue.push(std::move(Item));
  Waiting.insert(Name);
  startQueued(Now, Name, At);
  Callbacks.LoadChanged(Name);
}

/// Makes room in a full queue if the attempt that would go last matters less.
void Scheduler::shedForHigher(const WorkItem &Arriving, ServiceState &At) {
  const auto Last = At.Queue.lastPriority();
  if (!Last || *Last <= Arriving.Kind.Priority)
    return;
  const auto Dropped = At.Queue.popLast();
  finish(*Dropped, AttemptEnd::NotRun, RefusalReason::Overloaded);
}

bool Scheduler::canMeetDeadline(Instant Now, const ServiceState &At,
                                const WorkItem &Item) const {
  const Duration Mean = At.Pool.meanServiceTime();
  const unsigned Slots = At.Pool.usableSlots(Now);
  if (Slots == 0 || Mean == Duration::zero())
    return Item.ExpiresAt > Now;
  const std::size_t Before =
      At.Queue.countBefore(Item.Kind.Priority, Item.ExpiresAt);
  const auto Waves = static_cast<double>(Before + 1) / Slots;
  const auto Wait = Duration(
      static_cast<Duration::rep>(Waves * static_cast<double>(Mean.count())));
  const Duration Usable = Item.ExpiresAt - Now - At.Pool.likelyServiceTime();
  return Wait <=
         Duration(static_cast<Duration::rep>(
             Policy.MaxWaitShare * static_cast<double>(Usable.count())));
}

bool Scheduler::tryStart(Instant Now, ServiceState &At, WorkItem &Item) {
  const bool AllowEjected =
      At.Pool.usableSlots(Now) == 0 && !Callbacks.HasAlternative(Item.Service);
  const auto Server = At.Pool.pick(Now, Item.Avoid, AllowEjected);
  if (!Server)
    return false;
  const CallId Id(++LastCall);
  At.Pool.begin(Server->Name);
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
  Running[Id] = {std::move(Item), *Server, Now};
  Callbacks.Start(std::move(Call));
  return true;
}

void Scheduler::startQueued(Instant Now, const ServiceName &Name,
                            ServiceState &At) {
  bool Changed = false;
  while (!At.Queue.empty()) {
    WorkItem Next = *At.Queue.pop();
    if (Now + At.Pool.likelyServiceTime() > Next.ExpiresAt) {
      finish(Next, AttemptEnd::NotRun, RefusalReason::DeadlinePassed);
      Changed = true;
      continue;
    }
    if (!tryStart(Now, At, Next)) {
      At.Queue.push(std::move(Next));
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
    for (auto &[Name, At] : Services)
      if (At.Queue.remove(Key)) {
        Callbacks.LoadChanged(Name);
        return;
      }
    return;
  }
  const CallId Id = Call->second;
  const RunningCall &Cancelled = Running.at(Id);
  if (!Cancelled.Item.Kind.Idempotent)
    return;
  const ServiceName Name = Cancelled.Item.Service;
  const ServerName Server = Cancelled.Server.Name;
  CallsByAttempt.erase(Call);
  Running.erase(Id);
  Callbacks.Cancel(Id);
  const auto At = Services.find(Name);
  if (At == Services.end())
    return;
  At->second.Pool.finish(Now, Server, CallVerdict::Cancelled, {});
  startQueued(Now, Name, At->second);
  Callbacks.LoadChanged(Name);
}

std::vector<WorkItem> Scheduler::take(const ServiceName &Name,
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
  for (auto &[Name, At] : Services) {
    std::vector<WorkItem> Kept;
    std::vector<WorkItem> Dropped;
    while (auto Item = At.Queue.pop()) {
      const bool IsGone =
          Item->Origin == Origin && Item->OriginIncarnation == Incarnation;
      (IsGone ? Dropped : Kept).push_back(std::move(*Item));
    }
    for (WorkItem &Item : Kept)
      At.Queue.push(std::move(Item));
    // The origin may only be frozen or cut off, and come back.
    for (const WorkItem &Item : Dropped)
      finish(Item, AttemptEnd::NotRun, RefusalReason::HolderGone);
  }
}

CallVerdict Scheduler::judge(const CallResult &Result) const {
  if (Result.End != CallEnd::Answered)
    return CallVerdict::Bad;
  if (isProvenNotRun(*Result.Reply))
    return CallVerdict::Shed;
  return Result.Reply->Status >= FirstServerError ? CallVerdict::Bad
                                                  : CallVerdict::Good;
}

AttemptResult Scheduler::toAttemptResult(const RunningCall &Call,
                                         const CallResult &Result,
                                         Duration ServiceTime) const {
  AttemptResult Ended;
  Ended.Server = Call.Server.Name;
  Ended.ServiceTime = ServiceTime;
  switch (Result.End) {
  case CallEnd::Answered:
    break;
  case CallEnd::NotSent:
    Ended.End = AttemptEnd::NotRun;
    Ended.Reason = RefusalReason::ServerUnreachable;
    return Ended;
  case CallEnd::Broken:
    Ended.End = AttemptEnd::Failed;
    Ended.Reason = RefusalReason::ServerBroke;
    return Ended;
  case CallEnd::TimedOut:
    Ended.End = AttemptEnd::Failed;
    Ended.Reason = RefusalReason::ServerTimeout;
    return Ended;
  }
  // Only a structured refusal lets a request be tried again that may not be
  // repeated; any other error answer could have been written after the work.
  if (isProvenNotRun(*Result.Reply)) {
    Ended.End = AttemptEnd::NotRun;
    Ended.Reason = RefusalReason::ServerRefused;
    return Ended;
  }
  Ended.Reply = Result.Reply;
  const bool Retriable =
      Call.Item.Kind.Idempotent && Result.Reply->Status >= FirstServerError &&
      findField(Result.Reply->Headers, RetryHeader) == nullptr;
  Ended.End = Retriable ? AttemptEnd::Failed : AttemptEnd::Answered;
  return Ended;
}

void Scheduler::onCallResult(Instant Now, CallId Id, const CallResult &Result) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  const RunningCall Call = std::move(Found->second);
  Running.erase(Found);
  CallsByAttempt.erase(keyOf(Call.Item));
  const Duration ServiceTime = Now - Call.StartedAt;
  const auto At = Services.find(Call.Item.Service);
  if (At != Services.end())
    At->second.Pool.finish(Now, Call.Server.Name, judge(Result), ServiceTime);
  if (isDrainReported(Result))
    Callbacks.DrainSeen(Call.Server.Name);
  if (Result.End == CallEnd::Broken)
    Callbacks.CrashSeen(Call.Item, Call.Server.Name);
  if (At != Services.end())
    startQueued(Now, Call.Item.Service, At->second);
  Callbacks.LoadChanged(Call.Item.Service);
  Callbacks.Finished(Call.Item, toAttemptResult(Call, Result, ServiceTime));
}

void Scheduler::setDraining(Instant Now, const ServerName &Server,
                            bool Draining) {
  for (auto &[Name, At] : Services) {
    At.Pool.setDraining(Server, Draining);
    if (!Draining)
      startQueued(Now, Name, At);
  }
}

void Scheduler::tick(Instant Now) {
  const std::vector<ServiceName> Looked(Waiting.begin(), Waiting.end());
  for (const ServiceName &Name : Looked) {
    const auto Found = Services.find(Name);
    if (Found == Services.end() || Found->second.Queue.empty()) {
      Waiting.erase(Name);
      continue;
    }
    ServiceState &At = Found->second;
    const std::vector<WorkItem> Expired = At.Queue.removeExpired(Now);
    for (const WorkItem &Item : Expired)
      finish(Item, AttemptEnd::NotRun, RefusalReason::DeadlinePassed);
    if (!Expired.empty())
      Callbacks.LoadChanged(Name);
    startQueued(Now, Name, At);
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
  return Call == CallsByAttempt.end() ? ServerName()
                                      : Running.at(Call->second).Server.Name;
}

Duration Scheduler::meanServiceTime(const ServiceName &Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? Duration::zero()
                                 : Found->second.Pool.meanServiceTime();
}

std::size_t Scheduler::queuedAttempts() const {
  std::size_t Count = 0;
  for (const auto &[Name, At] : Services)
    Count += At.Queue.size();
  return Count;
}

std::vector<ServerView> Scheduler::servers(Instant Now) const {
  std::vector<ServerView> Result;
  for (const auto &[Name, At] : Services)
    for (ServerView &View : At.Pool.view(Now))
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
