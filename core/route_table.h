/// \file
/// Finds the kind of a request from its method and path.
#pragma once

#include "core/configuration.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// Where a request belongs within a configuration.
struct Route {
  std::size_t ServiceIndex = 0;
  std::size_t KindIndex = 0;

  friend bool operator==(const Route &, const Route &) = default;
};

/// Immutable index over the kinds of one configuration.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(const Configuration &Content);

  /// Finds the kind for \p Method and \p Target; a query string is ignored.
  std::optional<Route> match(std::string_view Method,
                             std::string_view Target) const;

private:
  struct Entry {
    std::vector<std::string> Segments;
    Route Where;
  };

  /// Entries by method and literal first segment, so that a look-up does not
  /// grow with the number of services.
  std::unordered_map<std::string, std::vector<Entry>> EntriesByPrefix;
};

/// Splits the path of \p Target at its slashes and drops the query.
std::vector<std::string_view> splitPath(std::string_view Target);

} // namespace mimosacart
