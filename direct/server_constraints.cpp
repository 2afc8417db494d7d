#include "direct/server_constraints.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Number of hosts that share a limit near zero. One more host shares it for
/// each request a second.
constexpr std::size_t MinSharingHosts = 3;
/// Limit assumed for servers that name a lower one, in requests a second, so
/// that a server is not left alone for ever.
constexpr double MinRequestsPerSecond = 0.1;
/// What a server may get in any window whichever hosts reach each other, in
/// requests and as a multiple of its limit. Below what servers bear, so that a
/// request that arrives late does no harm.
constexpr double WindowSeconds = 4;
constexpr double WindowRequests = 4.5;
constexpr double WindowLimitFactor = 1.45;
/// Time for which unused requests are kept, but one is always kept.
constexpr double MaxBurstSeconds = 0.2;
/// How often a host's part is computed from the hosts that are there.
constexpr Duration RateLifetime = std::chrono::milliseconds(500);
/// A limit older than this is asked for again before the server is used.
constexpr Duration RefreshInterval = std::chrono::seconds(1);
/// Time between the returns of two hosts to a server that wanted no requests,
/// and the latest return.
constexpr Duration ReturnInterval = std::chrono::milliseconds(40);
constexpr Duration MaxReturnDelay = std::chrono::milliseconds(400);
/// Leaving servers that are remembered; more than a host meets in a day.
constexpr std::size_t MaxLeavingServers = 4096;

/// Requests a second that each of \p Senders hosts may send without exceeding
/// what a server may get, \p InWindow, even if all begin with a burst.
double maxRate(double InWindow, std::size_t Senders) {
  const double OfOneHost = InWindow / static_cast<double>(Senders);
  return std::min((OfOneHost - 1) / WindowSeconds,
                  OfOneHost / (WindowSeconds + MaxBurstSeconds));
}

/// Returns a host's part of a limit of \p Total requests a second.
double computeRate(double Total, const FleetPosition &Position) {
  if (!Position.Overall)
    return 0;
  const HostPosition &Reachable = Position.Reachable;
  const HostPosition &Overall = *Position.Overall;
  const std::size_t MostSharing =
      MinSharingHosts + static_cast<std::size_t>(Total);
  const double InWindow =
      WindowRequests + WindowLimitFactor * WindowSeconds * Total;
  const double LeastOfOneHost =
      1 + WindowSeconds * Total / static_cast<double>(MostSharing);
  // More than MostSharing: the last ones replace those that are gone.
  const auto MostSenders = static_cast<std::size_t>(InWindow / LeastOfOneHost);
  const std::size_t Senders = std::min(Overall.Hosts, MostSenders);
  if (Reachable.Rank >= MostSharing || Overall.Rank >= Senders)
    return 0;
  const std::size_t Sharing = std::min(Reachable.Hosts, MostSharing);
  return std::min(Total / static_cast<double>(Sharing),
                  maxRate(InWindow, Senders));
}

} // namespace

bool ServerConstraints::setLimit(Instant Now, const ServerName &Server,
                                 std::optional<double> RequestsPerSecond) {
  if (!RequestsPerSecond)
    return Limits.erase(Server) > 0;
  const auto [Position, Added] = Limits.try_emplace(Server);
  NamedLimit &Limit = Position->second;
  if (Added)
    Limit.EarnedAt = Now;
  else
    earnTokens(Now, Server, Limit);
  const bool Changed = Added || Limit.RequestsPerSecond != *RequestsPerSecond;
  Limit.RequestsPerSecond = *RequestsPerSecond;
  Limit.NamedAt = Now;
  if (Changed)
    updateRate(Now, Server, Limit);
  return Changed;
}

void ServerConstraints::updateRate(Instant Now, const ServerName &Server,
                                   NamedLimit &Limit) {
  const double Total = std::max(Limit.RequestsPerSecond, MinRequestsPerSecond);
  Limit.Rate = computeRate(Total, FindPosition(Server));
  Limit.RateAt = Now;
}

void ServerConstraints::earnTokens(Instant Now, const ServerName &Server,
                                   NamedLimit &Limit) {
  const double MaxTokens = std::max(1.0, Limit.Rate * MaxBurstSeconds);
  const double Earned = Limit.Rate * toSeconds(Now - Limit.EarnedAt);
  Limit.Tokens = std::min(MaxTokens, Limit.Tokens + Earned);
  Limit.EarnedAt = Now;
  if (Now - Limit.RateAt >= RateLifetime)
    updateRate(Now, Server, Limit);
}

