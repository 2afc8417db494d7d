/// \file
/// One entry host that calls discovered servers itself: takes events with
/// their time and asks for calls, probes, answers and messages.
#pragma once

#include "direct/fleet_gossip.h"
#include "direct/host_routes.h"
#include "direct/request_flow.h"
#include "direct/table_cache.h"
#include "direct/traffic_split.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosacart {

/// What a DirectNode is told at its start.
struct DirectNodeSettings {
  FleetSettings Fleet;
  RetryLimits Retries;
  FlowPolicy Flow;
  RankingPolicy Ranking;
  /// Entries that disappear this soon after an interruption of discovery may
  /// only have lapsed.
  Duration InterruptionMemory = std::chrono::seconds(3);
};

/// A row that names no server or configuration to use, and why.
struct UnusableRow {
  std::string Reason;
};

/// The decisions of one entry host without slot ownership. Not thread-safe;
/// holds no sockets, files or clocks.
class DirectNode {
public:
  struct Hooks {
    std::function<void(const DirectCall &)> Call;
    std::function<void(CallId)> Cancel;
    std::function<void(const DirectProbe &)> Probe;
    std::function<void(const FlowResult &)> Reply;
    std::function<void(const std::string &Address, const PeerMessage &)> Send;
    /// Reads the bytes of a row.
    std::function<std::variant<RouteConfigurationPtr, UnusableRow>(
        const TableRow &)>
        ReadConfiguration;
    std::function<std::variant<DiscoveredServer, UnusableRow>(const TableRow &)>
        ReadServer;
    /// How closely this host is to follow the store from now on.
    std::function<void(ReadMode)> SetReadMode;
    /// A configuration came into force.
    std::function<void(const RouteConfiguration &)> Configured;
    FlowLogHook Log;
  };

  DirectNode(Instant Now, DirectNodeSettings Settings, Hooks Callbacks);
  DirectNode(const DirectNode &) = delete;
  DirectNode &operator=(const DirectNode &) = delete;

  /// \p Host is what the caller named as its destination.
  void onRequest(Instant Now, RequestId Id, const std::string &Host,
                 RequestPtr Request);
  void onCallerGone(Instant Now, RequestId Id);
  void onCallResult(Instant Now, CallId Id, const ServerCallResult &Result);
  void onProbeResult(Instant Now, CallId Id, const ProbeResult &Result);
  void onPeerMessage(Instant Now, const PeerMessage &Message);

  /// Rows that changed in the store, up to \p Version.
  void onRows(Instant Now, StoreTable Table, const std::vector<TableRow> &Rows,
              std::uint64_t Version);
  /// All rows of a table; false if they are older than what is known.
  bool onWholeTable(Instant Now, StoreTable Table,
                    const std::vector<TableRow> &Rows, std::uint64_t Version);
  void onStoreLost(Instant Now);
  void onStoreRegained(Instant Now);
  /// Peers as the store lists them.
  void onPeerAddresses(std::vector<std::string> Addresses);
  /// A planned stop begins: callers are to use other hosts.
  void onStop(Instant Now);
  /// The process ends now.
  void onEnd(Instant Now) { Fleet.finish(Now); }

  void tick(Instant Now);
  /// When tick() has to be called next.
  Instant nextTick() const;

  bool ready() const { return Routes.has_value() && !Stopping; }
  bool stopping() const { return Stopping; }
  /// Addresses that callers should use, each once.
  std::vector<std::string> callerAddresses() const;
  /// Version up to which the table is known, from the store or from peers.
  std::uint64_t tableVersion(StoreTable Table) const {
    return Table == StoreTable::Routes ? RouteRows.version()
                                       : ServerRows.version();
  }
  /// Place of this host among those that read the store for the others.
  std::size_t rank() const { return Fleet.rank(); }
  /// Pause between calls to a store that does not answer.
  Duration longestStoreRetry() const { return Fleet.longestStoreRetry(); }
  std::uint64_t configurationVersion() const {
    return Routes ? Configuration->Version : 0;
  }
  std::size_t servers() const { return Registry.size(); }
  std::size_t hosts() const { return Fleet.hosts(); }
  std::size_t openRequests() const { return Flow.openRequests(); }
  const FlowCounters &counters() const { return Flow.counters(); }

private:
  RequestFlow::Hooks flowHooks();
  void onRouteRow(const TableRow &Row);
  void onServerRow(const TableRow &Row);
  void onServerChanged(const DiscoveredServer &Server, ServerChange Change);
  void refuse(Instant Now, RequestId Id, const CallerRequest &Request,
              RefusalReason Reason);
  bool interrupted() const;
  TableCache &cache(StoreTable Table) {
    return Table == StoreTable::Routes ? RouteRows : ServerRows;
  }

  const DirectNodeSettings Settings;
  const Hooks Callbacks;
  /// Time of the event that is being handled.
  Instant Now;
  bool Stopping = false;
  bool StoreAway = false;
  std::optional<Instant> StoreRegainedAt;
  RouteConfigurationPtr Configuration;
  std::optional<HostRoutes> Routes;
  TrafficSplit Split;
  ServerLoadTable ServerLoads;
  ServerRegistry Registry;
  TableCache RouteRows;
  TableCache ServerRows;
  FleetGossip Fleet;
  RequestFlow Flow;
};

} // namespace mimosacart
