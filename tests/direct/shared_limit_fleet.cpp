#include "tests/direct/shared_limit_fleet.h"

#include <algorithm>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 20ms;
/// How often the hosts that others overlook change.
constexpr Duration OverlookTime = 2s;
/// Time in which a new process takes no part of a limit; see FleetSize.
constexpr Duration DiscoveryTime = 3s;
/// Bounds of the rule.
constexpr Duration ContactTime = 3s;
constexpr Duration PassedOnBefore = 500ms;
constexpr Duration Window = 4s;
constexpr double LimitFactor = 1.5;
constexpr double Slack = 5;
/// Requests that a host sends in a step to a server without a limit.
constexpr unsigned RequestsPerStep = 2;

const ServerName Server("a");

DiscoveredServer makeServer() {
  DiscoveredServer Result;
  Result.Id = Server;
  Result.Incarnation = 1;
  return Result;
}

} // namespace

SharedLimitFleet::SharedLimitFleet(std::size_t HostCount, std::uint64_t Seed)
    : Random(Seed) {
  for (std::size_t Count = 0; Count < HostCount; ++Count)
    join(-1h);
  ViewChanges.clear();
}

void SharedLimitFleet::changeLimit(Duration At,
                                   std::optional<double> RequestsPerSecond) {
  Limits.push_back({Start + At, RequestsPerSecond});
}

void SharedLimitFleet::join(Duration At) {
  const std::size_t Index = Hosts.size();
  Host &Added = Hosts.emplace_back();
  Added.Address = Random();
  Added.StartsAt = Start + At;
  Added.RestartsAt = {Start + At};
  Added.Excused.emplace_back(Start + At, Start + At + ContactTime);
  ViewChanges.push_back({Start + At, Index, true, false, {}});
}

void SharedLimitFleet::restart(Duration At, std::size_t Host) {
  Hosts[Host].RestartsAt.push_back(Start + At);
  Hosts[Host].Excused.emplace_back(Start + At, Start + At + ContactTime);
}

void SharedLimitFleet::kill(Duration At, std::size_t Host) {
  Hosts[Host].EndsAt = std::min(Hosts[Host].EndsAt, Start + At);
  ViewChanges.push_back({Start + At, Host, false, false, {}});
}

void SharedLimitFleet::cut(Duration From, Duration To,
                           const std::vector<std::size_t> &Cut) {
  for (const std::size_t Index : Cut)
    Hosts[Index].IsCut = true;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    ViewChanges.push_back({Start + From, Index, false, true, {}});
    ViewChanges.push_back({Start + To, Index, true, true, {}});
  }
}

void SharedLimitFleet::pause(Duration From, Duration To) {
  Pauses.emplace_back(Start + From, Start + To);
}

Duration SharedLimitFleet::draw(Duration Min, Duration Max) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      Min.count(), Max.count())(Random));
}

void SharedLimitFleet::drawViewDelays() {
  for (ViewChange &Change : ViewChanges)
    for (std::size_t Count = 0; Count < Hosts.size(); ++Count)
      Change.Delays.push_back(draw(0s, MaxViewDelay));
}

void SharedLimitFleet::drawOverlooked() {
  if (OverlookedPart == 0 || Now < NextOverlookedAt)
    return;
  NextOverlookedAt = Now + OverlookTime;
  std::bernoulli_distribution IsOverlooked(OverlookedPart);
  for (std::vector<bool> &Row : Overlooked)
    for (std::size_t Other = 0; Other < Row.size(); ++Other)
      Row[Other] = IsOverlooked(Random);
}

HostPosition
SharedLimitFleet::findPositionAmong(std::size_t Host,
                                    const std::vector<bool> &Counted) const {
  HostPosition Result;
  for (std::size_t Other = 0; Other < Hosts.size(); ++Other) {
    if (Other == Host || !Counted[Other])
      continue;
    ++Result.Hosts;
    Result.Rank += Hosts[Other].Address < Hosts[Host].Address ? 1 : 0;
  }
  return Result;
}

