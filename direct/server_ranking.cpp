#include "direct/server_ranking.h"

#include "core/median.h"

#include <algorithm>

namespace mimosacart {

std::vector<RankedServer>
ServerRanking::rank(Instant Now,
                    const std::vector<const DiscoveredServer *> &Servers,
                    const ServerLoadTable &ServerLoads, Duration Baseline) {
  static const ServerLoadState Nothing;
  const auto LoadStateOf = [&ServerLoads](
      const DiscoveredServer *Server) -> auto & {
    const ServerLoadState *Of = ServerLoads.find(Server->Id);
    return Of ? *Of : Nothing;
  };
  std::vector<double> Failures;
  Failures.reserve(Servers.size());
  for (const DiscoveredServer *Server : Servers)
    Failures.push_back(ServerLoadTable::failures(Now, LoadStateOf(Server)));
  const double Common = lowerMedian(std::move(Failures));
  std::vector<RankedServer> Result;
  Result.reserve(Servers.size());
  for (const DiscoveredServer *Server : Servers)
    Result.push_back(
        judge(Now, *Server, LoadStateOf(Server), Baseline, Common));
  std::shuffle(Result.begin(), Result.end(), Random);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const RankedServer &Left, const RankedServer &Right) {
                     return Left.Cost < Right.Cost;
                   });
  return Result;
}

RankedServer ServerRanking::judge(Instant Now, const DiscoveredServer &Server,
                                  const ServerLoadState &Of, Duration Baseline,
                                  double Common) const {
  RankedServer Result;
  Result.Server = &Server;
  const Duration Age = Now - Of.LoadUpdatedAt;
  const bool Known = Of.Load && Age <= Policy.StaleAfter;
  if (Of.Load)
    Result.LoadAge = Age;
  // Nothing is learnt by asking a server that does not tell its load.
  const bool Silent = Of.ReportsLoad.has_value() && !*Of.ReportsLoad;
  Result.Fresh = Silent || (Of.Load && Age <= Policy.FreshFor);
  Result.Recent = Silent || (Of.Load && Age <= Policy.RecentFor);
  double Factor = Policy.UnknownFactor;
  if (Silent)
    Factor = 1;
  else if (Known)
    Factor =
        static_cast<double>(Of.Load->SlownessPercent) / NominalSlownessPercent;
  const unsigned Slots = std::max(1U, Server.Slots);
  unsigned Busy = Of.InFlight;
  if (Known)
    Busy =
        std::max(Busy, Of.Load->Running + Of.Load->Waiting + Of.StartedSince);
  const bool BeyondKnee = Busy + 1 > Policy.KneeShare * Slots && Slots > 2;
  if (BeyondKnee)
    Factor *= Policy.KneeFactor;
  if (Now < Of.WarmAt)
    Factor *= Policy.WarmUpFactor;
  if (Busy >= Slots)
    Factor *= 1 + static_cast<double>(Busy - Slots + 1) / Slots;
  // What fails everywhere is no reason to look for another server.
  const double Failures =
      std::max(0.0, ServerLoadTable::failures(Now, Of) - Common);
  Result.Idle = Busy < Slots;
  Result.HasHeadroom = Result.Idle && !BeyondKnee;
  Result.Good = (Known || Silent) && Factor <= Policy.GoodFactor &&
                Busy < Slots && Failures < 0.5 && !Of.Unhealthy;
  Result.Factor = Factor;
  Result.Expected = scaled(Baseline, Factor);
  Result.Cost = Result.Expected + scaled(Policy.FailureCost, Failures);
  if (Server.DataCentre != DataCentre)
    Result.Cost += scaled(Baseline, Policy.DistanceFactor);
  if (Of.Unhealthy)
    Result.Cost += Policy.UnhealthyCost;
  return Result;
}

} // namespace mimosacart
