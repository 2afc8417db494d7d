/// \file
/// The order in which hosts read the store for each other.
#pragma once

#include "core/membership.h"
#include "direct/repair_requests.h"

#include <vector>

namespace mimosacart {

/// Orders all hosts by a hash that is equal on each of them, so that they agree
/// on the readers as far as they agree on the members. The first two, which are
/// the readers, are in different data centres if there are several.
class ReaderRanks {
public:
  explicit ReaderRanks(HostName Self) : Self(std::move(Self)) {}

  /// Sets the hosts of the fleet, this one included.
  void setMembers(const std::vector<MemberRecord> &Members);

  /// Position of this host, from 0; 0 if it knows no other host.
  std::size_t rank() const { return Rank; }
  /// The same as a share of all hosts, from 0 to below 1.
  double share() const;
  /// All other hosts in this order.
  const std::vector<HostName> &peers() const { return Peers; }
  /// The same by where they are, without those that do not answer pings.
  const RepairSources &sources() const { return Sources; }
  bool isLocalPeer(const HostName &Host) const;
  /// Whether \p Reader comes before this host, or is not known.
  bool outranksThis(const HostName &Reader) const;

private:
  const HostName Self;
  std::size_t Rank = 0;
  std::vector<HostName> Peers;
  RepairSources Sources;
};

} // namespace mimosacart
