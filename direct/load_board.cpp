#include "direct/load_board.h"

#include <cmath>

namespace mimosacart {

namespace {

constexpr Duration FailureHalfLife = std::chrono::milliseconds(2500);
constexpr double MaxFailureScore = 8;

} // namespace

void LoadBoard::reset(Instant Now, const DiscoveredServer &Server) {
  ServerKnowledge &Of = Known[Server.Id];
  // Calls to the earlier incarnation still have to be counted off.
  const unsigned InFlight = Of.InFlight;
  Of = ServerKnowledge();
  Of.InFlight = InFlight;
  Of.WarmAt = Now + Server.WarmUpLeft;
}

void LoadBoard::forget(const ServerName &Server) { Known.erase(Server); }

void LoadBoard::noteStart(const ServerName &Server) {
  ServerKnowledge &Of = Known[Server];
  ++Of.InFlight;
  ++Of.StartedSince;
}

void LoadBoard::noteEnd(const ServerName &Server) {
  const auto Found = Known.find(Server);
  if (Found != Known.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void LoadBoard::noteFigures(Instant Now, const ServerName &Server,
                            const std::optional<LoadFigures> &Figures) {
  const auto Found = Known.find(Server);
  if (Found == Known.end())
    return;
  ServerKnowledge &Of = Found->second;
  // A spoilt answer of a server that told its load before says nothing.
  if (Figures || !Of.Figures)
    Of.TellsLoad = Figures.has_value();
  if (!Figures)
    return;
  Of.Figures = Figures;
  Of.FiguresAt = Now;
  Of.StartedSince = 0;
}

void LoadBoard::noteHealth(const ServerName &Server, bool Healthy) {
  const auto Found = Known.find(Server);
  if (Found != Known.end())
    Found->second.Unhealthy = !Healthy;
}

void LoadBoard::noteFailure(Instant Now, const ServerName &Server,
                            double Weight) {
  const auto Found = Known.find(Server);
  if (Found == Known.end())
    return;
  ServerKnowledge &Of = Found->second;
  Of.FailureScore = std::min(MaxFailureScore, failures(Now, Of) + Weight);
  Of.FailureAt = Now;
}

const ServerKnowledge *LoadBoard::find(const ServerName &Server) const {
  const auto Found = Known.find(Server);
  return Found == Known.end() ? nullptr : &Found->second;
}

double LoadBoard::failures(Instant Now, const ServerKnowledge &Of) {
  if (Of.FailureScore == 0)
    return 0;
  const double HalfLives =
      toSeconds(Now - Of.FailureAt) / toSeconds(FailureHalfLife);
  return Of.FailureScore * std::exp2(-HalfLives);
}

} // namespace mimosacart
