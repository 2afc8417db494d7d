/// \file
/// Why, and until when, this host must not send requests to a server.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace mimosacart {

/// Position of a host in the order in which hosts get shares of a server's
/// limit; the order differs from server to server and is equal on all hosts
/// that know of the same hosts.
struct HostPosition {
  std::size_t Rank = 0;
  std::size_t Hosts = 1;

  friend bool operator==(const HostPosition &, const HostPosition &) = default;
};

/// Keeps the limits that servers name for the requests of all hosts together.
///
/// Hosts keep a limit without messages: each learns it from the server's
/// answers and takes an equal part. While a limit is low compared with the
/// number of hosts, only the first hosts in the server's order send to it, so
/// that single requests of many hosts do not exceed the limit together.
class ServerConstraints {
public:
  using PositionHook = std::function<HostPosition(const ServerName &)>;

  explicit ServerConstraints(PositionHook FindPosition)
      : FindPosition(std::move(FindPosition)) {}

  /// Records the limit that the server names, in requests a second from all
  /// hosts together; nothing if it names none. Returns whether it changed.
  bool setLimit(Instant Now, const ServerName &Server,
                std::optional<double> RequestsPerSecond);
  /// Forgets what another incarnation of the server said.
  void forget(const ServerName &Server) { Limits.erase(Server); }

  /// Returns when the next request may be sent to the server: \p Now or earlier
  /// if at once, Instant::max() if this host has no share of its limit.
  Instant sendableAt(Instant Now, const ServerName &Server);
  void recordSend(Instant Now, const ServerName &Server);
  /// Whether the server named its limit so long ago that it should be asked
  /// whether it still holds.
  bool needsRefresh(Instant Now, const ServerName &Server) const;
  /// Number of servers whose limit is known.
  std::size_t limitedServers() const { return Limits.size(); }

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

  void updateRate(Instant Now, const ServerName &Server, NamedLimit &Limit);
  void earnTokens(Instant Now, const ServerName &Server, NamedLimit &Limit);

  const PositionHook FindPosition;
  std::map<ServerName, NamedLimit> Limits;
};

} // namespace mimosacart
