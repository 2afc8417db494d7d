#include "direct/traffic_split.h"

#include <algorithm>

namespace mimosacart {

ServiceName TrafficSplit::next(const HostRoute &Route) {
  if (Route.Services.size() == 1)
    return Route.Services.front().Service;
  RouteState &State = States[Route.Name];
  if (State.Services != Route.Services)
    State = {Route.Services, std::vector<double>(Route.Services.size())};
  double TotalWeight = 0;
  for (std::size_t Index = 0; Index < State.Services.size(); ++Index) {
    State.Credits[Index] += State.Services[Index].Weight;
    TotalWeight += State.Services[Index].Weight;
  }
  const auto Selected =
      std::max_element(State.Credits.begin(), State.Credits.end());
  *Selected -= TotalWeight;
  return State
      .Services[static_cast<std::size_t>(Selected - State.Credits.begin())]
      .Service;
}

} // namespace mimosacart
