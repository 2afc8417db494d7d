/// \file
/// How long the work of each route takes on a server that is not slowed.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <string>

namespace mimosacart {

/// Smoothed times by route, each divided by the slowness under which it was
/// measured.
class UsualTimes {
public:
  /// Takes a time that a server needed at \p SlownessPercent.
  void note(const std::string &Route, Duration Time, unsigned SlownessPercent);

  /// The usual time; before the first answer a part of \p Objective.
  Duration usual(const std::string &Route, Duration Objective) const;

private:
  std::map<std::string, double> Microseconds;
};

} // namespace mimosacart
