#include "daemon/entry_host_process.h"

#include "daemon/invalid_message_log.h"
#include "net/asio.h"
#include "net/one_shot_timer.h"
#include "wire/peer_codec.h"

#include <boost/outcome/try.hpp>

#include <chrono>
#include <random>
#include <unistd.h>

namespace mimosacart {

namespace {

/// Interval of the ticks that drive timeouts in the core.
constexpr Duration TickInterval = std::chrono::milliseconds(5);
/// Number of spans kept for `mimosacartctl explain`.
constexpr std::size_t TraceCapacity = 20'000;
/// Largest answer read from a backend server or the platform.
constexpr std::size_t MaxAnswerBytes = 16U << 20U;
/// Longest idle time after which a connection is reused for an idempotent
/// request. Other requests always open a new connection.
constexpr Duration MaxConnectionIdle = std::chrono::seconds(30);
/// Longest time of a health probe.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);
/// Added to the clock, so that an Instant of zero always lies in the past.
constexpr Duration ClockOffset = std::chrono::hours(1);
/// Time to send the last bytes before the process exits.
constexpr Duration ExitDelay = std::chrono::milliseconds(100);

/// Returns the wall-clock time in milliseconds, followed by random low bits.
/// The time gives a later incarnation of a host a greater id, unless the clock
/// was set back. The random bits distinguish incarnations with the same time.
IncarnationId makeIncarnation() {
  constexpr unsigned RandomBits = 16;
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  std::random_device RandomDevice;
  const std::uint64_t LowBits = RandomDevice() & ((1U << RandomBits) - 1);
  return IncarnationId(
      (static_cast<std::uint64_t>(Milliseconds) << RandomBits) | LowBits);
}

NodeSettings makeNodeSettings(const HostSettings &Host,
                              IncarnationId Incarnation) {
  NodeSettings Result;
  Result.Self.Host = Host.Name;
  Result.Self.Incarnation = Incarnation;
  Result.Self.DataCentre = Host.DataCentre;
  Result.Self.PeerAddress = Host.toldPeerAddress();
  Result.Self.CallerAddress = Host.CallerAddress;
  Result.SeedAddresses = Host.SeedAddresses;
  Result.RandomSeed = Incarnation.value();
  Result.EntriesLifetime = Host.EntriesLifetime;
  Result.StopTimeout = Host.StopTimeout;
  Result.Scheduling.Pool.Balancing =
      makeBalancingPolicy(Host.Balancing, Incarnation.value());
  return Result;
}

HttpServerLimits toServerLimits(const CallerLimits &Limits) {
  return {Limits.HeaderBytes,           Limits.BodyBytes,   Limits.Connections,
          Limits.ConnectionsPerAddress, Limits.IdleTimeout, Limits.ReadTimeout};
}

CallResult toCallResult(HttpResult Result) {
  if (Result.has_value())
    return {CallEnd::Answered, toServerAnswer(std::move(Result.value()))};
  const std::error_code Error = Result.error();
  if (Error == NetError::ConnectFailed || Error == NetError::BadAddress)
    return {CallEnd::NotSent, nullptr};
  if (Error == NetError::TimedOut)
    return {CallEnd::TimedOut, nullptr};
  return {CallEnd::Broken, nullptr};
}

} // namespace

struct EntryHostProcess::Timer {
  explicit Timer(asio::io_context &Context) : Value(Context) {}
  OneShotTimer Value;
};

EntryHostProcess::EntryHostProcess(asio::io_context &IoContext,
                                   HostSettings InitialSettings,
                                   std::function<void()> StopHandler)
    : Context(IoContext), Settings(std::move(InitialSettings)),
      OnStopped(std::move(StopHandler)), Incarnation(makeIncarnation()),
      Log(Settings.Name.value(), parseLogLevel(Settings.LogLevel)),
      Ids(Incarnation.value()), Traces(TraceCapacity),
      Core(now(), makeNodeSettings(Settings, Incarnation)),
      Memory(Settings.MemoryBytes),
      ServerHttp(IoContext, MaxAnswerBytes, Memory.Answers,
                 logInvalidMessages(Log, "server"), Settings.SourceAddress),
      PlatformHttp(IoContext, MaxAnswerBytes, Memory.Platform,
                   logInvalidMessages(Log, "platform"), Settings.SourceAddress),
      Platform(PlatformHttp, Settings.PlatformAddress,
               Settings.PlatformTimeout),
      Archive(Platform),
      Watcher(IoContext, Platform, Settings.PlatformPoll, Log,
              {[this](const ConfigurationId &ConfigId) {
                 Core.onHeadSeen(now(), ConfigId);
                 runActions();
               },
               [this](ConfigurationPtr Configuration) {
                 Core.onConfiguration(now(), std::move(Configuration));
                 runActions();
               },
               [this](const PlatformHosts &Hosts) {
                 Core.onHostList(now(), Hosts.PeerAddresses,
                                 Hosts.LeavingServers);
                 runActions();
               }}),
      Peers(
          IoContext, [this](std::string_view Bytes) { onPeerBytes(Bytes); },
          [this](const std::string &Address, const std::string &Why) {
            Log.error("peer_address_unusable",
                      {{"address", Address}, {"why", Why}});
          }),
      CallerEndpoint(
          IoContext, toServerLimits(Settings.Limits),
          [this](HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
            onCallerRequest(std::move(Request), std::move(Exchange));
          },
          toRefusal, logInvalidMessages(Log, "caller"), Memory.Requests),
      AdminEndpoint(
          IoContext, {},
          [this](const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onAdminRequest(Request, *Exchange);
          },
          toRefusal, logInvalidMessages(Log, "admin"), Memory.Requests),
      TickTimer(std::make_unique<Timer>(IoContext)) {}

EntryHostProcess::~EntryHostProcess() = default;

Instant EntryHostProcess::now() const {
  const auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(SinceBoot) + ClockOffset);
}

