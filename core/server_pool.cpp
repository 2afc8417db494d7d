#include "core/server_pool.h"

#include "core/median.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosacart {

namespace {

/// Minimum number of calls to a server before its mean service time is compared
/// with the median.
constexpr std::uint64_t MinCallsForSlowState = 10;
/// Cap on a service time sample, as a multiple of the current mean.
constexpr double MaxSampleFactor = 3;
/// Few service times exceed the mean by more than this many mean deviations.
constexpr double DeviationFactor = 4;

} // namespace

const char *toString(ServerState Value) {
  switch (Value) {
  case ServerState::Ready:
    return "ready";
  case ServerState::Ramping:
    return "ramping";
  case ServerState::Slow:
    return "slow";
  case ServerState::Ejected:
    return "ejected";
  case ServerState::Draining:
    return "draining";
  }
  return "ready";
}

void ServerPool::assign(Instant Now, const std::vector<BackendServer> &Owned,
                        const std::function<bool(const ServerName &)> &IsNew) {
  for (auto &[Name, Entry] : Servers)
    Entry.Owned = false;
  for (const BackendServer &Server : Owned) {
    const auto [Position, Added] = Servers.try_emplace(Server.Name);
    ServerEntry &Entry = Position->second;
    const bool Moved = !Added && Entry.Server.Address != Server.Address;
    if (Moved)
      Entry = ServerEntry();
    if (Moved || (Added && IsNew(Server.Name)))
      Entry.RampStart = Now;
    Entry.Server = Server;
    Entry.Owned = true;
  }
  // A removed server is kept until its calls in flight have ended.
  std::erase_if(Servers, [](const auto &Item) {
    return !Item.second.Owned && Item.second.InFlight == 0;
  });
}

void ServerPool::setDraining(const ServerName &Server, bool Draining) {
  const auto Found = Servers.find(Server);
  if (Found != Servers.end())
    Found->second.Draining = Draining;
}

bool ServerPool::isEjected(Instant Now, const ServerEntry &Entry) const {
  return Entry.EjectedUntil > Now;
}

bool ServerPool::isSlow(const ServerEntry &Entry) const {
  if (Entry.Calls < MinCallsForSlowState)
    return false;
  const double Median = medianMeanMicroseconds();
  return Median > 0 && Entry.MeanMicroseconds > Median * Policy.SlowFactor;
}

double ServerPool::medianMeanMicroseconds() const {
  std::vector<double> Means;
  for (const auto &[Name, Entry] : Servers)
    if (Entry.Owned && Entry.MeanMicroseconds > 0)
      Means.push_back(Entry.MeanMicroseconds);
  return lowerMedian(std::move(Means));
}

unsigned ServerPool::slotLimit(Instant Now, const ServerEntry &Entry) const {
  if (!Entry.Owned || Entry.Draining)
    return 0;
  // Without slot ownership, the calls of other hosts to the server are unknown
  // here, so only the number of connections limits this host's calls and the
  // server queues them.
  if (!Policy.Balancing.SlotOwnership)
    return Entry.Server.Connections;
  if (isSlow(Entry))
    return 1;
  if (!Entry.RampStart)
    return Entry.Server.Slots;
  const Duration Age = Now - *Entry.RampStart;
  if (Age >= Policy.RampTime)
    return Entry.Server.Slots;
  const double Share = toSeconds(Age) / toSeconds(Policy.RampTime);
  const auto Ramped = static_cast<unsigned>(Share * Entry.Server.Slots);
  return std::max(1U, Ramped);
}

std::optional<BackendServer> ServerPool::pick(Instant Now,
                                              const ServerName &Avoid,
                                              bool AllowEjected) const {
  std::vector<const ServerEntry *> Free;
  std::vector<ServerChoice> Choices;
  const ServerEntry *Avoided = nullptr;
  for (const auto &[Name, Entry] : Servers) {
    if (Entry.InFlight >= slotLimit(Now, Entry))
      continue;
    if (isEjected(Now, Entry) && !AllowEjected)
      continue;
    if (Name == Avoid) {
      Avoided = &Entry;
      continue;
    }
    Free.push_back(&Entry);
    Choices.push_back(
        {Entry.InFlight, Entry.Server.Slots, Entry.MeanMicroseconds});
  }
  if (!Free.empty())
    return Free[Policy.Balancing.Choose(Choices)]->Server;
  if (Avoided != nullptr)
    return Avoided->Server;
  return std::nullopt;
}

void ServerPool::beginCall(const ServerName &Server) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  ++Found->second.InFlight;
  ++Found->second.Calls;
}

