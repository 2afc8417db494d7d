/// \file
/// Last known load of each service at the other owner hosts.
#pragma once

#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// Number of slots of one service that a host owns.
struct OwnerShare {
  HostName Host;
  unsigned Slots = 0;

  friend bool operator==(const OwnerShare &, const OwnerShare &) = default;
};

/// Known load of the owners of every service.
///
/// The loads come from reports that are attached to answers or sent when a load
/// changes, so they are always slightly outdated. Each forwarded attempt is
/// added to the known load at once, so that a host does not send a burst to the
/// same idle peer.
class OwnerLoadTable {
public:
  /// Replaces the owners of \p Service. An owner that is new or whose slot
  /// count changed is assumed to be idle.
  void setOwners(const ServiceName &Service, std::vector<OwnerShare> Owners);
  void removeService(const ServiceName &Service);

  /// Replaces the known load of \p Host by a received one.
  void update(const HostName &Host, const ServiceLoad &Load);
  /// Adds an attempt that was forwarded to \p Host to its known load.
  void recordForwarded(const HostName &Host, const ServiceName &Service);
  /// Records that \p Host has \p FreeSlots free slots and an empty queue.
  void recordIdle(const HostName &Host, const ServiceName &Service,
                  std::uint32_t FreeSlots);
  /// Subtracts \p Count attempts that were requested from \p Host from its
  /// known queue.
  void recordWorkRequested(const HostName &Host, const ServiceName &Service,
                           std::uint32_t Count);

  /// Returns the owner other than \p Self with the most free slots, if any
  /// owner has a free slot.
  std::optional<HostName> findOwnerWithFreeSlot(const ServiceName &Service,
                                                const HostName &Self) const;
  /// Returns the owner other than \p Self with the fewest queued attempts per
  /// usable slot.
  std::optional<HostName> findLeastLoadedOwner(const ServiceName &Service,
                                               const HostName &Self) const;
  /// Returns the owner other than \p Self with the longest queue, if any queue
  /// is not empty.
  std::optional<HostName> findOwnerWithLongestQueue(const ServiceName &Service,
                                                    const HostName &Self) const;
  /// Whether an owner other than \p Self is known to have usable slots.
  bool hasUsable(const ServiceName &Service, const HostName &Self) const;

  /// Returns the owners of \p Service other than \p Self.
  std::vector<HostName> coOwners(const ServiceName &Service,
                                 const HostName &Self) const;
  /// Returns all owners of \p Service.
  const std::vector<OwnerShare> &owners(const ServiceName &Service) const;

private:
  struct OwnerState {
    OwnerShare Share;
    ServiceLoad Load;
  };
  /// Returns the owner other than \p Self with the highest \p Rank among those
  /// that satisfy \p Fits.
  std::optional<HostName>
  findBestOwner(const ServiceName &Service, const HostName &Self,
                const std::function<bool(const ServiceLoad &)> &Fits,
                const std::function<double(const ServiceLoad &)> &Rank) const;
  OwnerState *findOwner(const ServiceName &Service, const HostName &Host);

  std::unordered_map<ServiceName, std::vector<OwnerState>> OwnersByService;
  std::unordered_map<ServiceName, std::vector<OwnerShare>> SharesByService;
};

} // namespace mimosacart