boost::outcome_v2::result<void, std::error_code> EntryHostProcess::start() {
  BOOST_OUTCOME_TRYV(Peers.listen(Settings.PeerAddress));
  BOOST_OUTCOME_TRYV(AdminEndpoint.listen(Settings.AdminAddress));
  BOOST_OUTCOME_TRYV(CallerEndpoint.listen(Settings.CallerAddress));
  Log.info("started", {{"version", MIMOSACART_VERSION},
                       {"data_centre", Settings.DataCentre},
                       {"callers", Settings.CallerAddress},
                       {"peers", Settings.PeerAddress},
                       {"admin", Settings.AdminAddress}});
  Watcher.start();
  scheduleTick();
  return boost::outcome_v2::success();
}

void EntryHostProcess::stop() {
  Core.onStop(now());
  runActions();
}

void EntryHostProcess::reload(const HostSettings &NewSettings) {
  Log.setLevel(parseLogLevel(NewSettings.LogLevel));
  Log.info("reloaded", {{"log_level", NewSettings.LogLevel}});
}

void EntryHostProcess::rejectReload(const std::string &Reason) {
  Log.error("reload_rejected", {{"why", Reason}});
}

void EntryHostProcess::scheduleTick() {
  TickTimer->Value.start(TickInterval, [this] {
    Core.onTick(now());
    runActions();
    Log.flush();
    if (!StopComplete)
      scheduleTick();
  });
}

void EntryHostProcess::onCallerRequest(HttpRequest Request,
                                       std::shared_ptr<HttpExchange> Exchange) {
  if (Request.Target == EntriesPath && Request.Method == "GET") {
    Exchange->respond(toResponse(Core.entries(now())));
    return;
  }
  const RequestId Id(++LastRequestId);
  const RequestPtr Parsed = toCallerRequest(std::move(Request), Ids);
  Exchange->onGone([this, Id] {
    Exchanges.erase(Id);
    Core.onCallerGone(now(), Id);
    runActions();
  });
  Exchanges[Id] = {std::move(Exchange), Parsed->TraceId};
  Core.onCallerRequest(now(), Id, Parsed);
  runActions();
}

void EntryHostProcess::onPeerBytes(std::string_view Bytes) {
  auto Message = decode(Bytes);
  if (Message.has_error()) {
    HostMetrics.countForeignMessage();
    return;
  }
  const PeerMessage &Decoded = Message.value();
  HostMetrics.countPeerMessage("in", nameOf(Decoded.Body), Bytes.size());
  if (const auto *Received = std::get_if<ConfigurationBytes>(&Decoded.Body))
    Watcher.acceptFromPeer(Received->ConfigId, Received->Bytes);
  Core.onPeerMessage(now(), Decoded);
  runActions();
}

