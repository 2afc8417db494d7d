/// \file
/// Selects the hosts to which a host sends its updates, so that each host
/// receives them once and few copies cross between data centres.
#pragma once

#include "core/peer_messages.h"

#include <string>
#include <vector>

namespace mimosacart {

/// One host to which updates are sent directly.
struct DisseminationTarget {
  std::string Address;
  /// Whether the target forwards updates to the hosts of its data centre.
  bool ForwardsInDataCentre = false;

  friend bool operator==(const DisseminationTarget &,
                         const DisseminationTarget &) = default;
};

/// One host to which many rows are sent, and the hosts that it forwards them
/// to.
struct ForwardingTarget {
  std::string Address;
  std::vector<std::string> ForwardTo;

  friend bool operator==(const ForwardingTarget &,
                         const ForwardingTarget &) = default;
};

/// Largest number of hosts to which one host sends a copy of many rows within
/// its data centre. Bounds the load of its link.
inline constexpr std::size_t ForwardingFanOut = 5;

/// Divides \p Addresses into up to \p Groups groups of similar size. The first
/// host of each forwards to the others.
std::vector<ForwardingTarget>
splitForwarding(const std::vector<std::string> &Addresses, std::size_t Groups);

/// Number of groups in which a host divides \p Hosts hosts of its data centre
/// for small updates, so that neither it nor one that forwards them sends many.
std::size_t smallUpdateGroups(std::size_t Hosts);

/// In a small fleet, a host sends updates to all peers directly. In a larger
/// one it sends them to the hosts of its own data centre, table rows by way of
/// some of them, and to one relay in each other data centre. Hosts that miss an
/// update because a relay failed receive it later, when pings show that the
/// views of two hosts differ.
class DisseminationPlan {
public:
  /// Up to this many peers receive updates directly.
  static constexpr std::size_t MaxDirectPeers = 12;

  DisseminationPlan() = default;
  DisseminationPlan(const std::string &DataCentre,
                    const std::vector<MemberRecord> &Peers);

  /// Targets of updates that originate at this host.
  const std::vector<DisseminationTarget> &targets() const { return Targets; }
  /// Those of them that are in other data centres.
  std::vector<DisseminationTarget> remoteTargets() const;
  /// Targets of updates so large that not all hosts of a data centre can get
  /// their copies from one host. The order of the hosts is the same for all
  /// updates until the members change, so that updates arrive in order.
  std::vector<ForwardingTarget> forwardingTargets() const;
  /// Addresses of the other hosts of this host's data centre.
  const std::vector<std::string> &localPeers() const { return LocalPeers; }

private:
  std::vector<DisseminationTarget> Targets;
  std::vector<std::string> LocalPeers;
  /// Addresses of the peers in each other data centre.
  std::vector<std::vector<std::string>> RemotePeers;
};

} // namespace mimosacart
