#include "direct/traffic_split.h"

#include <algorithm>

namespace mimosacart {

ServiceName TrafficSplit::next(const HostRoute &Route) {
  if (Route.Services.size() == 1)
    return Route.Services.front().Service;
  State &Of = States[Route.Name];
  if (Of.Services != Route.Services)
    Of = {Route.Services, std::vector<double>(Route.Services.size())};
  double Sum = 0;
  for (std::size_t Index = 0; Index < Of.Services.size(); ++Index) {
    Of.Credit[Index] += Of.Services[Index].Weight;
    Sum += Of.Services[Index].Weight;
  }
  const auto Richest = std::max_element(Of.Credit.begin(), Of.Credit.end());
  *Richest -= Sum;
  return Of.Services[static_cast<std::size_t>(Richest - Of.Credit.begin())]
      .Service;
}

} // namespace mimosacart
