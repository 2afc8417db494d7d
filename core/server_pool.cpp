#include "core/server_pool.h"

#include "core/median.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosacart {

namespace {

/// Calls before a server's mean is compared with the others'.
constexpr std::uint64_t MinCallsToJudge = 10;
/// A sample counts for at most so many times the mean.
constexpr double MaxSampleFactor = 3;
/// Deviations beyond the mean that few service times exceed.
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
  for (auto &[Name, Known] : Servers)
    Known.Owned = false;
  for (const BackendServer &Server : Owned) {
    const auto [Place, Added] = Servers.try_emplace(Server.Name);
    State &Known = Place->second;
    const bool Moved = !Added && Known.Server.Address != Server.Address;
    if (Moved)
      Known = State();
    if (Moved || (Added && IsNew(Server.Name)))
      Known.RampStart = Now;
    Known.Server = Server;
    Known.Owned = true;
  }
  // Calls in flight still have to be counted off a server that went away.
  std::erase_if(Servers, [](const auto &Entry) {
    return !Entry.second.Owned && Entry.second.InFlight == 0;
  });
}

void ServerPool::setDraining(const ServerName &Server, bool Draining) {
  const auto Found = Servers.find(Server);
  if (Found != Servers.end())
    Found->second.Draining = Draining;
}

bool ServerPool::isEjected(Instant Now, const State &Of) const {
  return Of.EjectedUntil > Now;
}

bool ServerPool::isSlow(const State &Of) const {
  if (Of.Calls < MinCallsToJudge)
    return false;
  const double Median = medianMicroseconds();
  return Median > 0 && Of.MeanMicroseconds > Median * Policy.SlowFactor;
}

double ServerPool::medianMicroseconds() const {
  std::vector<double> Means;
  for (const auto &[Name, Known] : Servers)
    if (Known.Owned && Known.MeanMicroseconds > 0)
      Means.push_back(Known.MeanMicroseconds);
  return lowerMedian(std::move(Means));
}

unsigned ServerPool::limitOf(Instant Now, const State &Of) const {
  if (!Of.Owned || Of.Draining)
    return 0;
  // A host that shares the server with others it knows nothing of has no
  // slots to count; the server itself queues.
  if (!Policy.Balancing.SlotOwnership)
    return Of.Server.Connections;
  if (isSlow(Of))
    return 1;
  if (!Of.RampStart)
    return Of.Server.Slots;
  const Duration Age = Now - *Of.RampStart;
  if (Age >= Policy.RampTime)
    return Of.Server.Slots;
  const double Share = toSeconds(Age) / toSeconds(Policy.RampTime);
  const auto Ramped = static_cast<unsigned>(Share * Of.Server.Slots);
  return std::max(1U, Ramped);
}

std::optional<BackendServer> ServerPool::pick(Instant Now,
                                              const ServerName &Avoid,
                                              bool AllowEjected) const {
  std::vector<const State *> Free;
  std::vector<ServerChoice> Choices;
  const State *Avoided = nullptr;
  for (const auto &[Name, Known] : Servers) {
    if (Known.InFlight >= limitOf(Now, Known))
      continue;
    if (isEjected(Now, Known) && !AllowEjected)
      continue;
    if (Name == Avoid) {
      Avoided = &Known;
      continue;
    }
    Free.push_back(&Known);
    Choices.push_back(
        {Known.InFlight, Known.Server.Slots, Known.MeanMicroseconds});
  }
  if (!Free.empty())
    return Free[Policy.Balancing.Choose(Choices)]->Server;
  if (Avoided != nullptr)
    return Avoided->Server;
  return std::nullopt;
}

void ServerPool::begin(const ServerName &Server) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  ++Found->second.InFlight;
  ++Found->second.Calls;
}