/// An action may cause further events before it returns. The loop that is
/// already running carries out the actions that these events request.
void EntryHostProcess::runActions() {
  if (RunningActions)
    return;
  RunningActions = true;
  std::vector<Action> Actions = Core.takeActions();
  while (!Actions.empty()) {
    for (Action &Current : Actions)
      std::visit([this](auto &Details) { run(std::move(Details)); }, Current);
    Actions = Core.takeActions();
  }
  RunningActions = false;
}

void EntryHostProcess::run(CallServer &&Details) {
  const CallId Id = Details.Call.Id;
  HttpCall Call;
  Call.Address = Details.Call.Server.Address;
  Call.Request = toServerRequest(Details.Call, Ids);
  Call.Timeout = Details.Call.Timeout;
  Call.MaxIdle =
      Details.Call.MayReuseIdle ? MaxConnectionIdle : Duration::zero();
  Calls[Id] = ServerHttp.call(std::move(Call), [this, Id](HttpResult Result) {
    Calls.erase(Id);
    Core.onCallResult(now(), Id, toCallResult(std::move(Result)));
    runActions();
  });
}

void EntryHostProcess::run(CancelCall &&Details) {
  const auto Found = Calls.find(Details.Id);
  if (Found == Calls.end())
    return;
  Found->second->cancel();
  Calls.erase(Found);
}

void EntryHostProcess::run(ReplyToCaller &&Details) {
  HostMetrics.countReply(Details.Reply);
  const auto Found = Exchanges.find(Details.Reply.Id);
  if (Found == Exchanges.end())
    return;
  HttpResponse Response = toResponse(*Details.Reply.Reply);
  Response.Headers.push_back({"Mimosacart-Trace-Id", Found->second.TraceId});
  const std::shared_ptr<HttpExchange> Exchange = Found->second.Exchange;
  Exchanges.erase(Found);
  Exchange->respond(std::move(Response));
}

void EntryHostProcess::run(SendToPeer &&Details) {
  const std::string Bytes = encode(Details.Message);
  HostMetrics.countPeerMessage("out", nameOf(Details.Message.Body),
                               Bytes.size());
  Peers.send(Details.Address, Bytes);
}

void EntryHostProcess::run(FetchConfiguration &&Details) {
  Watcher.fetch(Details.ConfigId);
}

void EntryHostProcess::run(WriteJournal &&Details) {
  Archive.writeSegment(Settings.Name, Incarnation, Details.Segment,
                       [this](bool Written) {
                         Core.onJournalWritten(now(), Written);
                         runActions();
                       });
}

void EntryHostProcess::run(ReadJournal &&Details) {
  Archive.findAnswer(Details.Token, Details.Key,
                     [this, Id = Details.Id](const AnswerPtr &Reply) {
                       Core.onJournalRead(now(), Id, Reply);
                       runActions();
                     });
}

void EntryHostProcess::run(ProbeServer &&Details) {
  HostMetrics.countProbe();
  HttpCall Call;
  Call.Address = Details.Server.Address;
  Call.Request = {"GET", "/health", {}, "", ""};
  Call.Timeout = ProbeTimeout;
  ServerHttp.call(std::move(Call),
                  [this, Name = Details.Server.Name](const HttpResult &Result) {
                    if (Result.has_error())
                      return;
                    const std::string *State =
                        findField(Result.value().Headers, ServerStateHeader);
                    const bool IsDraining =
                        State != nullptr && *State == "draining";
                    Core.onProbeResult(now(), Name, IsDraining);
                    runActions();
                  });
}

void EntryHostProcess::run(LogEvent &&Details) {
  Log.info(Details.Name, Details.Fields);
}

void EntryHostProcess::run(RecordSpan &&Details) {
  Traces.add(std::move(Details.Value));
}

void EntryHostProcess::run(Stopped && /*Details*/) {
  CallerEndpoint.stop();
  AdminEndpoint.stop();
  StopComplete = true;
  // The last answers and the leave message to the peers are still being sent.
  TickTimer->Value.start(ExitDelay, [this] { OnStopped(); });
}

} // namespace mimosacart
