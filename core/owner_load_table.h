/// \file
/// What this host believes of the load at the other owners of each service.
#pragma once

#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// Slots of one service that a host owns.
struct OwnerShare {
  HostName Host;
  unsigned Slots = 0;

  friend bool operator==(const OwnerShare &, const OwnerShare &) = default;
};

/// Beliefs about the owners of every service.
///
/// Beliefs come from reports that ride on answers or are sent when a load
/// changes, so they are always late; each forwarded attempt is counted
/// against the belief at once, which keeps a host from sending a burst to the
/// same idle peer.
class OwnerLoadTable {
public:
  /// Replaces the owners of \p Service. Nothing is known of a new owner, and
  /// it is taken to be idle.
  void setOwners(const ServiceName &Service, std::vector<OwnerShare> Owners);
  void removeService(const ServiceName &Service);

  void update(const HostName &Host, const ServiceLoad &Load);
  /// Counts an attempt that was sent to \p Host.
  void recordForwarded(const HostName &Host, const ServiceName &Service);
  /// \p Host said that it has free slots to fill.
  void recordIdle(const HostName &Host, const ServiceName &Service,
                  std::uint32_t FreeSlots);
  /// Counts attempts asked from \p Host.
  void recordTaken(const HostName &Host, const ServiceName &Service,
                   std::uint32_t Count);

  /// The owner other than \p Self believed to have the most free slots.
  std::optional<HostName> withFreeSlot(const ServiceName &Service,
                                       const HostName &Self) const;
  /// The owner other than \p Self whose queue is believed the shortest for
  /// its slots.
  std::optional<HostName> leastLoaded(const ServiceName &Service,
                                      const HostName &Self) const;
  /// The owner other than \p Self believed to have the longest queue.
  std::optional<HostName> withQueue(const ServiceName &Service,
                                    const HostName &Self) const;
  /// Whether an owner other than \p Self is believed to have usable servers.
  bool hasUsable(const ServiceName &Service, const HostName &Self) const;

  /// Owners other than \p Self.
  std::vector<HostName> coOwners(const ServiceName &Service,
                                 const HostName &Self) const;
  const std::vector<OwnerShare> &owners(const ServiceName &Service) const;

private:
  struct Belief {
    OwnerShare Share;
    ServiceLoad Load;
  };
  /// The owner other than \p Self that fits and ranks highest.
  std::optional<HostName>
  best(const ServiceName &Service, const HostName &Self,
       const std::function<bool(const ServiceLoad &)> &Fits,
       const std::function<double(const ServiceLoad &)> &Rank) const;
  Belief *find(const ServiceName &Service, const HostName &Host);

  std::unordered_map<ServiceName, std::vector<Belief>> Services;
  std::unordered_map<ServiceName, std::vector<OwnerShare>> Shares;
};

} // namespace mimosacart
