/// \file
/// How long the work of each route takes on a server that is neither slow nor
/// busy.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <string>

namespace mimosacart {

/// Smoothed times by route. Only answers of servers that were expected to be
/// about as fast as usual count: times under overload would raise what is
/// expected of servers, and so keep requests waiting for no reason.
class BaselineLatency {
public:
  /// Takes a time that a server needed which was expected to need \p Factor
  /// times the usual one.
  void record(const std::string &Route, Duration Time, double Factor);

  /// The usual time; before the first answer a part of \p Objective.
  Duration baseline(const std::string &Route, Duration Objective) const;

private:
  std::map<std::string, double> Microseconds;
};

} // namespace mimosacart
