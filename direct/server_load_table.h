/// \file
/// Load and failures of each server, as this host has observed them.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "direct/discovered_server.h"

#include <map>
#include <optional>

namespace mimosacart {

/// Latest observed state of one server.
struct ServerLoadState {
  /// Calls of this host that have not ended.
  unsigned InFlight = 0;
  /// Latest load that the server has reported.
  std::optional<ServerLoad> Load;
  Instant LoadUpdatedAt{};
  /// Calls of this host that started after the load was received.
  unsigned StartedSinceLoad = 0;
  /// The latest answered probe reported the server as unhealthy.
  bool Unhealthy = false;
  /// Sum of failure weights as of FailureScoreAt; decays with time, see
  /// ServerLoadTable::computeFailureScore().
  double FailureScore = 0;
  Instant FailureScoreAt{};
  /// End of the slow phase after the server's start.
  Instant WarmUpEndsAt{};
  /// Whether the server's answers carry its load; not set before the first
  /// answer.
  std::optional<bool> ReportsLoad;
};

/// Load state by server. reset() starts a new entry for each incarnation of a
/// server.
class ServerLoadTable {
public:
  /// Discards the state of a server that joined or restarted, except for the
  /// number of calls in flight.
  void reset(Instant Now, const DiscoveredServer &Server);
  void forget(const ServerName &Server);

  void recordStart(const ServerName &Server);
  void recordEnd(const ServerName &Server);
  void recordLoad(Instant Now, const ServerName &Server,
                  const std::optional<ServerLoad> &Load);
  void recordHealth(const ServerName &Server, bool Healthy);
  /// Adds to the failure score. \p Weight is 1 for a failed request, and lower
  /// or higher for weaker or stronger signs of a fault.
  void recordFailure(Instant Now, const ServerName &Server, double Weight);

  /// Returns null for an unknown server.
  const ServerLoadState *find(const ServerName &Server) const;
  /// Returns the failure score as of \p Now; it halves every few seconds.
  static double computeFailureScore(Instant Now, const ServerLoadState &State);

private:
  std::map<ServerName, ServerLoadState> States;
};

} // namespace mimosacart
