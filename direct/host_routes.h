/// \file
/// Finds the route of a request by its host and longest path prefix.
#pragma once

#include "direct/route_configuration.h"

#include <string_view>
#include <unordered_map>

namespace mimosacart {

/// Index over the routes of one configuration, which it keeps alive.
class HostRoutes {
public:
  explicit HostRoutes(RouteConfigurationPtr Configuration);

  /// The route with the longest prefix that begins \p Target; null if none
  /// does. \p Host may carry a port, \p Target a query.
  const HostRoute *find(std::string_view Host, std::string_view Target) const;

private:
  using ByPrefix = std::unordered_map<std::string_view, const HostRoute *>;

  RouteConfigurationPtr Configuration;
  std::unordered_map<std::string, ByPrefix> ByHost;
};

} // namespace mimosacart
