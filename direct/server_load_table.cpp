#include "direct/server_load_table.h"

#include <cmath>

namespace mimosacart {

namespace {

constexpr Duration FailureScoreHalfLife = std::chrono::milliseconds(2500);
constexpr double MaxFailureScore = 8;

} // namespace

void ServerLoadTable::reset(Instant Now, const DiscoveredServer &Server) {
  ServerLoadState &State = States[Server.Id];
  // Calls to the earlier incarnation are still open; recordEnd() follows.
  const unsigned InFlight = State.InFlight;
  State = ServerLoadState();
  State.InFlight = InFlight;
  State.WarmUpEndsAt = Now + Server.WarmUpLeft;
}

void ServerLoadTable::forget(const ServerName &Server) { States.erase(Server); }

void ServerLoadTable::recordStart(const ServerName &Server) {
  ServerLoadState &State = States[Server];
  ++State.InFlight;
  ++State.StartedSinceLoad;
}

void ServerLoadTable::recordEnd(const ServerName &Server) {
  const auto Found = States.find(Server);
  if (Found != States.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void ServerLoadTable::recordLoad(Instant Now, const ServerName &Server,
                                 const std::optional<ServerLoad> &Load) {
  const auto Found = States.find(Server);
  if (Found == States.end())
    return;
  ServerLoadState &State = Found->second;
  // A server that has reported its load before still does; one answer without
  // it is a damaged one.
  if (Load || !State.Load)
    State.ReportsLoad = Load.has_value();
  if (!Load)
    return;
  State.Load = Load;
  State.LoadUpdatedAt = Now;
  State.StartedSinceLoad = 0;
}

void ServerLoadTable::recordHealth(const ServerName &Server, bool Healthy) {
  const auto Found = States.find(Server);
  if (Found != States.end())
    Found->second.Unhealthy = !Healthy;
}

void ServerLoadTable::recordFailure(Instant Now, const ServerName &Server,
                                    double Weight) {
  const auto Found = States.find(Server);
  if (Found == States.end())
    return;
  ServerLoadState &State = Found->second;
  State.FailureScore =
      std::min(MaxFailureScore, computeFailureScore(Now, State) + Weight);
  State.FailureScoreAt = Now;
}

const ServerLoadState *ServerLoadTable::find(const ServerName &Server) const {
  const auto Found = States.find(Server);
  return Found == States.end() ? nullptr : &Found->second;
}

double ServerLoadTable::computeFailureScore(Instant Now,
                                            const ServerLoadState &State) {
  if (State.FailureScore == 0)
    return 0;
  const double HalfLives =
      toSeconds(Now - State.FailureScoreAt) / toSeconds(FailureScoreHalfLife);
  return State.FailureScore * std::exp2(-HalfLives);
}

} // namespace mimosacart
