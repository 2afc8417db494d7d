/// \file
/// Distributes the requests of a route over its services by weight.
#pragma once

#include "direct/route_configuration.h"

#include <map>
#include <string>

namespace mimosacart {

/// Smooth weighted round robin: in any sequence of consecutive requests, each
/// service gets its share to within one request.
class TrafficSplit {
public:
  /// Returns the service for the next request of \p Route.
  ServiceName next(const HostRoute &Route);

private:
  struct RouteState {
    std::vector<WeightedService> Services;
    /// Credit of each service; the one with the most gets the next request.
    std::vector<double> Credits;
  };

  std::map<std::string, RouteState> States;
};

} // namespace mimosacart
