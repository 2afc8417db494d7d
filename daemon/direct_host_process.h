/// \file
/// Runs an entry host that calls discovered servers itself. Connects DirectNode
/// to sockets, timers, clocks and the store.
#pragma once

#include "daemon/crash_record_store.h"
#include "daemon/direct_metrics.h"
#include "daemon/event_log.h"
#include "daemon/host_rows.h"
#include "daemon/message_memory.h"
#include "daemon/table_follower.h"
#include "direct/direct_node.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_transport.h"
#include "platform/store_client.h"
#include "settings/host_settings.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace mimosacart {

/// Passes events to DirectNode and carries out the actions that it requests.
class DirectHostProcess {
public:
  /// \p InitialSettings must contain settings for direct hosts. Calls
  /// \p StopHandler when a planned stop is complete.
  DirectHostProcess(boost::asio::io_context &IoContext,
                    HostSettings InitialSettings,
                    std::function<void()> StopHandler);
  ~DirectHostProcess();
  DirectHostProcess(const DirectHostProcess &) = delete;
  DirectHostProcess &operator=(const DirectHostProcess &) = delete;

  /// Binds the addresses and starts to serve.
  boost::outcome_v2::result<void, std::error_code> start();
  /// Begins a planned stop.
  void stop();
  /// Applies those of \p NewSettings that may change while the process runs.
  void reload(const HostSettings &NewSettings);
  /// Logs that new settings are unusable. The current settings stay in force.
  void rejectReload(const std::string &Reason);

private:
  struct Timers;

  Instant now() const;
  DirectNode::Hooks makeCoreHooks();
  CrashRecordStore::Hooks makeCrashRecordHooks();
  StoreEraReader::Hooks makeEraHooks();
  TableFollower::Hooks makeFollowerHooks(StoreTable Table);
  TableFollower &follower(StoreTable Table) {
    return Table == StoreTable::Routes ? RouteFollower : ServerFollower;
  }
  void onCallerRequest(HttpRequest Request,
                       std::shared_ptr<HttpExchange> Exchange);
  void onDirectoryRequest(const HttpRequest &Request, HttpExchange &Exchange);
  void onReadinessRequest(HttpExchange &Exchange);
  void onAdminRequest(const HttpRequest &Request, HttpExchange &Exchange);
  void onPeerBytes(std::string_view Bytes);
  void callServer(const DirectCall &Call);
  void probeServer(const DirectProbe &Probe);
  void reply(const FlowResult &Result);
  void applyConfiguration(const RouteConfiguration &Configuration);
  StoreCallsByCause countStoreCalls() const;
  /// Flushes the log and schedules the next tick. Must be called after each
  /// event that was passed to the core.
  void finishEvent();
  void onTickTimer();
  void scheduleDiscovery(Duration Delay, unsigned Round);
  /// Registers this host in the store if its rank requires that. Reads the rows
  /// of other hosts if a read is due or this host has no peers. Schedules the
  /// next round.
  void discoverPeers(unsigned Round);
  /// Stops accepting callers and ends the planned stop when each is due;
  /// otherwise schedules another check.
  void advanceStop();

  boost::asio::io_context &Context;
  HostSettings Settings;
  const std::function<void()> OnStopped;
  const IncarnationId Incarnation;
  EventLog Log;
  DirectMetrics HostMetrics;
  MessageMemory Memory;
  HttpClient ServerHttp;
  HttpClient StoreHttp;
  StoreClient Store;
  CrashRecordStore CrashRecordRows;
  HostRows HostRegistration;
  PeerTransport Peers;
  DirectNode Core;
  TableFollower RouteFollower;
  TableFollower ServerFollower;
  HttpServer CallerEndpoint;
  HttpServer DirectoryEndpoint;
  HttpServer ReadinessEndpoint;
  HttpServer AdminEndpoint;
  std::unique_ptr<Timers> HostTimers;
  /// Time for which the tick timer is set, max() if it is not set.
  Instant TickTimerExpiry = Instant::max();
  Instant StopStartedAt{};
  /// Whether new connections of callers are no longer accepted.
  bool CallerEndpointStopped = false;
  std::unordered_map<RequestId, std::shared_ptr<HttpExchange>> Exchanges;
  std::unordered_map<CallId, std::shared_ptr<HttpCallHandle>> Calls;
  std::uint64_t LastRequestId = 0;
  /// Selects the part of the host list in the next directory answer. Its random
  /// start lets hosts begin with different parts.
  std::uint64_t DirectoryRotation = Incarnation.value();
};

} // namespace mimosacart
