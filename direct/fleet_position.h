/// \file
/// Where a host stands among the hosts that share limits of servers.
#pragma once

#include "core/ids.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace mimosacart {

/// Position of a host among some hosts, in the order in which they get shares
/// of a server's limit. The order differs from server to server and is equal on
/// all hosts that know of the same hosts.
struct HostPosition {
  std::size_t Rank = 0;
  std::size_t Hosts = 1;

  friend bool operator==(const HostPosition &, const HostPosition &) = default;
};

/// Where a host stands among the others.
struct FleetPosition {
  /// Among the hosts that can be reached now.
  HostPosition Reachable;
  /// Among all hosts that may be at work, reachable or not; nothing as long as
  /// these are not known.
  std::optional<HostPosition> Overall;

  friend bool operator==(const FleetPosition &,
                         const FleetPosition &) = default;
};

/// Returns where this host stands in the order of a server.
using PositionHook = std::function<FleetPosition(const ServerName &)>;

} // namespace mimosacart
