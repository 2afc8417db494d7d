/// \file
/// What this host knows of the load and the failures of each server.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "direct/discovered_server.h"

#include <map>
#include <optional>

namespace mimosacart {

/// Knowledge of one server, each part with its age.
struct ServerLoadState {
  /// Calls of this host that have not ended.
  unsigned InFlight = 0;
  /// Latest figures of the server.
  std::optional<ServerLoad> Load;
  Instant LoadUpdatedAt{};
  /// Calls of this host that began after the figures were made.
  unsigned StartedSince = 0;
  /// The latest probe said that the server is unhealthy.
  bool Unhealthy = false;
  /// Failures, each counting less as it ages; see ServerLoadTable::failures().
  double FailureScore = 0;
  Instant FailureAt{};
  /// The server is slow after its start until then.
  Instant WarmAt{};
  /// Answers with load figures were seen or none were, once known.
  std::optional<bool> ReportsLoad;
};

/// Knowledge by server. Entries live as long as the server's incarnation.
class ServerLoadTable {
public:
  /// A server joined or began another life: what was known is void.
  void reset(Instant Now, const DiscoveredServer &Server);
  void forget(const ServerName &Server);

  void recordStart(const ServerName &Server);
  void recordEnd(const ServerName &Server);
  void recordLoad(Instant Now, const ServerName &Server,
                  const std::optional<ServerLoad> &Load);
  void recordHealth(const ServerName &Server, bool Healthy);
  /// \p Weight is 1 for a request that failed, less for weaker signs.
  void recordFailure(Instant Now, const ServerName &Server, double Weight);

  /// Null for a server that is not known.
  const ServerLoadState *find(const ServerName &Server) const;
  /// Failures as of \p Now; halved every few seconds.
  static double failures(Instant Now, const ServerLoadState &Of);

private:
  std::map<ServerName, ServerLoadState> Known;
};

} // namespace mimosacart
