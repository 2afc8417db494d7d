/// \file
/// Runs an entry host. Connects Node to sockets, timers, clocks and the
/// platform.
#pragma once

#include "core/node.h"
#include "daemon/caller_protocol.h"
#include "daemon/claim_archive.h"
#include "daemon/configuration_watcher.h"
#include "daemon/event_log.h"
#include "daemon/message_memory.h"
#include "daemon/metrics.h"
#include "daemon/trace_ring.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_transport.h"
#include "platform/platform_client.h"
#include "settings/host_settings.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace mimosacart {

/// Passes events to Node and carries out the actions that it requests.
class EntryHostProcess {
public:
  /// Calls \p StopHandler when a planned stop is complete.
  EntryHostProcess(boost::asio::io_context &IoContext,
                   HostSettings InitialSettings,
                   std::function<void()> StopHandler);
  ~EntryHostProcess();
  EntryHostProcess(const EntryHostProcess &) = delete;
  EntryHostProcess &operator=(const EntryHostProcess &) = delete;

  /// Binds the addresses and starts to serve.
  boost::outcome_v2::result<void, std::error_code> start();
  /// Begins a planned stop.
  void stop();
  /// Applies those of \p NewSettings that may change while the process runs.
  void reload(const HostSettings &NewSettings);
  /// Logs that new settings are unusable. The current settings stay in force.
  void rejectReload(const std::string &Reason);

private:
  struct Timer;
  struct OpenExchange {
    std::shared_ptr<HttpExchange> Exchange;
    std::string TraceId;
  };

  Instant now() const;
  void scheduleTick();
  void onCallerRequest(HttpRequest Request,
                       std::shared_ptr<HttpExchange> Exchange);
  void onPeerBytes(std::string_view Bytes);
  /// Carries out the actions that the core has requested. Must be called after
  /// each event that was passed to the core.
  void runActions();

  // Each overload carries out one kind of action.
  void run(CallServer &&Details);
  void run(CancelCall &&Details);
  void run(ReplyToCaller &&Details);
  void run(SendToPeer &&Details);
  void run(FetchConfiguration &&Details);
  void run(WriteJournal &&Details);
  void run(ReadJournal &&Details);
  void run(ProbeServer &&Details);
  void run(LogEvent &&Details);
  void run(RecordSpan &&Details);
  void run(Stopped &&Details);

  void onAdminRequest(const HttpRequest &Request, HttpExchange &Exchange);
  HttpResponse makeStatusPage() const;
  HttpResponse makeExplainPage(const std::string &TraceId) const;

  boost::asio::io_context &Context;
  const HostSettings Settings;
  const std::function<void()> OnStopped;
  const IncarnationId Incarnation;
  EventLog Log;
  TraceIds Ids;
  TraceRing Traces;
  Metrics HostMetrics;
  Node Core;
  MessageMemory Memory;
  HttpClient ServerHttp;
  HttpClient PlatformHttp;
  PlatformClient Platform;
  ClaimArchive Archive;
  ConfigurationWatcher Watcher;
  PeerTransport Peers;
  HttpServer CallerEndpoint;
  HttpServer AdminEndpoint;
  std::unique_ptr<Timer> TickTimer;
  std::unordered_map<RequestId, OpenExchange> Exchanges;
  std::unordered_map<CallId, std::shared_ptr<HttpCallHandle>> Calls;
  std::uint64_t LastRequestId = 0;
  /// Whether runActions() is running.
  bool RunningActions = false;
  /// Whether the planned stop is complete, so that no more ticks are scheduled.
  bool StopComplete = false;
};

} // namespace mimosacart
