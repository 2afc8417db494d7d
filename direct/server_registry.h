/// \file
/// The servers that discovery knows, with the ones that lapsed while the
/// store was away.
#pragma once

#include "direct/discovered_server.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mimosacart {

/// What changed for one server.
enum class ServerChange : std::uint8_t {
  Joined,
  Updated,
  Restarted,
  RemovalPending,
  Removed
};

/// Word used for \p Value in logs.
const char *toString(ServerChange Value);

/// Servers by id. While discovery is interrupted the last known servers
/// hold; entries that are missing when it returns are kept for a short time,
/// since live servers register again.
class ServerRegistry {
public:
  using ChangeHook =
      std::function<void(const DiscoveredServer &, ServerChange)>;

  /// Entries of live servers are back this long after the store is.
  static constexpr Duration LapseTime = std::chrono::milliseconds(2000);

  explicit ServerRegistry(ChangeHook Changed) : Changed(std::move(Changed)) {}

  /// One entry was written.
  void update(Instant Now, const DiscoveredServer &Server);
  /// One entry was removed. \p Interrupted tells that it may have lapsed
  /// only because the store was away.
  void remove(Instant Now, const ServerName &Id, bool Interrupted);
  /// All entries were read anew.
  void replace(Instant Now, const std::vector<DiscoveredServer> &Servers,
               bool Interrupted);
  /// Drops entries that lapsed for too long.
  void tick(Instant Now);

  const DiscoveredServer *find(const ServerName &Id) const;
  /// Servers of the service that may get new requests, until the next change
  /// of the registry.
  const std::vector<const DiscoveredServer *> &
  usable(const ServiceName &Service) const;
  /// Another number for each set that usable() has returned for the service.
  std::uint64_t revision(const ServiceName &Service) const;
  /// When tick() has to be called next.
  Instant nextTick() const;
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    DiscoveredServer Server;
    Instant LapsesAt = Instant::max();
  };

  /// The servers of one service.
  struct Group {
    std::vector<ServerName> Ids;
    std::uint64_t Revision = 0;
    /// Kept until an entry of the group changes.
    mutable std::optional<std::vector<const DiscoveredServer *>> Usable;
  };

  void join(const DiscoveredServer &Server);
  void leave(const DiscoveredServer &Server);
  /// An entry of the service changed.
  void touch(const ServiceName &Service);
  void erase(std::map<ServerName, Entry>::iterator Where);
  /// Sets when the entry is dropped; the greatest time means never.
  void setLapse(const ServerName &Id, Entry &Of, Instant At);

  const ChangeHook Changed;
  std::map<ServerName, Entry> Entries;
  std::map<ServiceName, Group> ByService;
  /// The entries that lapse, by the time at which they are dropped.
  std::set<std::pair<Instant, ServerName>> Lapsing;
  std::uint64_t LastRevision = 0;
};

} // namespace mimosacart