bool SharedLimitFleet::knowsFleet(std::size_t Host) const {
  const std::vector<Instant> &Restarts = Hosts[Host].RestartsAt;
  return std::none_of(Restarts.begin(), Restarts.end(), [this](Instant At) {
    return At <= Now && Now < At + DiscoveryTime;
  });
}

FleetPosition SharedLimitFleet::findPosition(std::size_t Host) const {
  std::vector<bool> Seen(Hosts.size());
  for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
    Seen[Other] = Hosts[Other].StartsAt < Start;
  // Hosts that are gone or cut off may be at work for all that others know.
  std::vector<bool> EverSeen = Seen;
  for (const ViewChange &Change : ViewChanges) {
    if (Change.IsCut && Hosts[Host].IsCut == Hosts[Change.Host].IsCut)
      continue;
    // A host that starts later learns of the others in its own time as well.
    if (std::max(Change.At, Hosts[Host].StartsAt) + Change.Delays[Host] > Now)
      continue;
    Seen[Change.Host] = Change.IsThere;
    EverSeen[Change.Host] = EverSeen[Change.Host] || Change.IsThere;
  }
  for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
    Seen[Other] = Seen[Other] && !Overlooked[Host][Other];
  FleetPosition Result;
  Result.Reachable = findPositionAmong(Host, Seen);
  if (knowsFleet(Host))
    Result.Overall = findPositionAmong(Host, EverSeen);
  return Result;
}

std::optional<std::size_t> SharedLimitFleet::findChange(Instant At) const {
  std::optional<std::size_t> Result;
  for (std::size_t Index = 0; Index < Limits.size(); ++Index)
    if (Limits[Index].At <= At)
      Result = Index;
  return Result;
}

Instant SharedLimitFleet::firstNamedAt(std::size_t Change) const {
  while (Change > 0 && Limits[Change - 1].RequestsPerSecond)
    --Change;
  return Limits[Change].At;
}

bool SharedLimitFleet::isPaused() const {
  return std::any_of(Pauses.begin(), Pauses.end(), [this](const auto &Pause) {
    return Pause.first <= Now && Now < Pause.second;
  });
}

std::size_t SharedLimitFleet::processOf(const Host &Of) const {
  return static_cast<std::size_t>(
      std::count_if(Of.RestartsAt.begin(), Of.RestartsAt.end(),
                    [this](Instant At) { return At <= Now; }));
}

void SharedLimitFleet::restartDue(std::size_t Index) {
  Host &Restarted = Hosts[Index];
  const bool Due =
      !Restarted.Constraints ||
      std::any_of(Restarted.RestartsAt.begin(), Restarted.RestartsAt.end(),
                  [this](Instant At) { return At <= Now && Now < At + Step; });
  if (!Due)
    return;
  Restarted.Constraints = std::make_unique<ServerConstraints>(
      [this, Index](const ServerName &) { return findPosition(Index); });
  Restarted.HeardAt.assign(Limits.size(), Instant::max());
  Restarted.IsProbing = false;
}

bool SharedLimitFleet::counts(std::size_t Index) const {
  const auto Change = findChange(Now);
  if (!Change || !Limits[*Change].RequestsPerSecond ||
      Now < firstNamedAt(*Change) + ContactTime)
    return false;
  const Host &Sender = Hosts[Index];
  const Instant HeardAt = Sender.HeardAt[*Change];
  if (HeardAt == Instant::max() || Now < HeardAt + PassedOnBefore)
    return false;
  return std::none_of(Sender.Excused.begin(), Sender.Excused.end(),
                      [this](const auto &Span) {
                        return Span.first <= Now && Now < Span.second;
                      });
}

