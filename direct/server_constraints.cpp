#include "direct/server_constraints.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Part of a limit that hosts use together; the rest is for hosts that disagree
/// on the size of the fleet.
constexpr double UsedShare = 0.9;
/// Number of hosts that share a limit near zero. One more host shares it for
/// each request a second.
constexpr std::size_t MinSharingHosts = 3;
/// Limit assumed for servers that name a lower one, in requests a second, so
/// that a server is not left alone for ever.
constexpr double MinRequestsPerSecond = 0.1;
/// Time for which unused requests are kept, but one is always kept.
constexpr double MaxBurstSeconds = 0.2;
/// How often a host's part is computed from the hosts that are there.
constexpr Duration RateLifetime = std::chrono::milliseconds(500);
/// A limit older than this is asked for again before the server is used.
constexpr Duration RefreshInterval = std::chrono::seconds(1);

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
  const HostPosition Position = FindPosition(Server);
  const double Total = std::max(Limit.RequestsPerSecond, MinRequestsPerSecond);
  const std::size_t Sharing = std::min(
      Position.Hosts, MinSharingHosts + static_cast<std::size_t>(Total));
  const bool HasShare = Position.Rank < Sharing;
  Limit.Rate = HasShare ? UsedShare * Total / static_cast<double>(Sharing) : 0;
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

Instant ServerConstraints::sendableAt(Instant Now, const ServerName &Server) {
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
