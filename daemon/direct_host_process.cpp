#include "daemon/direct_host_process.h"

#include "daemon/text_page.h"
#include "net/asio.h"
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

constexpr std::size_t MaxAnswerBytes = 64U << 20U;
constexpr Duration StoreTimeout = std::chrono::milliseconds(1500);
/// The clock starts here, so that a time of zero always lies in the past.
constexpr Duration ClockOffset = std::chrono::hours(1);
/// How often a host looks whether it has to be found by others, or to find
/// them, through the store.
constexpr Duration MeetInterval = std::chrono::seconds(5);
constexpr Duration FirstMeet = std::chrono::milliseconds(900);
/// Hosts of the first ranks keep a row in the store each, and read those of the
/// others now and then, so that parts of the fleet that lost each other meet.
constexpr std::size_t MeetingRanks = 4;
constexpr unsigned RoundsPerRead = 3;
/// Part of the grace during which a stopping host takes new connections, for
/// callers that have not asked for the entry hosts since.
constexpr double AcceptingPart = 0.45;
/// Time before the end of the grace at which what is open is given up.
constexpr Duration GraceMargin = std::chrono::milliseconds(250);
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
/// Time for the last bytes to leave the process.
constexpr Duration ExitDelay = std::chrono::milliseconds(50);
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

/// Periods that keep the traffic between data centres low; a host that is
/// gone is noticed within about two seconds.
constexpr MembershipTimes FleetTimes = {
    .Period = std::chrono::milliseconds(800),
    .PeriodAlone = std::chrono::milliseconds(100),
    .AckTimeout = std::chrono::milliseconds(300),
    .SuspectAfter = std::chrono::milliseconds(700),
    .DeadAfter = std::chrono::milliseconds(800),
    .ForgetAfter = std::chrono::minutes(2),
};

std::uint64_t drawIncarnation() {
  std::random_device Device;
  constexpr unsigned HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device() | 1U;
}

DirectNodeSettings makeNodeSettings(const HostSettings &From,
                                    IncarnationId Incarnation) {
  DirectNodeSettings To;
  MemberRecord &Self = To.Fleet.Self;
  // Another life is another member, so that no clock has to order them.
  Self.Host =
      HostName(fmt::format("{}~{:08x}", From.Name.value(),
                           static_cast<std::uint32_t>(Incarnation.value())));
  Self.Incarnation = Incarnation;
  // Without a configuration no caller can be served.
  Self.Leaving = true;
  Self.DataCentre = From.DataCentre;
  Self.PeerAddress = From.PeerAddress;
  Self.CallerAddress = From.CallerAddress;
  To.Fleet.Seeds = From.SeedAddresses;
  To.Fleet.Times = FleetTimes;
  To.Fleet.RandomSeed = Incarnation.value();
  To.Retries = {From.Direct->RetryShare, From.Direct->RetrySlack,
                From.Direct->RetryWindow};
  return To;
}

HttpServerLimits toLimits(const CallerRequestLimits &From) {
  HttpServerLimits To;
  To.HeaderBytes = From.HeaderBytes;
  To.BodyBytes = From.BodyBytes;
  To.IdleTimeout = From.IdleTimeout;
  To.ReadTimeout = std::max(From.HeaderTimeout, To.ReadTimeout);
  return To;
}

} // namespace

struct DirectHostProcess::Timers {
  explicit Timers(asio::io_context &Context)
      : Core(Context), Meeting(Context), Stop(Context) {}
  asio::steady_timer Core;
  asio::steady_timer Meeting;
  asio::steady_timer Stop;
};

DirectHostProcess::DirectHostProcess(asio::io_context &Io, HostSettings Given,
                                     std::function<void()> WhenStopped)
    : Context(Io), Settings(std::move(Given)), Exit(std::move(WhenStopped)),
      Incarnation(drawIncarnation()),
      Log(Settings.Name.value(), parseLogLevel(Settings.LogLevel)),
      Servers(Io, MaxAnswerBytes), StoreHttp(Io, MaxAnswerBytes),
      Store(StoreHttp, Settings.PlatformAddress, StoreTimeout),
      Peers(Io, [this](std::string_view Bytes) { onPeerBytes(Bytes); }),
      Core(now(), makeNodeSettings(Settings, Incarnation), coreHooks()),
      RouteFollower(Io, Store, RoutesTableName, Log,
                    followerHooks(StoreTable::Routes)),
      ServerFollower(Io, Store, ServersTableName, Log,
                     followerHooks(StoreTable::Servers)),
      Callers(
          Io, toLimits({}),
          [this](HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
            onCallerRequest(std::move(Request), std::move(Exchange));
          },
          writeRequestError),
      Directory(
          Io, {},
          [this](const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onDirectoryRequest(Request, *Exchange);
          },
          writeRequestError),
      Readiness(
          Io, {},
          [this](const HttpRequest & /*Request*/,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onReadinessRequest(*Exchange);
          },
          writeRequestError),
      Admin(
          Io, {},
          [this](const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onAdminRequest(Request, *Exchange);
          },
          writeRequestError),
      Clock(std::make_unique<Timers>(Io)) {}

