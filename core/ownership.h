/// \file
/// Assignment of the backend servers' slots to entry hosts.
#pragma once

#include "core/configuration.h"
#include "core/peer_messages.h"

#include <vector>

namespace mimosacart {

/// Returns the owner of each server of \p ServiceConfig, in the order of its
/// servers.
///
/// Every host computes the same result from the same list of hosts. A server is
/// assigned to a host in its own data centre, or to any host if there is none.
/// Among these, it goes to the host that owns the fewest slots of the service
/// so far, so that no host is left without servers while another has several;
/// the highest rendezvous hash breaks ties. \p Hosts must be sorted by name; an
/// empty list leaves every owner empty.
std::vector<HostName> assignOwners(const Service &ServiceConfig,
                                   const std::vector<MemberRecord> &Hosts);

} // namespace mimosacart