bool ServerConstraints::setLeaving(const ServerName &Server,
                                   std::uint64_t Incarnation) {
  if (LeavingIncarnations.size() >= MaxLeavingServers)
    LeavingIncarnations.erase(LeavingIncarnations.begin());
  const auto [Position, Added] =
      LeavingIncarnations.try_emplace(Server, Incarnation);
  const bool Changed = Added || Position->second != Incarnation;
  Position->second = Incarnation;
  return Changed;
}

void ServerConstraints::setQuiet(Instant Now, const ServerName &Server,
                                 Duration Length) {
  const auto Rank = static_cast<int>(FindPosition(Server).Reachable.Rank);
  const Duration Delay = std::min(ReturnInterval * Rank, MaxReturnDelay);
  Instant &Until = QuietUntil[Server];
  Until = std::max(Until, Now + Length + Delay);
}

void ServerConstraints::forget(const ServerName &Server) {
  Limits.erase(Server);
  QuietUntil.erase(Server);
}

bool ServerConstraints::isQuiet(Instant Now, const ServerName &Server) const {
  const auto Found = QuietUntil.find(Server);
  return Found != QuietUntil.end() && Found->second > Now;
}

std::size_t ServerConstraints::quietServers(Instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(QuietUntil.begin(), QuietUntil.end(),
                    [Now](const auto &Entry) { return Entry.second > Now; }));
}

const char *toString(SendBlock Value) {
  switch (Value) {
  case SendBlock::None:
    return "none";
  case SendBlock::Leaving:
    return "leaving";
  case SendBlock::Quiet:
    return "quiet";
  case SendBlock::OverLimit:
    return "over_limit";
  case SendBlock::Cold:
    return "cold";
  case SendBlock::OutsideRegions:
    return "outside_regions";
  }
  return "none";
}

SendBlock ServerConstraints::findBlock(Instant Now,
                                       const DiscoveredServer &Server) {
  const auto Leaving = LeavingIncarnations.find(Server.Id);
  if (Leaving != LeavingIncarnations.end() &&
      Leaving->second == Server.Incarnation)
    return SendBlock::Leaving;
  if (isQuiet(Now, Server.Id))
    return SendBlock::Quiet;
  if (limitAllowsAt(Now, Server.Id) > Now)
    return SendBlock::OverLimit;
  return ColdLimits.sendableAt(Now, Server) > Now ? SendBlock::Cold
                                                  : SendBlock::None;
}

Instant ServerConstraints::allowedAt(Instant Now,
                                     const DiscoveredServer &Server) {
  return std::max(limitAllowsAt(Now, Server.Id),
                  ColdLimits.sendableAt(Now, Server));
}

Instant ServerConstraints::sendableAt(Instant Now,
                                      const DiscoveredServer &Server) {
  switch (findBlock(Now, Server)) {
  case SendBlock::Leaving:
    return Instant::max();
  case SendBlock::Quiet:
    return std::max(QuietUntil.at(Server.Id), allowedAt(Now, Server));
  case SendBlock::OverLimit:
  case SendBlock::Cold:
    return allowedAt(Now, Server);
  case SendBlock::OutsideRegions:
  case SendBlock::None:
    break;
  }
  return Now;
}

Instant ServerConstraints::limitAllowsAt(Instant Now,
                                         const ServerName &Server) {
  const auto Found = Limits.find(Server);
  if (Found == Limits.end())
    return Now;
  NamedLimit &Limit = Found->second;
  earnTokens(Now, Server, Limit);
  if (Limit.Tokens >= 1)
    return Now;
  if (Limit.Rate == 0)
    return Instant::max();
  constexpr Duration Second = std::chrono::seconds(1);
  // At least one tick of the clock, so that the time of a timer moves on.
  return Now + Duration(1) + scaled(Second, (1 - Limit.Tokens) / Limit.Rate);
}

void ServerConstraints::recordSend(Instant Now, const ServerName &Server) {
  ColdLimits.recordSend(Now, Server);
  const auto Found = Limits.find(Server);
  if (Found == Limits.end())
    return;
  earnTokens(Now, Server, Found->second);
  Found->second.Tokens -= 1;
}

bool ServerConstraints::needsRefresh(Instant Now,
                                     const ServerName &Server) const {
  const auto Found = Limits.find(Server);
  return Found != Limits.end() && Now - Found->second.NamedAt > RefreshInterval;
}

} // namespace mimosacart