DirectHostProcess::~DirectHostProcess() = default;

/// Counts the time in which the machine was suspended, so that no request
/// outlives its deadline by it.
Instant DirectHostProcess::now() const {
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  const auto SinceBoot = std::chrono::seconds(Value.tv_sec) +
                         std::chrono::nanoseconds(Value.tv_nsec);
  return Instant(std::chrono::duration_cast<Duration>(SinceBoot) + ClockOffset);
}

DirectNode::Hooks DirectHostProcess::coreHooks() {
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
  Result.Reply = [this](const FlowResult &Answer) { reply(Answer); };
  Result.Send = [this](const std::string &Address, const PeerMessage &Message) {
    Peers.send(Address, encode(Message));
  };
  Result.ReadConfiguration = readConfiguration;
  Result.ReadServer = readServer;
  Result.SetReadMode = [this](ReadMode Mode) {
    RouteFollower.follow(Mode);
    ServerFollower.follow(Mode);
  };
  Result.Configured = [this](const RouteConfiguration &Configuration) {
    configure(Configuration);
  };
  Result.Log = [this](const char *Event, const FlowFields &Fields) {
    Log.info(Event, Fields);
  };
  return Result;
}

TableFollower::Hooks DirectHostProcess::followerHooks(StoreTable Table) {
  TableFollower::Hooks Result;
  Result.Whole = [this, Table](const std::vector<TableRow> &Rows,
                               std::uint64_t Version) {
    const bool Taken = Core.onWholeTable(now(), Table, Rows, Version);
    settle();
    return Taken;
  };
  Result.Changed = [this, Table](const std::vector<TableRow> &Rows,
                                 std::uint64_t Version) {
    Core.onRows(now(), Table, Rows, Version);
    settle();
  };
  Result.Lost = [this, Table] {
    if (Table == StoreTable::Servers)
      Core.onStoreLost(now());
  };
  Result.Regained = [this, Table] {
    if (Table == StoreTable::Servers)
      Core.onStoreRegained(now());
  };
  Result.Known = [this, Table] { return Core.tableVersion(Table); };
  Result.LongestRetry = [this] { return Core.longestStoreRetry(); };
  return Result;
}

boost::outcome_v2::result<void, std::error_code> DirectHostProcess::start() {
  BOOST_OUTCOME_TRYV(Peers.listen(Settings.PeerAddress));
  BOOST_OUTCOME_TRYV(Admin.listen(Settings.AdminAddress));
  BOOST_OUTCOME_TRYV(Readiness.listen(Settings.Direct->ReadinessAddress));
  BOOST_OUTCOME_TRYV(Directory.listen(Settings.Direct->DirectoryAddress));
  BOOST_OUTCOME_TRYV(Callers.listen(Settings.CallerAddress));
  Log.info("started", {{"version", MIMOSACART_VERSION},
                       {"data_centre", Settings.DataCentre},
                       {"callers", Settings.CallerAddress},
                       {"peers", Settings.PeerAddress},
                       {"admin", Settings.AdminAddress},
                       {"life", std::to_string(Incarnation.value())}});
  RouteFollower.start();
  ServerFollower.start();
  scheduleMeeting(FirstMeet, 1);
  settle();
  return boost::outcome_v2::success();
}

void DirectHostProcess::configure(const RouteConfiguration &Configuration) {
  Callers.setLimits(toLimits(Configuration.Limits));
}

void DirectHostProcess::onCallerRequest(
    HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
  const RequestId Id(++LastRequest);
  const std::string *HostField = findField(Request.Headers, "Host");
  const std::string Host = HostField ? *HostField : std::string();
  const RequestPtr Read = readCallerRequest(std::move(Request));
  Exchange->onGone([this, Id] {
    Exchanges.erase(Id);
    Core.onCallerGone(now(), Id);
    settle();
  });
  Exchanges[Id] = std::move(Exchange);
  Core.onRequest(now(), Id, Host, Read);
  settle();
}

void DirectHostProcess::reply(const FlowResult &Result) {
  Counted.countReply(Result);
  const auto Found = Exchanges.find(Result.Id);
  if (Found == Exchanges.end())
    return;
  const std::shared_ptr<HttpExchange> Exchange = std::move(Found->second);
  Exchanges.erase(Found);
  Exchange->respond(writeCallerAnswer(Result));
}

void DirectHostProcess::callServer(const DirectCall &Call) {
  const CallId Id = Call.Id;
  Calls[Id] =
      Servers.call(writeServerCall(Call), [this, Id](const HttpResult &Result) {
        Calls.erase(Id);
        Core.onCallResult(now(), Id, readServerAnswer(Result));
        settle();
      });
}

