/// \file
/// One entry host: the core with sockets, timers and clocks round it.
#pragma once

#include "core/node.h"
#include "daemon/caller_protocol.h"
#include "daemon/claim_archive.h"
#include "daemon/configuration_watcher.h"
#include "daemon/event_log.h"
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

/// Feeds events to the core and carries out its actions.
class EntryHostProcess {
public:
  /// \p Exit is called once a planned stop is complete.
  EntryHostProcess(boost::asio::io_context &Context, HostSettings Settings,
                   std::function<void()> Exit);
  ~EntryHostProcess();
  EntryHostProcess(const EntryHostProcess &) = delete;
  EntryHostProcess &operator=(const EntryHostProcess &) = delete;

  /// Binds the addresses and begins to work.
  boost::outcome_v2::result<void, std::error_code> start();
  /// Begins a planned stop.
  void stop();
  /// Takes over settings that may change while the process runs.
  void reload(const HostSettings &Next);
  /// New settings could not be used; those in force stay.
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
  void carryOut();

  void run(CallServer &&Next);
  void run(CancelCall &&Next);
  void run(ReplyToCaller &&Next);
  void run(SendToPeer &&Next);
  void run(FetchConfiguration &&Next);
  void run(WriteJournal &&Next);
  void run(ReadJournal &&Next);
  void run(ProbeServer &&Next);
  void run(LogEvent &&Next);
  void run(RecordSpan &&Next);
  void run(Stopped &&Next);

  void onAdminRequest(const HttpRequest &Request, HttpExchange &Exchange);
  HttpResponse statusPage() const;
  HttpResponse explainPage(const std::string &TraceId) const;

  boost::asio::io_context &Context;
  const HostSettings Settings;
  const std::function<void()> Exit;
  const IncarnationId Incarnation;
  EventLog Log;
  TraceIds Ids;
  TraceRing Traces;
  Metrics Counted;
  Node Core;
  HttpClient Servers;
  HttpClient PlatformHttp;
  PlatformClient Platform;
  ClaimArchive Archive;
  ConfigurationWatcher Watcher;
  PeerTransport Peers;
  HttpServer Callers;
  HttpServer Admin;
  std::unique_ptr<Timer> Ticks;
  std::unordered_map<RequestId, OpenExchange> Exchanges;
  std::unordered_map<CallId, std::shared_ptr<HttpCallHandle>> Calls;
  std::uint64_t LastRequest = 0;
  bool CarryingOut = false;
  /// The planned stop is complete; only the exit is left.
  bool Finished = false;
};

} // namespace mimosacart
