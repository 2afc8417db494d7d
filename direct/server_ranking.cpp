#include "direct/server_ranking.h"

#include "core/median.h"

#include <algorithm>

namespace mimosacart {

std::vector<RankedServer>
ServerRanking::rank(Instant Now,
                    const std::vector<const DiscoveredServer *> &Servers,
                    const ServerLoadTable &ServerLoads, Duration Baseline) {
  static const ServerLoadState UnknownState;
  const auto FindState = [&ServerLoads](
      const DiscoveredServer *Server) -> auto & {
    const ServerLoadState *State = ServerLoads.find(Server->Id);
    return State ? *State : UnknownState;
  };
  std::vector<double> FailureScores;
  FailureScores.reserve(Servers.size());
  for (const DiscoveredServer *Server : Servers)
    FailureScores.push_back(
        ServerLoadTable::computeFailureScore(Now, FindState(Server)));
  const double CommonFailures = lowerMedian(std::move(FailureScores));
  std::vector<RankedServer> Result;
  Result.reserve(Servers.size());
  for (const DiscoveredServer *Server : Servers)
    Result.push_back(
        assess(Now, *Server, FindState(Server), Baseline, CommonFailures));
  std::shuffle(Result.begin(), Result.end(), Random);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const RankedServer &Left, const RankedServer &Right) {
                     return Left.Cost < Right.Cost;
                   });
  return Result;
}

RankedServer ServerRanking::assess(Instant Now, const DiscoveredServer &Server,
                                   const ServerLoadState &State,
                                   Duration Baseline,
                                   double CommonFailures) const {
  RankedServer Result;
  Result.Server = &Server;
  const Duration Age = Now - State.LoadUpdatedAt;
  const bool LoadUsable = State.Load && Age <= Policy.MaxUsableLoadAge;
  if (State.Load)
    Result.LoadAge = Age;
  // Probing a server that does not report its load would yield nothing.
  const bool ReportsNoLoad =
      State.ReportsLoad.has_value() && !*State.ReportsLoad;
  Result.HasFreshLoad =
      ReportsNoLoad || (State.Load && Age <= Policy.MaxFreshLoadAge);
  Result.HasRecentLoad =
      ReportsNoLoad || (State.Load && Age <= Policy.MaxRecentLoadAge);
  double Factor = Policy.UnknownLoadFactor;
  if (ReportsNoLoad)
    Factor = 1;
  else if (LoadUsable)
    Factor = static_cast<double>(State.Load->SlownessPercent) /
             NominalSlownessPercent;
  const unsigned Slots = std::max(1U, Server.Slots);
  // The calls of other hosts are known only from the reported load.
  unsigned RequestsAtServer = State.InFlight;
  if (LoadUsable)
    RequestsAtServer =
        std::max(RequestsAtServer, State.Load->Running + State.Load->Waiting +
                                       State.StartedSinceLoad);
  const bool Saturated =
      RequestsAtServer + 1 > Policy.SaturationShare * Slots && Slots > 2;
  if (Saturated)
    Factor *= Policy.SaturationFactor;
  if (Now < State.WarmUpEndsAt)
    Factor *= Policy.WarmUpFactor;
  // A request to a full server waits for a slot, longer behind others.
  if (RequestsAtServer >= Slots)
    Factor *= 1 + static_cast<double>(RequestsAtServer - Slots + 1) / Slots;
  // Failures that most servers share are no reason to avoid this one.
  const double ExcessFailures = std::max(
      0.0, ServerLoadTable::computeFailureScore(Now, State) - CommonFailures);
  Result.HasFreeSlot = RequestsAtServer < Slots;
  Result.HasHeadroom = Result.HasFreeSlot && !Saturated;
  Result.IsNominal =
      (LoadUsable || ReportsNoLoad) && Factor <= Policy.MaxNominalFactor &&
      RequestsAtServer < Slots && ExcessFailures < 0.5 && !State.Unhealthy;
  Result.LatencyFactor = Factor;
  Result.ExpectedLatency = scaled(Baseline, Factor);
  Result.Cost =
      Result.ExpectedLatency + scaled(Policy.FailureCost, ExcessFailures);
  if (Server.DataCentre != DataCentre)
    Result.Cost += scaled(Baseline, Policy.OtherDataCentreFactor);
  if (State.Unhealthy)
    Result.Cost += Policy.UnhealthyCost;
  return Result;
}

} // namespace mimosacart
