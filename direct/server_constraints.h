/// \file
/// Why, and until when, this host must not send requests to a server.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "direct/cold_servers.h"
#include "direct/discovered_server.h"
#include "direct/fleet_position.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace mimosacart {

/// Why a server must not be sent a request now.
enum class SendBlock : std::uint8_t {
  None,
  /// The server is shutting down.
  Leaving,
  /// The server asked this host not to send for a while.
  Quiet,
  /// This host has used its part of the server's limit.
  OverLimit,
  /// This host has used its part of what the server takes while it is cold.
  Cold,
  /// The server is in none of the regions that may run the request.
  OutsideRegions
};

/// Returns the name of \p Value in logs.
const char *toString(SendBlock Value);

/// Keeps what servers ask for in their answers: no more requests at all, none
/// for a while, or a limit on the requests of all hosts together.
///
/// Hosts keep a limit without messages: each learns it from the server's
/// answers and takes an equal part. While a limit is low compared with the
/// number of hosts, only the first hosts in the server's order send to it, so
/// that single requests of many hosts do not exceed the limit together.
///
/// Parts go by the hosts that can be reached, so that others take over from
/// hosts that are gone. They are bounded by all hosts that may be at work, so
/// that hosts that cannot reach each other do not exceed the limit together.
class ServerConstraints {
public:
  using PositionHook = mimosacart::PositionHook;

  explicit ServerConstraints(PositionHook FindPosition,
                             ColdServerPolicy Policy = {})
      : FindPosition(FindPosition),
        ColdLimits(Policy, std::move(FindPosition)) {}

  /// Records the limit that the server names, in requests a second from all
  /// hosts together; nothing if it names none. Returns whether it changed.
  bool setLimit(Instant Now, const ServerName &Server,
                std::optional<double> RequestsPerSecond);
  /// Records that this incarnation of the server is shutting down, which is
  /// final. Returns whether that is news.
  bool setLeaving(const ServerName &Server, std::uint64_t Incarnation);
  /// Records that the server wants no requests of this host for \p Length.
  /// Hosts return one after another.
  void setQuiet(Instant Now, const ServerName &Server, Duration Length);
  /// Sets the requests a second that a cold server of each service takes from
  /// all hosts together. Cold servers of other services take any number.
  void setColdLimits(ColdServers::LimitMap Limits) {
    ColdLimits.setLimits(std::move(Limits));
  }
  /// Records that the server is cold for \p Left, see ColdServers.
  std::optional<double> setWarmUp(Instant Now, const DiscoveredServer &Server,
                                  Duration Left) {
    return ColdLimits.setWarmUp(Now, Server, Left);
  }
  /// Forgets what another incarnation of the server said, except that it
  /// leaves: its entry may come back late.
  void forget(const ServerName &Server);

  /// Returns when the next request may be sent to the server: \p Now or earlier
  /// if at once, Instant::max() if never or if this host has no share of its
  /// limit.
  Instant sendableAt(Instant Now, const DiscoveredServer &Server);
  /// Returns why sendableAt() is later than \p Now.
  SendBlock findBlock(Instant Now, const DiscoveredServer &Server);
  void recordSend(Instant Now, const ServerName &Server);
  /// Whether the server named its limit so long ago that it should be asked
  /// whether it still holds.
  bool needsRefresh(Instant Now, const ServerName &Server) const;
  bool isQuiet(Instant Now, const ServerName &Server) const;
  /// Number of servers whose limit is known.
  std::size_t limitedServers() const { return Limits.size(); }
  /// Number of servers that have said that they are leaving.
  std::size_t leavingServers() const { return LeavingIncarnations.size(); }
  /// Number of servers that want no requests of this host at \p Now.
  std::size_t quietServers(Instant Now) const;
  /// Number of servers that get few requests at \p Now because they are cold.
  std::size_t coldServers(Instant Now) const { return ColdLimits.count(Now); }

private:
  struct NamedLimit {
    double RequestsPerSecond = 0;
    Instant NamedAt{};
    /// This host's part of it, as of RateAt.
    double Rate = 0;
    Instant RateAt{};
    /// Requests that may be sent at once, as of EarnedAt; may be fractional.
    double Tokens = 0;
    Instant EarnedAt{};
  };

  /// When this host's parts of the server's own limit and of that of a cold
  /// server allow the next request.
  Instant allowedAt(Instant Now, const DiscoveredServer &Server);
  Instant limitAllowsAt(Instant Now, const ServerName &Server);
  void updateRate(Instant Now, const ServerName &Server, NamedLimit &Limit);
  void earnTokens(Instant Now, const ServerName &Server, NamedLimit &Limit);

  const PositionHook FindPosition;
  std::map<ServerName, NamedLimit> Limits;
  /// End of the time in which a server wants no requests of this host.
  std::map<ServerName, Instant> QuietUntil;
  /// Last incarnation of each server that has said that it is leaving.
  std::map<ServerName, std::uint64_t> LeavingIncarnations;
  ColdServers ColdLimits;
};

} // namespace mimosacart