void SharedLimitFleet::sendAll(std::size_t Index) {
  Host &Sender = Hosts[Index];
  ServerConstraints &Constraints = *Sender.Constraints;
  const bool IsLimited = Constraints.limitedServers() > 0;
  for (unsigned Count = 0; (IsLimited || Count < RequestsPerStep) &&
                           Constraints.sendableAt(Now, makeServer()) <= Now;
       ++Count) {
    Constraints.recordSend(Now, Server);
    Answers.push_back(
        {Now + draw(5ms, 300ms), Index, false, processOf(Sender)});
    if (counts(Index))
      CountedArrivals.push_back(Now);
    const auto Change = findChange(Now);
    if (Change && Limits[*Change].RequestsPerSecond &&
        Now >= firstNamedAt(*Change) + ContactTime)
      ++Sent;
  }
  if (Constraints.sendableAt(Now, makeServer()) > Now && !Sender.IsProbing &&
      Constraints.needsRefresh(Now, Server)) {
    Sender.IsProbing = true;
    Answers.push_back({Now + draw(5ms, 100ms), Index, true, processOf(Sender)});
  }
}

void SharedLimitFleet::receiveAnswers() {
  const auto IsDue = [this](const PendingAnswer &Answer) {
    return Answer.At <= Now;
  };
  const auto Change = findChange(Now);
  for (const PendingAnswer &Answer : Answers) {
    Host &Receiver = Hosts[Answer.Host];
    if (!IsDue(Answer) || Answer.Process != processOf(Receiver))
      continue;
    if (Answer.IsProbe)
      Receiver.IsProbing = false;
    const std::optional<double> Limit =
        Change ? Limits[*Change].RequestsPerSecond : std::nullopt;
    Receiver.Constraints->setLimit(Now, Server, Limit);
    if (Change && !Answer.IsProbe)
      Receiver.HeardAt[*Change] = std::min(Receiver.HeardAt[*Change], Now);
  }
  std::erase_if(Answers, IsDue);
}

double SharedLimitFleet::integrateLimit(Instant From, Instant To) const {
  double Result = 0;
  for (std::size_t Index = 0; Index < Limits.size(); ++Index) {
    const Instant End =
        Index + 1 < Limits.size() ? Limits[Index + 1].At : Instant::max();
    const Instant Begin = std::max(From, Limits[Index].At);
    if (std::min(To, End) > Begin)
      Result += Limits[Index].RequestsPerSecond.value_or(0) *
                toSeconds(std::min(To, End) - Begin);
  }
  return Result;
}

double SharedLimitFleet::allowedIn(Instant From, Instant To) const {
  double Greatest = 0;
  for (std::size_t Index = 0; Index < Limits.size(); ++Index) {
    const bool IsOver =
        Index + 1 < Limits.size() && Limits[Index + 1].At <= From;
    if (!IsOver && Limits[Index].At <= To)
      Greatest =
          std::max(Greatest, Limits[Index].RequestsPerSecond.value_or(0));
  }
  return LimitFactor * Greatest * toSeconds(Window) + Slack;
}

double SharedLimitFleet::findExcess(bool OneLimitOnly) const {
  double Result = -1e9;
  for (std::size_t First = 0, Last = 0; Last < CountedArrivals.size(); ++Last) {
    const Instant End = CountedArrivals[Last];
    Instant Begin = End - Window;
    if (OneLimitOnly)
      Begin = std::max(Begin, Limits[*findChange(End)].At);
    while (CountedArrivals[First] < Begin)
      ++First;
    Result = std::max(Result, static_cast<double>(Last - First + 1) -
                                  allowedIn(Begin, End));
  }
  return Result;
}

SharedLimitResult SharedLimitFleet::run(Duration Length) {
  drawViewDelays();
  Overlooked.assign(Hosts.size(), std::vector<bool>(Hosts.size()));
  double Allowed = 0;
  for (const Instant End = Start + Length; Now < End; Now += Step) {
    drawOverlooked();
    receiveAnswers();
    const auto Change = findChange(Now);
    if (Change && !isPaused() && Now >= firstNamedAt(*Change) + ContactTime)
      Allowed += integrateLimit(Now, Now + Step);
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      if (Hosts[Index].StartsAt > Now || Hosts[Index].EndsAt <= Now)
        continue;
      restartDue(Index);
      if (!isPaused())
        sendAll(Index);
    }
  }
  return {std::max(findExcess(false), findExcess(true)), Sent, Allowed};
}

} // namespace mimosacart
