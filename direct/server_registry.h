/// \file
/// Servers known from discovery, including those whose entries disappeared
/// during an outage of the store.
#pragma once

#include "direct/discovered_server.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosacart {

/// Kind of a change to a server in the registry.
enum class ServerChange : std::uint8_t {
  Joined,
  /// The entry has changed in any other field.
  Updated,
  /// The entry has another incarnation, address or service.
  Restarted,
  /// The entry is missing after an outage of the store; see
  /// ServerRegistry::RemovalDelay.
  RemovalPending,
  Removed
};

/// Returns the name of \p Value in logs.
const char *toString(ServerChange Value);

/// Servers by id. During an outage of the store the entries stay as they were.
/// Entries that are missing when the store is back are kept for a short time,
/// since running servers register again.
class ServerRegistry {
public:
  using ChangeHook =
      std::function<void(const DiscoveredServer &, ServerChange)>;

  /// Time until a missing entry is removed after an outage; running servers
  /// have registered again by then.
  static constexpr Duration RemovalDelay = std::chrono::milliseconds(2000);

  explicit ServerRegistry(ChangeHook OnChange)
      : OnChange(std::move(OnChange)) {}

  /// Adds or updates one entry.
  void update(Instant Now, const DiscoveredServer &Server);
  /// Removes one entry. \p Interrupted means that the entry may be missing only
  /// because of an outage of the store; removal is then delayed.
  void remove(Instant Now, const ServerName &Id, bool Interrupted);
  /// Replaces all entries; the ones not in \p Servers are removed as by
  /// remove().
  void replace(Instant Now, const std::vector<DiscoveredServer> &Servers,
               bool Interrupted);
  /// Begins or ends the evacuation of a data centre: its servers are not usable
  /// meanwhile. Returns whether that is a change.
  bool setEvacuated(const std::string &DataCentre, bool IsEvacuated);
  const std::set<std::string> &evacuated() const { return Evacuated; }
  /// Removes entries whose removal delay has passed.
  void tick(Instant Now);

  const DiscoveredServer *find(const ServerName &Id) const;
  /// Returns the servers of the service that accept new requests and are not in
  /// an evacuated data centre; valid until
  /// the next change of the registry.
  const std::vector<const DiscoveredServer *> &
  usable(const ServiceName &Service) const;
  /// Returns a number that changes whenever the result of usable() for the
  /// service may have changed; 0 for an unknown service.
  std::uint64_t revision(const ServiceName &Service) const;
  /// Returns when tick() has to be called next.
  Instant nextTick() const;
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    DiscoveredServer Server;
    /// Instant::max() if no removal is pending.
    Instant RemoveAt = Instant::max();
  };

  /// The servers of one service.
  struct ServiceServers {
    std::vector<ServerName> Ids;
    std::uint64_t Revision = 0;
    /// Cached result of usable(); reset when a server of the service changes.
    mutable std::optional<std::vector<const DiscoveredServer *>> Usable;
  };

  void addToService(const DiscoveredServer &Server);
  void removeFromService(const DiscoveredServer &Server);
  /// Advances the revision of the service and drops its cached servers.
  void invalidate(const ServiceName &Service);
  void erase(std::map<ServerName, Entry>::iterator Position);
  /// Schedules the removal of an entry; Instant::max() cancels it.
  void scheduleRemoval(const ServerName &Id, Entry &Target, Instant At);

  const ChangeHook OnChange;
  std::map<ServerName, Entry> Entries;
  std::map<ServiceName, ServiceServers> ServersByService;
  /// Entries with a pending removal, by its time.
  std::set<std::pair<Instant, ServerName>> PendingRemovals;
  std::set<std::string> Evacuated;
  std::uint64_t LastRevision = 0;
};

} // namespace mimosacart
