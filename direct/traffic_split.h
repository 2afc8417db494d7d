/// \file
/// Spreads the requests of a route over its services by their weights.
#pragma once

#include "direct/route_configuration.h"

#include <map>
#include <string>

namespace mimosacart {

/// Smooth weighted round robin: in any stretch of requests, each service gets
/// its share to within one request.
class TrafficSplit {
public:
  /// The service that takes the next request of \p Route.
  ServiceName next(const HostRoute &Route);

private:
  struct State {
    std::vector<WeightedService> Services;
    std::vector<double> Credit;
  };

  std::map<std::string, State> States;
};

} // namespace mimosacart
