#include "daemon/direct_host_process.h"

#include "daemon/direct_node_settings.h"
#include "daemon/invalid_message_log.h"
#include "daemon/text_page.h"
#include "net/asio.h"
#include "net/one_shot_timer.h"
#include "platform/http_codec.h"
#include "platform/row_codec.h"
#include "wire/peer_codec.h"

#include <boost/outcome/try.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <random>

namespace mimosacart {

namespace {

/// Largest answer read from a backend server or the store, if memory allows.
constexpr std::size_t MaxAnswerBytes = 64U << 20U;
/// Longest time of a call to the store, except for waits for changes.
constexpr Duration StoreTimeout = std::chrono::milliseconds(1500);
/// Added to the clock, so that an Instant of zero always lies in the past.
constexpr Duration ClockOffset = std::chrono::hours(1);
/// Interval of the rounds in which a host checks whether it must register in
/// the store or look for other hosts there.
constexpr Duration DiscoveryInterval = std::chrono::seconds(5);
/// Time from the start of the process to the first of these rounds.
constexpr Duration FirstDiscoveryDelay = std::chrono::milliseconds(900);
/// Number of hosts that keep a row in the store: those with the lowest ranks.
/// They also read the rows of the others periodically, so that parts of the
/// fleet that lost each other meet again.
constexpr std::size_t RegisteredRanks = 4;
/// Number of discovery rounds from one of these reads to the next.
constexpr unsigned RoundsPerPeerRead = 3;
/// Fraction of the stop grace during which a stopping host accepts new
/// connections, for callers that have not yet fetched the new list of entry
/// hosts.
constexpr double AcceptFraction = 0.45;
/// Time before the end of the stop grace at which requests that are still open
/// are abandoned.
constexpr Duration StopMargin = std::chrono::milliseconds(250);
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
/// Time to send the last bytes before the process exits.
constexpr Duration ExitDelay = std::chrono::milliseconds(50);
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

/// A random number other than zero.
std::uint64_t makeIncarnation() {
  std::random_device RandomDevice;
  constexpr unsigned HalfBits = 32;
  return (static_cast<std::uint64_t>(RandomDevice()) << HalfBits) |
         RandomDevice() | 1U;
}

HttpServerLimits toServerLimits(const CallerRequestLimits &Limits,
                                std::size_t MaxConnections) {
  HttpServerLimits Result;
  Result.Connections = std::min(Result.Connections, MaxConnections);
  Result.HeaderBytes = Limits.HeaderBytes;
  Result.BodyBytes = Limits.BodyBytes;
  Result.IdleTimeout = Limits.IdleTimeout;
  Result.ReadTimeout = std::max(Limits.HeaderTimeout, Result.ReadTimeout);
  return Result;
}

} // namespace

struct DirectHostProcess::Timers {
  explicit Timers(asio::io_context &Context)
      : Tick(Context), Discovery(Context), Stop(Context) {}
  OneShotTimer Tick;
  OneShotTimer Discovery;
  OneShotTimer Stop;
};

DirectHostProcess::DirectHostProcess(asio::io_context &IoContext,
                                     HostSettings InitialSettings,
                                     std::function<void()> StopHandler)
    : Context(IoContext), Settings(std::move(InitialSettings)),
      OnStopped(std::move(StopHandler)), Incarnation(makeIncarnation()),
      Log(Settings.Name.value(), parseLogLevel(Settings.LogLevel)),
      Memory(Settings.MemoryBytes),
      ServerHttp(IoContext, MaxAnswerBytes, Memory.Answers,
                 logInvalidMessages(Log, "server"), Settings.SourceAddress),
      StoreHttp(IoContext, MaxAnswerBytes, Memory.Platform,
                logInvalidMessages(Log, "store"), Settings.SourceAddress),
      Store(StoreHttp, Settings.PlatformAddress, StoreTimeout, makeEraHooks()),
      CrashRecordRows(Store, Log, makeCrashRecordHooks()),
      HostRegistration(Store, Log, Settings.Name.value(),
                       Settings.toldPeerAddress()),
      Peers(
          IoContext, [this](std::string_view Bytes) { onPeerBytes(Bytes); },
          [this](const std::string &Address, const std::string &Why) {
            Log.error("peer_address_unusable",
                      {{"address", Address}, {"why", Why}});
          },
          Memory.MaxPeerMessageBytes, Settings.SourceAddress),
      Core(now(), makeNodeSettings(Settings, Incarnation), makeCoreHooks()),
      RouteFollower(makeTableCalls(IoContext, Store, RoutesTableName),
                    RoutesTableName, Log, makeFollowerHooks(StoreTable::Routes),
                    std::random_device()()),
      ServerFollower(
          makeTableCalls(IoContext, Store, ServersTableName), ServersTableName,
          Log, makeFollowerHooks(StoreTable::Servers), std::random_device()()),
      CallerEndpoint(
          IoContext, toServerLimits({}, Memory.MaxConnections),
          [this](HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
            onCallerRequest(std::move(Request), std::move(Exchange));
          },
          writeRequestError, logInvalidMessages(Log, "caller"),
          Memory.Requests),
      DirectoryEndpoint(
          IoContext, {},
          [this](const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onDirectoryRequest(Request, *Exchange);
          },
          writeRequestError, logInvalidMessages(Log, "directory"),
          Memory.Requests),
      ReadinessEndpoint(
          IoContext, {},
          [this](const HttpRequest & /*Request*/,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onReadinessRequest(*Exchange);
          },
          writeRequestError, logInvalidMessages(Log, "readiness"),
          Memory.Requests),
      AdminEndpoint(
          IoContext, {},
          [this](const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onAdminRequest(Request, *Exchange);
          },
          writeRequestError, logInvalidMessages(Log, "admin"), Memory.Requests),
      HostTimers(std::make_unique<Timers>(IoContext)) {}

DirectHostProcess::~DirectHostProcess() = default;

/// The clock also runs while the machine is suspended, so that a suspension
/// does not extend the deadline of a request.
Instant DirectHostProcess::now() const {
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  const auto SinceBoot = std::chrono::seconds(Value.tv_sec) +
                         std::chrono::nanoseconds(Value.tv_nsec);
  return Instant(std::chrono::duration_cast<Duration>(SinceBoot) + ClockOffset);
}

DirectNode::Hooks DirectHostProcess::makeCoreHooks() {
  DirectNode::Hooks Result;
  Result.Call = [this](const DirectCall &Call) { callServer(Call); };
  Result.Cancel = [this](CallId Id) {
    const auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    Found->second->cancel();
    Calls.erase(Found);
  };
  Result.Probe = [this](const DirectProbe &Probe) { probeServer(Probe); };
  Result.Reply = [this](const FlowResult &RequestResult) {
    reply(RequestResult);
  };
  Result.Send = [this](const std::string &Address, const PeerMessage &Message) {
    Peers.send(Address, encode(Message));
  };
  Result.ReadConfiguration = readConfiguration;
  Result.ReadEvacuation = readEvacuation;
  Result.ReadServer = readServer;
  Result.SetReadMode = [this](StoreTable Table, ReadMode Mode) {
    follower(Table).setReadMode(Mode);
  };
  Result.ReadTable = [this](StoreTable Table) { follower(Table).readTable(); };
  Result.Configured = [this](const RouteConfiguration &Configuration) {
    applyConfiguration(Configuration);
  };
  Result.StoreEraChanged = [this] { HostRegistration.renew(); };
  Result.Log = [this](const char *Event, const FlowFields &Fields) {
    Log.info(Event, Fields);
  };
  Result.Records = CrashRecordRows.coreHooks();
  Result.Clock = [this] { return now(); };
  Result.IsCallerGone = [this](RequestId Id) {
    return !Exchanges.contains(Id) || Exchanges.at(Id)->isGone();
  };
  return Result;
}

StoreEraReader::Hooks DirectHostProcess::makeEraHooks() {
  StoreEraReader::Hooks Result;
  Result.Changed = [this](std::optional<std::uint64_t> Before,
                          std::uint64_t Latest) {
    // The first rows that the core gets tell it the era in which it starts.
    if (Before)
      Core.onStoreEra(now(), Latest);
  };
  Result.Faulty = [this](EraFault Fault, const std::string &Text) {
    Log.error("store_era_unusable", {{"fault", toString(Fault)},
                                     {"text", Text},
                                     {"era", std::to_string(Core.storeEra())}});
  };
  return Result;
}

CrashRecordStore::Hooks DirectHostProcess::makeCrashRecordHooks() {
  CrashRecordStore::Hooks Result;
  Result.Changed = [this](std::uint64_t Fingerprint, bool Succeeded) {
    Core.onCrashRecordChanged(Fingerprint, Succeeded);
  };
  Result.Read = [this](std::vector<CrashNotice> Recorded) {
    Core.onCrashRecordsRead(now(), std::move(Recorded));
    finishEvent();
  };
  return Result;
}

TableFollower::Hooks DirectHostProcess::makeFollowerHooks(StoreTable Table) {
  TableFollower::Hooks Result;
  Result.TableRead = [this, Table](const std::vector<TableRow> &Rows,
                                   StoreVersion Version) {
    const bool Accepted = Core.onWholeTable(now(), Table, Rows, Version);
    finishEvent();
    return Accepted;
  };
  Result.RowsChanged = [this, Table](const std::vector<TableRow> &Rows,
                                     StoreVersion Version) {
    Core.onRows(now(), Table, Rows, Version);
    finishEvent();
  };
  Result.StoreLost = [this, Table] {
    if (Table == StoreTable::Servers)
      Core.onStoreLost(now());
  };
  Result.StoreRegained = [this, Table] {
    if (Table == StoreTable::Servers)
      Core.onStoreRegained(now());
  };
  Result.KnownVersion = [this, Table] { return Core.tableVersion(Table); };
  Result.LongestRetry = [this] { return Core.longestStoreRetry(); };
  Result.WholeReadDelay = [this](bool AfterFailures) {
    return Core.wholeReadDelay(AfterFailures);
  };
  return Result;
}

boost::outcome_v2::result<void, std::error_code> DirectHostProcess::start() {
  BOOST_OUTCOME_TRYV(Peers.listen(Settings.PeerAddress));
  BOOST_OUTCOME_TRYV(AdminEndpoint.listen(Settings.AdminAddress));
  BOOST_OUTCOME_TRYV(
      ReadinessEndpoint.listen(Settings.Direct->ReadinessAddress));
  BOOST_OUTCOME_TRYV(
      DirectoryEndpoint.listen(Settings.Direct->DirectoryAddress));
  BOOST_OUTCOME_TRYV(CallerEndpoint.listen(Settings.CallerAddress));
  Log.info("started", {{"version", MIMOSACART_VERSION},
                       {"data_centre", Settings.DataCentre},
                       {"callers", Settings.CallerAddress},
                       {"peers", Settings.PeerAddress},
                       {"admin", Settings.AdminAddress},
                       {"life", std::to_string(Incarnation.value())}});
  scheduleDiscovery(FirstDiscoveryDelay, 1);
  finishEvent();
  return boost::outcome_v2::success();
}

void DirectHostProcess::applyConfiguration(
    const RouteConfiguration &Configuration) {
  CallerEndpoint.setLimits(
      toServerLimits(Configuration.Limits, Memory.MaxConnections));
}

void DirectHostProcess::onCallerRequest(
    HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
  const RequestId Id(++LastRequestId);
  const std::string *HostField = findField(Request.Headers, "Host");
  const std::string Host = HostField ? *HostField : std::string();
  const RequestPtr Parsed = readCallerRequest(std::move(Request));
  Exchange->onGone([this, Id] {
    Exchanges.erase(Id);
    Core.onCallerGone(now(), Id);
    finishEvent();
  });
  Exchanges[Id] = std::move(Exchange);
  Core.onRequest(now(), Id, Host, Parsed);
  finishEvent();
}

void DirectHostProcess::reply(const FlowResult &Result) {
  HostMetrics.countReply(Result);
  const auto Found = Exchanges.find(Result.Id);
  if (Found == Exchanges.end())
    return;
  const std::shared_ptr<HttpExchange> Exchange = std::move(Found->second);
  Exchanges.erase(Found);
  Exchange->respond(writeCallerAnswer(Result));
}

void DirectHostProcess::callServer(const DirectCall &Call) {
  const CallId Id = Call.Id;
  Calls[Id] = ServerHttp.call(
      writeServerCall(Call), [this, Id](const HttpResult &Result) {
        Calls.erase(Id);
        Core.onCallResult(now(), Id, readServerAnswer(Result));
        finishEvent();
      });
}

void DirectHostProcess::probeServer(const DirectProbe &Probe) {
  ServerHttp.call(writeProbe(Probe),
                  [this, Id = Probe.Id](const HttpResult &Result) {
                    Core.onProbeResult(now(), Id, readProbe(Result));
                    finishEvent();
                  });
}

void DirectHostProcess::onPeerBytes(std::string_view Bytes) {
  const auto Message = decode(Bytes);
  if (Message.has_error()) {
    Log.error("peer_message_unreadable",
              {{"why", Message.error().message()},
               {"bytes", std::to_string(Bytes.size())}});
    return;
  }
  Core.onPeerMessage(now(), Message.value());
  finishEvent();
}

void DirectHostProcess::onDirectoryRequest(const HttpRequest &Request,
                                           HttpExchange &Exchange) {
  const bool PathMatches = Request.Target.starts_with(DirectoryPath);
  if (!PathMatches) {
    Exchange.respond({StatusNotFound, {}, ""});
    return;
  }
  const DirectoryQuery Query = readDirectoryQuery(Request.Target);
  Exchange.respond(writeDirectory(Core.callerAddresses(Query.Destination),
                                  Settings.Direct->DirectoryLifetime,
                                  ++DirectoryRotation));
}

void DirectHostProcess::onReadinessRequest(HttpExchange &Exchange) {
  Exchange.respond({Core.ready() ? StatusOk : StatusUnavailable, {}, ""});
}

void DirectHostProcess::onAdminRequest(const HttpRequest &Request,
                                       HttpExchange &Exchange) {
  if (Request.Target == "/health/live") {
    Exchange.respond(makeTextPage(StatusOk, "live\n"));
    return;
  }
  if (Request.Target != "/metrics") {
    Exchange.respond(makeTextPage(StatusNotFound, "no such page\n"));
    return;
  }
  Exchange.respond(makeTextPage(
      StatusOk, HostMetrics.render(Core, Peers.counters(), countStoreCalls(),
                                   Memory, CallerEndpoint.connections())));
}

StoreCallsByCause DirectHostProcess::countStoreCalls() const {
  StoreCallsByCause Result;
  for (const StoreTable Table : {StoreTable::Routes, StoreTable::Servers}) {
    const StoreCallCounts &Counts =
        (Table == StoreTable::Routes ? RouteFollower : ServerFollower).calls();
    const std::string Prefix = toString(Table);
    Result[Prefix + "_pages"] = Counts.Pages;
    Result[Prefix + "_fetches"] = Counts.Fetches;
    Result[Prefix + "_polls"] = Counts.Polls;
  }
  Result["crash_records"] = CrashRecordRows.calls();
  Result["host_rows"] = HostRegistration.calls();
  return Result;
}

void DirectHostProcess::finishEvent() {
  Log.flush();
  const Instant NextTick = Core.nextTick();
  if (NextTick == TickTimerExpiry)
    return;
  TickTimerExpiry = NextTick;
  const Duration Wait = std::max(Duration::zero(), NextTick - now());
  HostTimers->Tick.start(Wait, [this] { onTickTimer(); });
}

void DirectHostProcess::onTickTimer() {
  TickTimerExpiry = Instant::max();
  Core.tick(now());
  finishEvent();
}

void DirectHostProcess::scheduleDiscovery(Duration Delay, unsigned Round) {
  HostTimers->Discovery.start(Delay, [this, Round] {
    if (!Core.stopping())
      discoverPeers(Round);
  });
}

/// The seed addresses may be out of date, so hosts also find each other through
/// the store.
void DirectHostProcess::discoverPeers(unsigned Round) {
  const bool IsAlone = Core.hosts() == 1;
  const bool ShouldRegister = Core.rank() < RegisteredRanks;
  if (ShouldRegister)
    HostRegistration.add();
  if (IsAlone || (ShouldRegister && Round % RoundsPerPeerRead == 0))
    HostRegistration.read([this](std::vector<std::string> Addresses) {
      Core.onPeerAddresses(std::move(Addresses));
    });
  scheduleDiscovery(DiscoveryInterval, Round + 1);
}

void DirectHostProcess::reload(const HostSettings &NewSettings) {
  Settings.LogLevel = NewSettings.LogLevel;
  Settings.Direct->DirectoryLifetime = NewSettings.Direct->DirectoryLifetime;
  Settings.Direct->StopGrace = NewSettings.Direct->StopGrace;
  Settings.Direct->HedgeShare = NewSettings.Direct->HedgeShare;
  Core.setHedgeShare(Settings.Direct->HedgeShare);
  Log.setLevel(parseLogLevel(Settings.LogLevel));
  Log.info("reloaded", {{"log_level", Settings.LogLevel}});
  Log.flush();
}

void DirectHostProcess::rejectReload(const std::string &Reason) {
  Log.error("reload_rejected", {{"why", Reason}});
  Log.flush();
}

void DirectHostProcess::stop() {
  if (Core.stopping())
    return;
  StopStartedAt = now();
  Log.info("stopping",
           {{"open_requests", std::to_string(Core.openRequests())},
            {"grace_ms",
             std::to_string(wholeMilliseconds(Settings.Direct->StopGrace))}});
  const Duration StopGrace = Settings.Direct->StopGrace;
  Core.onStop(StopStartedAt, StopStartedAt + scaled(StopGrace, AcceptFraction),
              StopStartedAt + StopGrace - StopMargin);
  CallerEndpoint.drain();
  HostRegistration.remove();
  finishEvent();
  advanceStop();
}

void DirectHostProcess::advanceStop() {
  const Duration StopGrace = Settings.Direct->StopGrace;
  const Duration Elapsed = now() - StopStartedAt;
  const Duration AcceptTime = scaled(StopGrace, AcceptFraction);
  if (Elapsed >= AcceptTime && !CallerEndpointStopped) {
    CallerEndpointStopped = true;
    CallerEndpoint.stop();
  }
  const bool IsIdle =
      CallerEndpointStopped && CallerEndpoint.connections() == 0;
  if (!IsIdle && Elapsed < StopGrace - StopMargin) {
    HostTimers->Stop.start(StopCheckInterval, [this] { advanceStop(); });
    return;
  }
  Core.onEnd(now());
  Log.info("stopped",
           {{"open_requests", std::to_string(Core.openRequests())},
            {"after_ms", std::to_string(wholeMilliseconds(Elapsed))}});
  Log.flush();
  HostTimers->Stop.start(ExitDelay, [this] { OnStopped(); });
}

} // namespace mimosacart
