/// \file
/// Core of an entry host that calls discovered servers itself. It receives
/// timestamped events and requests calls, probes, replies and peer messages
/// through hooks.
#pragma once

#include "direct/fleet_gossip.h"
#include "direct/fleet_quotas.h"
#include "direct/host_routes.h"
#include "direct/request_flow.h"
#include "direct/table_cache.h"
#include "direct/traffic_split.h"
#include "direct/workspace_directory.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosacart {

/// Settings of DirectNode, fixed at its start.
struct DirectNodeSettings {
  FleetSettings Fleet;
  RetryLimits Retries;
  FlowPolicy Flow;
  RankingPolicy Ranking;
  RegionMap Regions;
  QuotaLimits Quotas;
  /// Server entries that disappear within this time after the store is
  /// reachable again may have expired only because of the interruption, so they
  /// are kept for ServerRegistry::RemovalDelay.
  Duration InterruptionGrace = std::chrono::seconds(3);
};

/// Result for a row that holds no usable server or configuration.
struct UnusableRow {
  std::string Reason;
};

/// Makes the decisions of one entry host without slot ownership: routes
/// requests to servers and shares state with the other entry hosts. Not
/// thread-safe; uses no sockets, files or clocks.
class DirectNode {
public:
  struct Hooks {
    std::function<void(const DirectCall &)> Call;
    std::function<void(CallId)> Cancel;
    std::function<void(const DirectProbe &)> Probe;
    std::function<void(const FlowResult &)> Reply;
    std::function<void(const std::string &Address, const PeerMessage &)> Send;
    /// Parses a row of the routes table. Returns null for a row other than
    /// the configuration.
    std::function<std::variant<RouteConfigurationPtr, UnusableRow>(
        const TableRow &)>
        ReadConfiguration;
    /// Returns the data centre that a row of the routes table evacuates while
    /// it exists; nothing for other rows.
    std::function<std::optional<std::string>(const TableRow &)> ReadEvacuation;
    /// Parses a row of the servers table.
    std::function<std::variant<DiscoveredServer, UnusableRow>(const TableRow &)>
        ReadServer;
    /// Sets how this host reads a table of the store from now on.
    std::function<void(StoreTable, ReadMode)> SetReadMode;
    /// Reads a whole table from the store once.
    std::function<void(StoreTable)> ReadTable;
    /// Called when a configuration has come into force.
    std::function<void(const RouteConfiguration &)> Configured;
    /// Called when the store has come back from an older copy. May be empty.
    std::function<void()> StoreEraChanged;
    FlowLogHook Log;
    CrashRecords::Hooks Records;
    /// See RequestFlow::Hooks. If not set, the time of the event applies and
    /// callers are present until onCallerGone().
    std::function<Instant()> Clock;
    std::function<bool(RequestId)> IsCallerGone;
  };

  DirectNode(Instant Now, DirectNodeSettings Settings, Hooks Callbacks);
  DirectNode(const DirectNode &) = delete;
  DirectNode &operator=(const DirectNode &) = delete;

  /// Starts or refuses a request. \p Host is the destination named by the
  /// caller.
  void onRequest(Instant Now, RequestId Id, const std::string &Host,
                 RequestPtr Request);
  /// Abandons a request whose caller closed its connection.
  void onCallerGone(Instant Now, RequestId Id);
  void onCallResult(Instant Now, CallId Id, const ServerCallResult &Result);
  void onProbeResult(Instant Now, CallId Id, const ProbeResult &Result);
  void onPeerMessage(Instant Now, const PeerMessage &Message);

  /// Applies rows that changed in the store, up to \p Version. Changes of
  /// another era than that of the cached rows are ignored.
  void onRows(Instant Now, StoreTable Table, const std::vector<TableRow> &Rows,
              StoreVersion Version);
  /// Replaces all rows of a table. Returns false if they are older than the
  /// cached rows.
  bool onWholeTable(Instant Now, StoreTable Table,
                    const std::vector<TableRow> &Rows, StoreVersion Version);
  /// The store stopped answering: servers whose entries disappear are kept for
  /// a short time, see InterruptionGrace.
  void onStoreLost(Instant Now);
  /// The store answers again.
  void onStoreRegained(Instant Now);
  /// An answer of the store named \p Era.
  void onStoreEra(Instant Now, std::uint64_t Era);
  /// Sets the addresses of peers that the store lists.
  void onPeerAddresses(std::vector<std::string> Addresses);
  /// See CrashRecords::onChanged().
  void onCrashRecordChanged(std::uint64_t Fingerprint, bool Succeeded) {
    Fleet.onCrashRecordChanged(Fingerprint, Succeeded);
  }
  /// See FleetGossip::onCrashRecordsRead().
  void onCrashRecordsRead(Instant Now, std::vector<CrashNotice> Recorded);
  /// See RequestFlow::setHedgeShare().
  void setHedgeShare(std::optional<double> Share) { Flow.setHedgeShare(Share); }
  /// Begins a planned stop, so that callers use other hosts. All requests are
  /// taken until \p TakeAllUntil, later ones only if they end by \p EndsAt.
  void onStop(Instant Now, Instant TakeAllUntil, Instant EndsAt);
  /// Sends the last message before the process exits.
  void onEnd(Instant Now) { Fleet.finish(Now); }

  void tick(Instant Now);
  /// Time of the next call to tick().
  Instant nextTick() const;

