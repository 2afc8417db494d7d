/// \file
/// What this host knows of the load and the failures of each server.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "direct/server_messages.h"

#include <map>
#include <optional>

namespace mimosacart {

/// Knowledge of one server, each part with its age.
struct ServerKnowledge {
  /// Calls of this host that have not ended.
  unsigned InFlight = 0;
  /// Latest figures of the server.
  std::optional<LoadFigures> Figures;
  Instant FiguresAt{};
  /// Calls of this host that began after the figures were made.
  unsigned StartedSince = 0;
  /// The latest probe said that the server is unhealthy.
  bool Unhealthy = false;
  /// Failures, each counting less as it ages; see LoadBoard::failures().
  double FailureScore = 0;
  Instant FailureAt{};
  /// The server is slow after its start until then.
  Instant WarmAt{};
  /// Answers with load figures were seen or none were, once known.
  std::optional<bool> TellsLoad;
};

/// Knowledge by server. Entries live as long as the server's incarnation.
class LoadBoard {
public:
  /// A server joined or began another life: what was known is void.
  void reset(Instant Now, const DiscoveredServer &Server);
  void forget(const ServerName &Server);

  void noteStart(const ServerName &Server);
  void noteEnd(const ServerName &Server);
  void noteFigures(Instant Now, const ServerName &Server,
                   const std::optional<LoadFigures> &Figures);
  void noteHealth(const ServerName &Server, bool Healthy);
  /// \p Weight is 1 for a request that failed, less for weaker signs.
  void noteFailure(Instant Now, const ServerName &Server, double Weight);

  /// Null for a server that is not known.
  const ServerKnowledge *find(const ServerName &Server) const;
  /// Failures as of \p Now; halved every few seconds.
  static double failures(Instant Now, const ServerKnowledge &Of);

private:
  std::map<ServerName, ServerKnowledge> Known;
};

} // namespace mimosacart
