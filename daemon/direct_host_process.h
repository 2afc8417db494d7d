/// \file
/// One entry host that calls discovered servers itself: the decisions with
/// sockets, timers and clocks round them.
#pragma once

#include "daemon/direct_metrics.h"
#include "daemon/event_log.h"
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

/// Feeds events to the decisions and carries out what they ask for.
class DirectHostProcess {
public:
  /// \p Settings must have a table for direct hosts; \p Exit is called once a
  /// planned stop is complete.
  DirectHostProcess(boost::asio::io_context &Context, HostSettings Settings,
                    std::function<void()> Exit);
  ~DirectHostProcess();
  DirectHostProcess(const DirectHostProcess &) = delete;
  DirectHostProcess &operator=(const DirectHostProcess &) = delete;

  /// Binds the addresses and begins to work.
  boost::outcome_v2::result<void, std::error_code> start();
  /// Begins a planned stop.
  void stop();
  /// Takes over settings that may change while the process runs.
  void reload(const HostSettings &Next);
  /// New settings could not be used; those in force stay.
  void rejectReload(const std::string &Reason);

private:
  struct Timers;

  Instant now() const;
  DirectNode::Hooks coreHooks();
  TableFollower::Hooks followerHooks(StoreTable Table);
  void onCallerRequest(HttpRequest Request,
                       std::shared_ptr<HttpExchange> Exchange);
  void onDirectoryRequest(const HttpRequest &Request, HttpExchange &Exchange);
  void onReadinessRequest(HttpExchange &Exchange);
  void onAdminRequest(const HttpRequest &Request, HttpExchange &Exchange);
  void onPeerBytes(std::string_view Bytes);
  void callServer(const DirectCall &Call);
  void probeServer(const DirectProbe &Probe);
  void reply(const FlowResult &Result);
  void configure(const RouteConfiguration &Configuration);
  /// To be called after each event: sets the timer and hands logs on.
  void settle();
  void onTimer();
  void scheduleMeeting(Duration Pause, unsigned Round);
  void meet(unsigned Round);
  void registerHost();
  void readPeers();
  void advanceStop();

  boost::asio::io_context &Context;
  HostSettings Settings;
  const std::function<void()> Exit;
  const IncarnationId Incarnation;
  EventLog Log;
  DirectMetrics Counted;
  HttpClient Servers;
  HttpClient StoreHttp;
  StoreClient Store;
  PeerTransport Peers;
  DirectNode Core;
  TableFollower RouteFollower;
  TableFollower ServerFollower;
  HttpServer Callers;
  HttpServer Directory;
  HttpServer Readiness;
  HttpServer Admin;
  std::unique_ptr<Timers> Clock;
  Instant TimerAt = Instant::max();
  Instant StopStartedAt{};
  bool CallersClosed = false;
  /// This host's row is in the store, or on its way there.
  bool Registered = false;
  std::unordered_map<RequestId, std::shared_ptr<HttpExchange>> Exchanges;
  std::unordered_map<CallId, std::shared_ptr<HttpCallHandle>> Calls;
  std::uint64_t LastRequest = 0;
  /// Hosts begin with different parts of the list.
  std::uint64_t DirectoryAnswers = Incarnation.value();
};

} // namespace mimosacart