void ServerPool::finish(Instant Now, const ServerName &Server,
                        CallVerdict Verdict, Duration ServiceTime) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  State &Known = Found->second;
  --Known.InFlight;
  if (Verdict == CallVerdict::Good) {
    Known.FailuresInRow = 0;
    Known.Ejections = 0;
    recordServiceTime(Known, ServiceTime);
  }
  if (Verdict == CallVerdict::Bad)
    recordFailure(Now, Known);
  if (!Known.Owned && Known.InFlight == 0)
    Servers.erase(Found);
}

void ServerPool::recordServiceTime(State &Of, Duration ServiceTime) const {
  auto Sample = static_cast<double>(ServiceTime.count());
  if (Of.MeanMicroseconds == 0) {
    Of.MeanMicroseconds = Sample;
    Of.DeviationMicroseconds = Sample / 2;
    return;
  }
  // One straggler says little of its server; a server that really became
  // slow passes this bound with a few calls.
  Sample = std::min(Sample, MaxSampleFactor * Of.MeanMicroseconds);
  const double Difference = Sample - Of.MeanMicroseconds;
  Of.MeanMicroseconds += Policy.LatencyWeight * Difference;
  Of.DeviationMicroseconds +=
      Policy.LatencyWeight * (std::abs(Difference) - Of.DeviationMicroseconds);
}

void ServerPool::recordFailure(Instant Now, State &Of) {
  ++Of.FailuresInRow;
  const bool WasEjectedBefore = Of.Ejections > 0;
  if (Of.FailuresInRow < Policy.EjectAfterFailures && !WasEjectedBefore)
    return;
  if (isEjected(Now, Of))
    return;
  Duration Span = Policy.EjectTime;
  for (unsigned Step = 0; Step < Of.Ejections && Span < Policy.MaxEjectTime;
       ++Step)
    Span *= 2;
  ++Of.Ejections;
  Of.EjectedUntil = Now + std::min(Span, Policy.MaxEjectTime);
  Of.RampStart = Of.EjectedUntil;
}

unsigned ServerPool::freeSlots(Instant Now) const {
  unsigned Free = 0;
  for (const auto &[Name, Known] : Servers) {
    if (isEjected(Now, Known))
      continue;
    const unsigned Limit = limitOf(Now, Known);
    Free += Limit > Known.InFlight ? Limit - Known.InFlight : 0;
  }
  return Free;
}

unsigned ServerPool::usableSlots(Instant Now) const {
  unsigned Usable = 0;
  for (const auto &[Name, Known] : Servers)
    if (!isEjected(Now, Known))
      Usable += limitOf(Now, Known);
  return Usable;
}

Duration ServerPool::meanServiceTime() const {
  return averageOf([](const State &Of) { return Of.MeanMicroseconds; });
}

Duration ServerPool::likelyServiceTime() const {
  return averageOf([](const State &Of) {
    return Of.MeanMicroseconds + DeviationFactor * Of.DeviationMicroseconds;
  });
}

Duration
ServerPool::averageOf(const std::function<double(const State &)> &Value) const {
  double Sum = 0;
  unsigned Count = 0;
  for (const auto &[Name, Known] : Servers) {
    if (Known.MeanMicroseconds == 0)
      continue;
    Sum += Value(Known);
    ++Count;
  }
  if (Count == 0)
    return Duration::zero();
  return Duration(static_cast<Duration::rep>(Sum / Count));
}

std::vector<ServerView> ServerPool::view(Instant Now) const {
  std::vector<ServerView> Result;
  for (const auto &[Name, Known] : Servers) {
    ServerView View;
    View.Server = Known.Server;
    View.InFlight = Known.InFlight;
    View.Limit = limitOf(Now, Known);
    View.Calls = Known.Calls;
    View.MeanServiceTime =
        Duration(static_cast<Duration::rep>(Known.MeanMicroseconds));
    if (Known.Draining)
      View.State = ServerState::Draining;
    else if (isEjected(Now, Known))
      View.State = ServerState::Ejected;
    else if (isSlow(Known))
      View.State = ServerState::Slow;
    else if (View.Limit < Known.Server.Slots)
      View.State = ServerState::Ramping;
    Result.push_back(std::move(View));
  }
  return Result;
}

} // namespace mimosacart
