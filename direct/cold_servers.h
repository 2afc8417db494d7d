/// \file
/// Requests that this host may send to servers that have just started.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "direct/discovered_server.h"
#include "direct/fleet_position.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace mimosacart {

/// Bound on the requests of all hosts to a cold server: in any second at most
/// those that its service names, times Overrun, plus Slack.
struct ColdServerPolicy {
  double Overrun = 1;
  double Slack = 0;
};

/// Keeps the limit of each cold server, which all hosts share.
///
/// The whole requests that the bound allows in a second are slots. Hosts take
/// them in the server's order of all hosts that may be at work, so that no slot
/// has two holders, whichever hosts reach each other. The rate of the slots
/// follows from the hosts that can be reached, so that others send what hosts
/// that are gone do not.
class ColdServers {
public:
  /// Requests a second that a cold server takes, by its service.
  using LimitMap = std::map<ServiceName, double>;

  ColdServers(ColdServerPolicy Policy, PositionHook FindPosition)
      : Policy(Policy), FindPosition(std::move(FindPosition)) {}

  /// Replaces the limits. Cold servers of other services take any number.
  void setLimits(LimitMap NewLimits);
  /// Records that this incarnation of the server is cold for \p Left. What was
  /// said before is only ever extended, as an older statement may come later.
  /// Returns the server's limit if it was not cold before and has one.
  std::optional<double> setWarmUp(Instant Now, const DiscoveredServer &Server,
                                  Duration Left);
  /// Returns when the next request may be sent to the server: \p Now if at
  /// once, Instant::max() if this host has no part of its limit.
  Instant sendableAt(Instant Now, const DiscoveredServer &Server);
  void recordSend(Instant Now, const ServerName &Server);
  /// Number of servers that are cold at \p Now and have a limit.
  std::size_t count(Instant Now) const;

private:
  struct ColdServer {
    ServiceName Service;
    std::uint64_t Incarnation = 0;
    Instant Until{};
    /// This host's part of the limit, as of RateAt.
    double Rate = 0;
    Instant RateAt{};
    /// Requests that may be sent at once, as of EarnedAt; may be fractional.
    double Tokens = 1;
    double MaxTokens = 1;
    Instant EarnedAt{};
  };

  /// Returns the limit of the service; null if it has none.
  const double *findLimit(const ServiceName &Service) const;
  void earnTokens(Instant Now, const ServerName &Id, ColdServer &Server,
                  double Limit);

  const ColdServerPolicy Policy;
  const PositionHook FindPosition;
  LimitMap Limits;
  std::map<ServerName, ColdServer> Servers;
};

} // namespace mimosacart
