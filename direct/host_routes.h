/// \file
/// Finds the route of a request by its host and longest path prefix.
#pragma once

#include "direct/route_configuration.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mimosacart {

/// Index of the routes of one configuration, which it shares ownership of.
class HostRoutes {
public:
  explicit HostRoutes(RouteConfigurationPtr Configuration);

  /// Returns the route for \p Host with the longest prefix of the path in
  /// \p Target; null if there is none. \p Host may contain a port, \p Target a
  /// query.
  const HostRoute *find(std::string_view Host, std::string_view Target) const;
  /// Returns the regions that routes of \p Host name; empty if there is no
  /// route or if one of them may be served in any region.
  std::set<std::string> findRegions(std::string_view Host) const;

private:
  using RoutesByPrefix =
      std::unordered_map<std::string_view, const HostRoute *>;

  RouteConfigurationPtr Configuration;
  std::unordered_map<std::string, RoutesByPrefix> RoutesByHost;
};

} // namespace mimosacart
