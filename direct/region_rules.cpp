#include "direct/region_rules.h"

namespace mimosacart {

DataCentreSet findDataCentres(const RegionMap &Regions,
                              const std::set<std::string> &OfRoute,
                              const std::set<std::string> &OfWorkspace) {
  if (OfRoute.empty() && OfWorkspace.empty())
    return std::nullopt;
  const auto Allows = [](const std::set<std::string> &Allowed,
                         const std::string &Region) {
    return Allowed.empty() || Allowed.contains(Region);
  };
  DataCentreSet Result(std::in_place);
  for (const auto &[DataCentre, Region] : Regions)
    if (Allows(OfRoute, Region) && Allows(OfWorkspace, Region))
      Result->insert(DataCentre);
  return Result;
}

} // namespace mimosacart
