#include "direct/cold_servers.h"

#include <algorithm>
#include <cmath>

namespace mimosacart {

namespace {

/// Each slot is used at most once in this time. Longer than the second of the
/// bound, so that requests whose ways to the server take unequally long keep it
/// there, too.
constexpr double WindowSeconds = 1.1;
/// Highest rate of one slot, just below one request a window.
constexpr double MaxSlotRate = 0.9;
/// Part of what the bound allows above the limit that becomes slots. The rest
/// is left for hosts that others do not know of yet.
constexpr double SpareSlotShare = 0.5;
/// Time for which unused requests are kept, but one is always kept.
constexpr double MaxBurstSeconds = 0.2;
/// How often a host's part is computed from the hosts that are there.
constexpr Duration RateLifetime = std::chrono::milliseconds(500);
/// Number of servers from which on those that are no longer cold are dropped
/// when one is added.
constexpr std::size_t MaxKeptServers = 4096;

struct ColdShare {
  double Rate = 0;
  double MaxTokens = 0;
};

/// Returns the slots of all hosts: whole requests in a second.
double countSlots(double Limit, const ColdServerPolicy &Policy) {
  const double Bound = Limit * Policy.Overrun + Policy.Slack;
  const double Spare = std::max(0.0, Bound - Limit) * SpareSlotShare;
  return std::floor(std::min(Bound, std::max(1.0, Limit + Spare)));
}

ColdShare computeShare(double Limit, const ColdServerPolicy &Policy,
                       const FleetPosition &Position) {
  if (!Position.Overall)
    return {};
  const double Slots = countSlots(Limit, Policy);
  const auto Rank = static_cast<double>(Position.Overall->Rank);
  const auto Hosts = static_cast<double>(Position.Overall->Hosts);
  if (Rank >= Slots)
    return {};
  const double Own = std::ceil((Slots - Rank) / Hosts);
  const double ReachablePart =
      std::min(1.0, static_cast<double>(Position.Reachable.Hosts) / Hosts);
  const double SlotsInUse = std::max(Own, Slots * ReachablePart);
  ColdShare Result;
  Result.Rate = std::min(MaxSlotRate * Own, Limit * Own / SlotsInUse);
  // MaxTokens + WindowSeconds * Rate stays below Own + 1, so that no window
  // holds more than Own requests.
  Result.MaxTokens =
      std::max(1.0, std::min(MaxBurstSeconds * Result.Rate,
                             Own + MaxSlotRate - WindowSeconds * Result.Rate));
  return Result;
}

} // namespace

void ColdServers::setLimits(LimitMap NewLimits) {
  Limits = std::move(NewLimits);
  for (auto &[Id, Server] : Servers)
    Server.RateAt = Instant();
}

const double *ColdServers::findLimit(const ServiceName &Service) const {
  const auto Found = Limits.find(Service);
  return Found == Limits.end() ? nullptr : &Found->second;
}

std::optional<double> ColdServers::setWarmUp(Instant Now,
                                             const DiscoveredServer &Server,
                                             Duration Left) {
  if (Left <= Duration::zero())
    return std::nullopt;
  if (Servers.size() >= MaxKeptServers)
    std::erase_if(Servers, [Now](const auto &Entry) {
      return Entry.second.Until <= Now;
    });
  ColdServer &State = Servers[Server.Id];
  const bool IsSame = State.Incarnation == Server.Incarnation &&
                      State.Service == Server.Service && State.Until > Now;
  if (!IsSame) {
    State = ColdServer();
    State.Service = Server.Service;
    State.Incarnation = Server.Incarnation;
    State.EarnedAt = Now;
  }
  State.Until = std::max(State.Until, Now + Left);
  const double *Limit = findLimit(Server.Service);
  return IsSame || Limit == nullptr ? std::nullopt : std::optional(*Limit);
}

/// A host that had no part begins without tokens. Another host that had it
/// before then sends no more in the same window.
void ColdServers::earnTokens(Instant Now, const ServerName &Id,
                             ColdServer &Server, double Limit) {
  const double Earned = Server.Rate * toSeconds(Now - Server.EarnedAt);
  Server.Tokens = std::min(Server.MaxTokens, Server.Tokens + Earned);
  Server.EarnedAt = Now;
  if (Now - Server.RateAt < RateLifetime)
    return;
  const ColdShare Share = computeShare(Limit, Policy, FindPosition(Id));
  Server.Rate = Share.Rate;
  Server.MaxTokens = Share.MaxTokens;
  Server.Tokens = std::min(Server.Tokens, Share.MaxTokens);
  Server.RateAt = Now;
}

Instant ColdServers::sendableAt(Instant Now, const DiscoveredServer &Server) {
  const auto Found = Servers.find(Server.Id);
  if (Found == Servers.end())
    return Now;
  ColdServer &State = Found->second;
  const double *Limit = findLimit(State.Service);
  if (Limit == nullptr || State.Until <= Now ||
      State.Incarnation != Server.Incarnation)
    return Now;
  earnTokens(Now, Server.Id, State, *Limit);
  if (State.Tokens >= 1)
    return Now;
  if (State.Rate == 0)
    return Instant::max();
  constexpr Duration Second = std::chrono::seconds(1);
  // At least one tick of the clock, so that the time of a timer moves on.
  const Instant At =
      Now + Duration(1) + scaled(Second, (1 - State.Tokens) / State.Rate);
  return std::min(At, State.Until);
}

void ColdServers::recordSend(Instant Now, const ServerName &Server) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  ColdServer &State = Found->second;
  const double *Limit = findLimit(State.Service);
  if (Limit == nullptr || State.Until <= Now)
    return;
  earnTokens(Now, Server, State, *Limit);
  State.Tokens -= 1;
}

std::size_t ColdServers::count(Instant Now) const {
  return static_cast<std::size_t>(std::count_if(
      Servers.begin(), Servers.end(), [this, Now](const auto &Entry) {
        return Entry.second.Until > Now &&
               findLimit(Entry.second.Service) != nullptr;
      }));
}

} // namespace mimosacart