void ServerPool::finishCall(Instant Now, const ServerName &Server,
                            CallOutcome Outcome, Duration ServiceTime) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  ServerEntry &Entry = Found->second;
  --Entry.InFlight;
  if (Outcome == CallOutcome::Succeeded) {
    Entry.ConsecutiveFailures = 0;
    Entry.Ejections = 0;
    recordServiceTime(Entry, ServiceTime);
  }
  if (Outcome == CallOutcome::Failed)
    recordFailure(Now, Entry);
  if (!Entry.Owned && Entry.InFlight == 0)
    Servers.erase(Found);
}

void ServerPool::recordServiceTime(ServerEntry &Entry,
                                   Duration ServiceTime) const {
  auto Sample = static_cast<double>(ServiceTime.count());
  if (Entry.MeanMicroseconds == 0) {
    Entry.MeanMicroseconds = Sample;
    Entry.DeviationMicroseconds = Sample / 2;
    return;
  }
  // The cap keeps a single straggler from marking its server as slow. The mean
  // of a server that has become slow still rises within a few calls.
  Sample = std::min(Sample, MaxSampleFactor * Entry.MeanMicroseconds);
  const double Difference = Sample - Entry.MeanMicroseconds;
  Entry.MeanMicroseconds += Policy.LatencyWeight * Difference;
  Entry.DeviationMicroseconds +=
      Policy.LatencyWeight *
      (std::abs(Difference) - Entry.DeviationMicroseconds);
}

void ServerPool::recordFailure(Instant Now, ServerEntry &Entry) {
  ++Entry.ConsecutiveFailures;
  // Without a successful call since its last ejection, a server is ejected
  // again after a single failure.
  const bool EjectedBefore = Entry.Ejections > 0;
  if (Entry.ConsecutiveFailures < Policy.EjectAfterFailures && !EjectedBefore)
    return;
  if (isEjected(Now, Entry))
    return;
  Duration EjectTime = Policy.EjectTime;
  for (unsigned Step = 0;
       Step < Entry.Ejections && EjectTime < Policy.MaxEjectTime; ++Step)
    EjectTime *= 2;
  ++Entry.Ejections;
  Entry.EjectedUntil = Now + std::min(EjectTime, Policy.MaxEjectTime);
  Entry.RampStart = Entry.EjectedUntil;
}

unsigned ServerPool::freeSlots(Instant Now) const {
  unsigned Free = 0;
  for (const auto &[Name, Entry] : Servers) {
    if (isEjected(Now, Entry))
      continue;
    const unsigned Limit = slotLimit(Now, Entry);
    Free += Limit > Entry.InFlight ? Limit - Entry.InFlight : 0;
  }
  return Free;
}

unsigned ServerPool::usableSlots(Instant Now) const {
  unsigned Usable = 0;
  for (const auto &[Name, Entry] : Servers)
    if (!isEjected(Now, Entry))
      Usable += slotLimit(Now, Entry);
  return Usable;
}

Duration ServerPool::meanServiceTime() const {
  return averageOf(
      [](const ServerEntry &Entry) { return Entry.MeanMicroseconds; });
}

Duration ServerPool::estimatedMaxServiceTime() const {
  return averageOf([](const ServerEntry &Entry) {
    return Entry.MeanMicroseconds +
           DeviationFactor * Entry.DeviationMicroseconds;
  });
}

Duration ServerPool::averageOf(
    const std::function<double(const ServerEntry &)> &Value) const {
  double Sum = 0;
  unsigned Count = 0;
  for (const auto &[Name, Entry] : Servers) {
    if (Entry.MeanMicroseconds == 0)
      continue;
    Sum += Value(Entry);
    ++Count;
  }
  if (Count == 0)
    return Duration::zero();
  return Duration(static_cast<Duration::rep>(Sum / Count));
}

std::vector<ServerView> ServerPool::view(Instant Now) const {
  std::vector<ServerView> Result;
  for (const auto &[Name, Entry] : Servers) {
    ServerView View;
    View.Server = Entry.Server;
    View.InFlight = Entry.InFlight;
    View.Limit = slotLimit(Now, Entry);
    View.Calls = Entry.Calls;
    View.MeanServiceTime =
        Duration(static_cast<Duration::rep>(Entry.MeanMicroseconds));
    if (Entry.Draining)
      View.State = ServerState::Draining;
    else if (isEjected(Now, Entry))
      View.State = ServerState::Ejected;
    else if (isSlow(Entry))
      View.State = ServerState::Slow;
    else if (View.Limit < Entry.Server.Slots)
      View.State = ServerState::Ramping;
    Result.push_back(std::move(View));
  }
  return Result;
}

} // namespace mimosacart
