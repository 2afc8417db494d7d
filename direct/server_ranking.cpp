#include "direct/server_ranking.h"

#include "core/median.h"

#include <algorithm>

namespace mimosacart {

std::vector<RankedServer>
ServerRanking::rank(Instant Now,
                    const std::vector<const DiscoveredServer *> &Servers,
                    const LoadBoard &Board, Duration Usual) {
  static const ServerKnowledge Nothing;
  const auto KnowledgeOf = [&Board](const DiscoveredServer *Server) -> auto & {
    const ServerKnowledge *Of = Board.find(Server->Id);
    return Of ? *Of : Nothing;
  };
  std::vector<double> Failures;
  Failures.reserve(Servers.size());
  for (const DiscoveredServer *Server : Servers)
    Failures.push_back(LoadBoard::failures(Now, KnowledgeOf(Server)));
  const double Common = lowerMedian(std::move(Failures));
  std::vector<RankedServer> Result;
  Result.reserve(Servers.size());
  for (const DiscoveredServer *Server : Servers)
    Result.push_back(judge(Now, *Server, KnowledgeOf(Server), Usual, Common));
  std::shuffle(Result.begin(), Result.end(), Random);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const RankedServer &Left, const RankedServer &Right) {
                     return Left.Cost < Right.Cost;
                   });
  return Result;
}

RankedServer ServerRanking::judge(Instant Now, const DiscoveredServer &Server,
                                  const ServerKnowledge &Of, Duration Usual,
                                  double Common) const {
  RankedServer Result;
  Result.Server = &Server;
  const Duration Age = Now - Of.FiguresAt;
  const bool Known = Of.Figures && Age <= Policy.StaleAfter;
  if (Of.Figures)
    Result.FiguresAge = Age;
  // Nothing is learnt by asking a server that does not tell its load.
  const bool Silent = Of.TellsLoad.has_value() && !*Of.TellsLoad;
  Result.Fresh = Silent || (Of.Figures && Age <= Policy.FreshFor);
  Result.Recent = Silent || (Of.Figures && Age <= Policy.RecentFor);
  double Factor = Policy.UnknownFactor;
  if (Silent)
    Factor = 1;
  else if (Known)
    Factor =
        static_cast<double>(Of.Figures->SlownessPercent) / UsualSlownessPercent;
  const unsigned Slots = std::max(1U, Server.Slots);
  unsigned Busy = Of.InFlight;
  if (Known)
    Busy = std::max(Busy, Of.Figures->Running + Of.Figures->Waiting +
                              Of.StartedSince);
  const bool BeyondKnee = Busy + 1 > Policy.KneeShare * Slots && Slots > 2;
  if (BeyondKnee)
    Factor *= Policy.KneeFactor;
  if (Now < Of.WarmAt)
    Factor *= Policy.WarmUpFactor;
  if (Busy >= Slots)
    Factor *= 1 + static_cast<double>(Busy - Slots + 1) / Slots;
  // What fails everywhere is no reason to look for another server.
  const double Failures = std::max(0.0, LoadBoard::failures(Now, Of) - Common);
  Result.Idle = Busy < Slots;
  Result.Roomy = Result.Idle && !BeyondKnee;
  Result.Good = (Known || Silent) && Factor <= Policy.GoodFactor &&
                Busy < Slots && Failures < 0.5 && !Of.Unhealthy;
  Result.Factor = Factor;
  Result.Expected = scaled(Usual, Factor);
  Result.Cost = Result.Expected + scaled(Policy.FailureCost, Failures);
  if (Server.DataCentre != DataCentre)
    Result.Cost += scaled(Usual, Policy.DistanceFactor);
  if (Of.Unhealthy)
    Result.Cost += Policy.UnhealthyCost;
  return Result;
}

} // namespace mimosacart
