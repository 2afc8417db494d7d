/// \file
/// Whom a host tells its news, so that each host hears them once and few
/// copies cross between data centres.
#pragma once

#include "core/peer_messages.h"

#include <string>
#include <vector>

namespace mimosacart {

/// One host that is told news directly.
struct DisseminationTarget {
  std::string Address;
  /// It hands the news on to the hosts of its data centre.
  bool ForwardsInDataCentre = false;

  friend bool operator==(const DisseminationTarget &,
                         const DisseminationTarget &) = default;
};

/// A small fleet is told directly. In a greater one, news go to the hosts of
/// the own data centre and to one host of each other one, which hands them on.
/// What such a host loses is mended by the exchanges that follow on pings.
class DisseminationPlan {
public:
  /// Up to this many peers are told directly.
  static constexpr std::size_t MaxDirectPeers = 12;

  DisseminationPlan() = default;
  DisseminationPlan(const std::string &DataCentre,
                    const std::vector<MemberRecord> &Peers);

  /// Targets of news that begin at this host.
  const std::vector<DisseminationTarget> &targets() const { return Targets; }
  /// Addresses of the other hosts of the own data centre.
  const std::vector<std::string> &neighbours() const { return Neighbours; }

private:
  std::vector<DisseminationTarget> Targets;
  std::vector<std::string> Neighbours;
};

} // namespace mimosacart
