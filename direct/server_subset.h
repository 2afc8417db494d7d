/// \file
/// Selects a subset of each service's servers for one host.
#pragma once

#include "direct/server_registry.h"

#include <map>
#include <vector>

namespace mimosacart {

/// Constants of ServerSubset.
struct SubsetPolicy {
  /// Least number of servers in a subset.
  std::size_t MinServers = 12;
  /// Average number of hosts that have a server in their subset.
  std::size_t HostsPerServer = 4;
};

/// Each host prefers a subset of the servers of a large service, within its own
/// data centre if that has enough. A smaller set of servers lets connections be
/// reused more often and keeps the host's load data fresher. The subset is
/// computed from hashes of the names, so that hosts spread evenly over servers
/// without communication, and a server that joins or leaves changes little.
class ServerSubset {
public:
  ServerSubset(SubsetPolicy Policy, std::string Host, std::string DataCentre)
      : Policy(Policy), Host(std::move(Host)),
        DataCentre(std::move(DataCentre)) {}

  /// Returns the subset of the usable servers; valid until the next change of
  /// \p Registry. \p Hosts is the number of hosts in the fleet.
  const std::vector<const DiscoveredServer *> &
  preferred(const ServerRegistry &Registry, const ServiceName &Service,
            std::size_t Hosts);

private:
  struct CachedSubset {
    std::uint64_t Revision = 0;
    std::size_t Size = 0;
    std::vector<const DiscoveredServer *> Servers;
  };

  std::vector<const DiscoveredServer *>
  selectServers(const std::vector<const DiscoveredServer *> &Usable,
                std::size_t Size) const;

  const SubsetPolicy Policy;
  const std::string Host;
  const std::string DataCentre;
  std::map<ServiceName, CachedSubset> Subsets;
};

} // namespace mimosacart
