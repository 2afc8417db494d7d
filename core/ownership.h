/// \file
/// Which entry host owns the slots of which backend server.
#pragma once

#include "core/configuration.h"
#include "core/peer_messages.h"

#include <vector>

namespace mimosacart {

/// Owners of the servers of \p Subject, in the order of its servers.
///
/// Every host computes the same result from the same view. A server goes to a
/// host of its own data centre if there is one, by the highest rendezvous
/// hash among the hosts that own the fewest servers of the service so far, so
/// that no host is left without servers while another has several.
/// \p Hosts must be sorted by name; an empty list leaves every owner empty.
std::vector<HostName> assignOwners(const Service &Subject,
                                   const std::vector<MemberRecord> &Hosts);

} // namespace mimosacart
