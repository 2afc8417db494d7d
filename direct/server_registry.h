/// \file
/// The servers that discovery knows, with the ones that lapsed while the
/// store was away.
#pragma once

#include "direct/server_messages.h"

#include <functional>
#include <map>
#include <vector>

namespace mimosacart {

/// What changed for one server.
enum class ServerChange : std::uint8_t {
  Joined,
  Updated,
  Reborn,
  Lapsed,
  Gone
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
  /// Servers of the service that may get new requests.
  std::vector<const DiscoveredServer *>
  usable(const ServiceName &Service) const;
  /// When tick() has to be called next.
  Instant nextTick() const;
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    DiscoveredServer Server;
    Instant LapsesAt = Instant::max();
  };

  void erase(std::map<ServerName, Entry>::iterator Where);

  const ChangeHook Changed;
  std::map<ServerName, Entry> Entries;
  std::map<ServiceName, std::vector<ServerName>> ByService;
};

} // namespace mimosacart
