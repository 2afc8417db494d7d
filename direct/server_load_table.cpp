#include "direct/server_load_table.h"

#include <cmath>

namespace mimosacart {

namespace {

constexpr Duration FailureHalfLife = std::chrono::milliseconds(2500);
constexpr double MaxFailureScore = 8;

} // namespace

void ServerLoadTable::reset(Instant Now, const DiscoveredServer &Server) {
  ServerLoadState &Of = Known[Server.Id];
  // Calls to the earlier incarnation still have to be counted off.
  const unsigned InFlight = Of.InFlight;
  Of = ServerLoadState();
  Of.InFlight = InFlight;
  Of.WarmAt = Now + Server.WarmUpLeft;
}

void ServerLoadTable::forget(const ServerName &Server) { Known.erase(Server); }

void ServerLoadTable::recordStart(const ServerName &Server) {
  ServerLoadState &Of = Known[Server];
  ++Of.InFlight;
  ++Of.StartedSince;
}

void ServerLoadTable::recordEnd(const ServerName &Server) {
  const auto Found = Known.find(Server);
  if (Found != Known.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void ServerLoadTable::recordLoad(Instant Now, const ServerName &Server,
                                 const std::optional<ServerLoad> &Load) {
  const auto Found = Known.find(Server);
  if (Found == Known.end())
    return;
  ServerLoadState &Of = Found->second;
  // A spoilt answer of a server that told its load before says nothing.
  if (Load || !Of.Load)
    Of.ReportsLoad = Load.has_value();
  if (!Load)
    return;
  Of.Load = Load;
  Of.LoadUpdatedAt = Now;
  Of.StartedSince = 0;
}

void ServerLoadTable::recordHealth(const ServerName &Server, bool Healthy) {
  const auto Found = Known.find(Server);
  if (Found != Known.end())
    Found->second.Unhealthy = !Healthy;
}

void ServerLoadTable::recordFailure(Instant Now, const ServerName &Server,
                                    double Weight) {
  const auto Found = Known.find(Server);
  if (Found == Known.end())
    return;
  ServerLoadState &Of = Found->second;
  Of.FailureScore = std::min(MaxFailureScore, failures(Now, Of) + Weight);
  Of.FailureAt = Now;
}

const ServerLoadState *ServerLoadTable::find(const ServerName &Server) const {
  const auto Found = Known.find(Server);
  return Found == Known.end() ? nullptr : &Found->second;
}

double ServerLoadTable::failures(Instant Now, const ServerLoadState &Of) {
  if (Of.FailureScore == 0)
    return 0;
  const double HalfLives =
      toSeconds(Now - Of.FailureAt) / toSeconds(FailureHalfLife);
  return Of.FailureScore * std::exp2(-HalfLives);
}

} // namespace mimosacart