  /// Whether this host can serve callers.
  bool ready() const { return Routes.has_value() && !Stopping; }
  bool stopping() const { return Stopping; }
  /// Distinct addresses of the hosts that callers should use for requests to
  /// \p Destination. If all its routes bind to regions, these are hosts in such
  /// regions if there are any.
  std::vector<std::string>
  callerAddresses(std::string_view Destination = {}) const;
  /// Version up to which the cached table is complete, from the store or from
  /// peers.
  StoreVersion tableVersion(StoreTable Table) const {
    return Table == StoreTable::Routes ? RouteRows.version()
                                       : ServerRows.version();
  }
  /// Position of this host in the order in which hosts become readers of the
  /// store. See TableSync::rank().
  std::size_t rank() const { return Fleet.rank(); }
  /// Longest pause between calls to a store that does not answer.
  Duration longestStoreRetry() const { return Fleet.longestStoreRetry(); }
  /// See TableSync::wholeReadDelay().
  Duration wholeReadDelay(bool AfterFailures) const {
    return Fleet.wholeReadDelay(AfterFailures);
  }
  TableFreshness tableFreshness(StoreTable Table) const {
    return Fleet.tableFreshness(Table);
  }
  /// See FleetGossip::messageDelay().
  Duration messageDelay() const { return Fleet.messageDelay(); }
  /// Latest era of the store that this host knows of.
  std::uint64_t storeEra() const { return StoreEra.value_or(0); }
  /// Version of the configuration in force, 0 if there is none.
  std::uint64_t configurationVersion() const {
    return Routes ? Configuration->Version : 0;
  }
  /// Number of discovered servers.
  std::size_t servers() const { return Registry.size(); }
  /// Number of reachable entry hosts, including this one.
  std::size_t hosts() const { return Fleet.hosts(); }
  /// Number of entry hosts that share limits of the fleet. See
  /// FleetGossip::sharingHosts().
  std::size_t sharingHosts() const { return Fleet.sharingHosts(); }
  /// See RequestFlow::retryBudgets().
  std::vector<RetryBudgetState> retryBudgets() const {
    return Flow.retryBudgets(Now);
  }
  std::size_t openRequests() const {
    return Flow.openRequests() + QuotaWaiting.size();
  }
  QuotaCounters quotaCounters() { return Quotas.counters(Now); }
  /// What servers ask of this host.
  const ServerConstraints &constraints() const { return Flow.constraints(); }
  /// Time of the latest event.
  Instant latestEvent() const { return Now; }
  /// Data centres to whose servers nothing is sent.
  const std::set<std::string> &evacuated() const {
    return Registry.evacuated();
  }
  /// Number of crashes of servers that this host knows of.
  std::size_t crashNotices() const { return Fleet.crashNotices(); }
  const FlowCounters &counters() const { return Flow.counters(); }

private:
  RequestFlow::Hooks flowHooks();
  void onRouteRow(const TableRow &Row);
  void applyConfiguration(const TableRow &Row,
                          const RouteConfigurationPtr &NewConfiguration);
  /// Begins or ends the evacuation of a data centre.
  void setEvacuated(const std::string &DataCentre, bool IsEvacuated);
  void onServerRow(const TableRow &Row);
  void onServerChanged(const DiscoveredServer &Server, ServerChange Change);
  void refuse(Instant Now, RequestId Id, const CallerRequest &Request,
              RefusalReason Reason, Duration RetryAfter = Duration::zero());
  FleetQuotas::Hooks quotaHooks();
  /// Starts a request if its workspace's quota allows it, or makes it wait.
  void startWithinQuota(FlowRequest Request);
  /// Starts or refuses a request that waited for its quota.
  void endQuotaWait(RequestId Id, RefusalReason Reason, Duration RetryAfter);
  /// Passes a changed list of hosts on to Quotas.
  void updateQuotaFleet();
  /// Handles the era of a row, or of the cached rows, that is not 0.
  void noteStoreEra(std::uint64_t Era);
  /// Whether the entry of a server names an earlier start of it than the known
  /// one, as entries of an older copy do.
  bool isOfEarlierStart(const DiscoveredServer &Server) const;
  /// Whether the store is lost now, or was within the last InterruptionGrace.
  bool wasInterrupted() const;
  TableCache &cache(StoreTable Table) {
    return Table == StoreTable::Routes ? RouteRows : ServerRows;
  }

  const DirectNodeSettings Settings;
  const Hooks Callbacks;
  /// Time of the event being handled.
  Instant Now;
  bool Stopping = false;
  /// From the first time on, requests that may last beyond the second are
  /// refused.
  Instant TakeAllUntil = Instant::max();
  Instant EndsAt = Instant::max();
  bool StoreLost = false;
  std::optional<Instant> StoreRegainedAt;
  /// Latest era of the store, from its answers or from peers; no value before
  /// the first rows.
  std::optional<std::uint64_t> StoreEra;
  RouteConfigurationPtr Configuration;
  std::optional<HostRoutes> Routes;
  std::optional<WorkspaceDirectory> Workspaces;
  TrafficSplit Split;
  ServerLoadTable ServerLoads;
  ServerRegistry Registry;
  TableCache RouteRows;
  TableCache ServerRows;
  FleetGossip Fleet;
  RequestFlow Flow;
  FleetQuotas Quotas;
  /// Requests that wait for their quota.
  std::map<RequestId, FlowRequest> QuotaWaiting;
  /// FleetGossip::changes() and sharingHosts() that Quotas knows of, and when
  /// it is told next.
  std::uint64_t QuotaFleetChanges = 0;
  std::size_t QuotaSharingHosts = 0;
  Instant NextQuotaFleetAt{};
};

} // namespace mimosacart
