/// \file
/// Determines the kind of a request from its method and path.
#pragma once

#include "core/configuration.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// Identifies a request kind by its position in a configuration.
struct Route {
  std::size_t ServiceIndex = 0;
  std::size_t KindIndex = 0;

  friend bool operator==(const Route &, const Route &) = default;
};

/// Immutable index of the request kinds in one configuration.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(const Configuration &Content);

  /// Finds the request kind for \p Method and \p Target; ignores the query
  /// string.
  std::optional<Route> match(std::string_view Method,
                             std::string_view Target) const;

private:
  struct Entry {
    std::vector<std::string> Segments;
    Route Position;
  };

  /// Entries by method and first path segment, which is never a wildcard. Keeps
  /// the cost of a lookup independent of the number of services.
  std::unordered_map<std::string, std::vector<Entry>> EntriesByPrefix;
};

/// Splits the path of \p Target at its slashes; drops the query string.
std::vector<std::string_view> splitPath(std::string_view Target);

} // namespace mimosacart
