/// \file
/// Data centres whose servers may run a request, by the regions that its route
/// and its workspace bind it to.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

namespace mimosacart {

/// Region of each data centre.
using RegionMap = std::map<std::string, std::string>;

/// Names of data centres; not set if all are meant.
using DataCentreSet = std::optional<std::set<std::string>>;

/// Returns the data centres whose region is in both sets. An empty set stands
/// for all regions. A data centre of unknown region is in no set.
DataCentreSet findDataCentres(const RegionMap &Regions,
                              const std::set<std::string> &OfRoute,
                              const std::set<std::string> &OfWorkspace);

} // namespace mimosacart