void DirectHostProcess::probeServer(const DirectProbe &Probe) {
  Servers.call(writeProbe(Probe),
               [this, Id = Probe.Id](const HttpResult &Result) {
                 Core.onProbeResult(now(), Id, readProbe(Result));
                 settle();
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
  settle();
}

void DirectHostProcess::onDirectoryRequest(const HttpRequest &Request,
                                           HttpExchange &Exchange) {
  const bool Known = Request.Target.starts_with(DirectoryPath);
  if (!Known) {
    Exchange.respond({StatusNotFound, {}, ""});
    return;
  }
  Exchange.respond(writeDirectory(Core.callerAddresses(),
                                  Settings.Direct->DirectoryLifetime,
                                  ++DirectoryAnswers));
}

void DirectHostProcess::onReadinessRequest(HttpExchange &Exchange) {
  Exchange.respond({Core.ready() ? StatusOk : StatusUnavailable, {}, ""});
}

void DirectHostProcess::onAdminRequest(const HttpRequest &Request,
                                       HttpExchange &Exchange) {
  if (Request.Target == "/health/live") {
    Exchange.respond(textPage(StatusOk, "live\n"));
    return;
  }
  if (Request.Target != "/metrics") {
    Exchange.respond(textPage(StatusNotFound, "no such page\n"));
    return;
  }
  const std::uint64_t StoreCalls =
      RouteFollower.calls() + ServerFollower.calls();
  Exchange.respond(
      textPage(StatusOk, Counted.render(Core, Peers.counters(), StoreCalls,
                                        Callers.connections())));
}

void DirectHostProcess::settle() {
  Log.flush();
  const Instant Next = Core.nextTick();
  if (Next == TimerAt)
    return;
  TimerAt = Next;
  const Duration Wait = std::max(Duration::zero(), Next - now());
  Clock->Core.expires_after(Wait);
  Clock->Core.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      onTimer();
  });
}

void DirectHostProcess::onTimer() {
  TimerAt = Instant::max();
  Core.tick(now());
  settle();
}

void DirectHostProcess::scheduleMeeting(Duration Pause, unsigned Round) {
  Clock->Meeting.expires_after(Pause);
  Clock->Meeting.async_wait([this, Round](boost::system::error_code Error) {
    if (!Error && !Core.stopping())
      meet(Round);
  });
}

/// Seeds may be stale, so that hosts also find each other through the store.
void DirectHostProcess::meet(unsigned Round) {
  const bool Alone = Core.hosts() == 1;
  const bool Listed = Core.rank() < MeetingRanks;
  if (Listed && !Registered)
    registerHost();
  if (Alone || (Listed && Round % RoundsPerRead == 0))
    readPeers();
  scheduleMeeting(MeetInterval, Round + 1);
}

void DirectHostProcess::registerHost() {
  Registered = true;
  Store.writeRow(
      HostsTableName, Settings.Name.value(), writeHost(Settings.PeerAddress),
      [this](const StoreResult<void> &Result) {
        if (Result.has_value())
          return;
        Registered = false;
        Log.error("host_row_not_written", {{"why", Result.error().message()}});
      });
}

void DirectHostProcess::readPeers() {
  Store.readRows(HostsTableName, "", [this](StoreResult<StoreRows> Result) {
    if (Result.has_error()) {
      Log.error("host_rows_not_read", {{"why", Result.error().message()}});
      return;
    }
    std::vector<std::string> Addresses;
    for (const TableRow &Row : Result.value().Rows)
      if (const auto Address = readHost(Row))
        Addresses.push_back(*Address);
      else
        Log.error("host_row_unusable", {{"row", Row.Key}});
    Core.onPeerAddresses(std::move(Addresses));
  });
}

void DirectHostProcess::reload(const HostSettings &Next) {
  Settings.LogLevel = Next.LogLevel;
  Settings.Direct->DirectoryLifetime = Next.Direct->DirectoryLifetime;
  Settings.Direct->StopGrace = Next.Direct->StopGrace;
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
  Core.onStop(now());
  Callers.drain();
  if (Registered)
    Store.removeRow(HostsTableName, Settings.Name.value(),
                    [this](const StoreResult<void> &Result) {
                      if (Result.has_error())
                        Log.error("host_row_not_removed",
                                  {{"why", Result.error().message()}});
                    });
  settle();
  advanceStop();
}

void DirectHostProcess::advanceStop() {
  const Duration Grace = Settings.Direct->StopGrace;
  const Duration Age = now() - StopStartedAt;
  const Duration Accepting = scaled(Grace, AcceptingPart);
  if (Age >= Accepting && !CallersClosed) {
    CallersClosed = true;
    Callers.stop();
  }
  const bool Idle = CallersClosed && Callers.connections() == 0;
  if (!Idle && Age < Grace - GraceMargin) {
    Clock->Stop.expires_after(StopCheckInterval);
    Clock->Stop.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        advanceStop();
    });
    return;
  }
  Core.onEnd(now());
  Log.info("stopped", {{"open_requests", std::to_string(Core.openRequests())},
                       {"after_ms", std::to_string(wholeMilliseconds(Age))}});
  Log.flush();
  Clock->Stop.expires_after(ExitDelay);
  Clock->Stop.async_wait(
      [this](boost::system::error_code /*Error*/) { Exit(); });
}

} // namespace mimosacart
