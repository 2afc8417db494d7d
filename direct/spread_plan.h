/// \file
/// Whom a host tells its news, so that each host hears them once and few
/// copies cross between data centres.
#pragma once

#include "core/peer_messages.h"

#include <string>
#include <vector>

namespace mimosacart {

/// One host that is told news directly.
struct SpreadTarget {
  std::string Address;
  /// It hands the news on to the hosts of its data centre.
  bool PassesOn = false;

  friend bool operator==(const SpreadTarget &, const SpreadTarget &) = default;
};

/// A small fleet is told directly. In a greater one, news go to the hosts of
/// the own data centre and to one host of each other one, which hands them on.
/// What such a host loses is mended by the exchanges that follow on pings.
class SpreadPlan {
public:
  /// Up to this many peers are told directly.
  static constexpr std::size_t MaxDirectPeers = 12;

  SpreadPlan() = default;
  SpreadPlan(const std::string &DataCentre,
             const std::vector<MemberRecord> &Peers);

  /// Targets of news that begin at this host.
  const std::vector<SpreadTarget> &targets() const { return Targets; }
  /// Addresses of the other hosts of the own data centre.
  const std::vector<std::string> &neighbours() const { return Neighbours; }

private:
  std::vector<SpreadTarget> Targets;
  std::vector<std::string> Neighbours;
};

} // namespace mimosacart
