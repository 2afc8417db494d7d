/// \file
/// Selects a subset of each service's servers for one host.
#pragma once

#include "direct/request_rate.h"
#include "direct/server_registry.h"

#include <cstdint>
#include <map>
#include <vector>

namespace mimosacart {

/// Constants of ServerSubset.
struct SubsetPolicy {
  /// Least number of servers in a subset.
  std::size_t MinServers = 12;
  /// Average number of hosts that have a server in their subset.
  std::size_t HostsPerServer = 4;
  /// The same as MinServers for a host with few requests. With six it is
  /// unlikely that all are slow at once, even if many servers are.
  std::size_t MinReusedServers = 6;
  /// A host with few requests uses so few servers that each of them gets a
  /// request in this time on average. Must be well below the time for which
  /// idle connections are kept.
  Duration ReuseInterval = std::chrono::milliseconds(1500);
  /// Sizes between MinReusedServers and MinServers differ by this.
  std::size_t SizeStep = 3;
  /// How often a host with few requests replaces one server of its subset, so
  /// that each server is in some host's subset from time to time.
  Duration RotationInterval = std::chrono::seconds(30);
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

  /// Counts a request of this host to \p Service.
  void countRequest(Instant Now, const ServiceName &Service) {
    Reuse[Service].Rate.count(Now);
  }
  /// Returns the servers that a request is sent to if possible: the subset, or
  /// a part of it if this host has so few requests to the service that it would
  /// not use a connection to each of them again.
  const std::vector<const DiscoveredServer *> &
  reused(Instant Now, const ServerRegistry &Registry,
         const ServiceName &Service, std::size_t Hosts);

private:
  struct CachedSubset {
    std::uint64_t Revision = 0;
    std::size_t Size = 0;
    std::vector<const DiscoveredServer *> Servers;
  };

  std::vector<const DiscoveredServer *>
  selectServers(const std::vector<const DiscoveredServer *> &Usable,
                std::size_t Size) const;

  /// What a service's share of this host's requests means for its subset.
  struct ServiceReuse {
    RequestRate Rate;
    /// Least number of servers; 0 before the rate is known.
    std::size_t MinServers = 0;
    /// Number of RotationInterval for which Subset was selected.
    std::int64_t Rotation = 0;
    CachedSubset Subset;
  };

  std::size_t subsetSize(std::size_t Usable, std::size_t Hosts,
                         std::size_t MinServers) const;
  /// Updates and returns the least number of servers for the current rate.
  std::size_t updateMinServers(Instant Now, ServiceReuse &State) const;
  /// Replaces a server of \p Servers by one that changes with \p Rotation.
  void rotate(std::vector<const DiscoveredServer *> &Servers,
              const std::vector<const DiscoveredServer *> &Usable,
              std::int64_t Rotation) const;

  const SubsetPolicy Policy;
  const std::string Host;
  const std::string DataCentre;
  std::map<ServiceName, CachedSubset> Subsets;
  std::map<ServiceName, ServiceReuse> Reuse;
};

} // namespace mimosacart
