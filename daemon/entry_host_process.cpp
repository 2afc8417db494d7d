#include "daemon/entry_host_process.h"

#include "net/asio.h"
#include "wire/peer_codec.h"

#include <boost/outcome/try.hpp>

#include <chrono>
#include <random>
#include <unistd.h>

namespace mimosacart {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(5);
/// Spans kept for `explain`.
constexpr std::size_t TraceCapacity = 20'000;
/// Largest answer taken from a backend server.
constexpr std::size_t MaxAnswerBytes = 16U << 20U;
/// An idle connection may carry an idempotent request for this long.
constexpr Duration MaxIdle = std::chrono::seconds(30);
/// Time that a health probe may take.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);
/// The clock starts here, so that a time of zero always lies in the past.
constexpr Duration ClockOffset = std::chrono::hours(1);

/// Time for the last bytes to leave the process.
constexpr Duration ExitDelay = std::chrono::milliseconds(100);

/// Greater for each later life of a host, also if its clock was set back
/// within the same millisecond of another.
IncarnationId makeIncarnation() {
  constexpr unsigned RandomBits = 16;
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  std::random_device Device;
  const std::uint64_t Low = Device() & ((1U << RandomBits) - 1);
  return IncarnationId(
      (static_cast<std::uint64_t>(Milliseconds) << RandomBits) | Low);
}

NodeSettings makeNodeSettings(const HostSettings &From,
                              IncarnationId Incarnation) {
  NodeSettings To;
  To.Self.Host = From.Name;
  To.Self.Incarnation = Incarnation;
  To.Self.DataCentre = From.DataCentre;
  To.Self.PeerAddress = From.PeerAddress;
  To.Self.CallerAddress = From.CallerAddress;
  To.SeedAddresses = From.SeedAddresses;
  To.RandomSeed = Incarnation.value();
  To.EntriesLifetime = From.EntriesLifetime;
  To.StopTimeout = From.StopTimeout;
  To.Scheduling.Pool.Balancing =
      makeBalancingPolicy(From.Balancing, Incarnation.value());
  return To;
}

HttpServerLimits toServerLimits(const CallerLimits &From) {
  return {From.HeaderBytes,           From.BodyBytes,   From.Connections,
          From.ConnectionsPerAddress, From.IdleTimeout, From.ReadTimeout};
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
  asio::steady_timer Value;
};

EntryHostProcess::EntryHostProcess(asio::io_context &Io, HostSettings Given,
                                   std::function<void()> WhenStopped)
    : Context(Io), Settings(std::move(Given)), Exit(std::move(WhenStopped)),
      Incarnation(makeIncarnation()),
      Log(Settings.Name.value(), parseLogLevel(Settings.LogLevel)),
      Ids(Incarnation.value()), Traces(TraceCapacity),
      Core(now(), makeNodeSettings(Settings, Incarnation)),
      Servers(Io, MaxAnswerBytes), PlatformHttp(Io, MaxAnswerBytes),
      Platform(PlatformHttp, Settings.PlatformAddress,
               Settings.PlatformTimeout),
      Archive(Platform),
      Watcher(Io, Platform, Settings.PlatformPoll, Log,
              {[this](const ConfigurationId &ConfigId) {
                 Core.onHeadSeen(now(), ConfigId);
                 carryOut();
               },
               [this](ConfigurationPtr Arrived) {
                 Core.onConfiguration(now(), std::move(Arrived));
                 carryOut();
               },
               [this](const PlatformHosts &Hosts) {
                 Core.onHostList(now(), Hosts.PeerAddresses,
                                 Hosts.LeavingServers);
                 carryOut();
               }}),
      Peers(Io, [this](std::string_view Bytes) { onPeerBytes(Bytes); }),
      Callers(
          Io, toServerLimits(Settings.Limits),
          [this](HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
            onCallerRequest(std::move(Request), std::move(Exchange));
          },
          toRefusal),
      Admin(
          Io, {},
          [this](const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onAdminRequest(Request, *Exchange);
          },
          toRefusal),
      Ticks(std::make_unique<Timer>(Io)) {}

EntryHostProcess::~EntryHostProcess() = default;

Instant EntryHostProcess::now() const {
  const auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(SinceBoot) + ClockOffset);
}

boost::outcome_v2::result<void, std::error_code> EntryHostProcess::start() {
  BOOST_OUTCOME_TRYV(Peers.listen(Settings.PeerAddress));
  BOOST_OUTCOME_TRYV(Admin.listen(Settings.AdminAddress));
  BOOST_OUTCOME_TRYV(Callers.listen(Settings.CallerAddress));
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
  carryOut();
}

void EntryHostProcess::reload(const HostSettings &Next) {
  Log.setLevel(parseLogLevel(Next.LogLevel));
  Log.info("reloaded", {{"log_level", Next.LogLevel}});
}

void EntryHostProcess::rejectReload(const std::string &Reason) {
  Log.error("reload_rejected", {{"why", Reason}});
}

void EntryHostProcess::scheduleTick() {
  Ticks->Value.expires_after(TickInterval);
  Ticks->Value.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    Core.onTick(now());
    carryOut();
    Log.flush();
    if (!Finished)
      scheduleTick();
  });
}

void EntryHostProcess::onCallerRequest(HttpRequest Request,
                                       std::shared_ptr<HttpExchange> Exchange) {
  if (Request.Target == EntriesPath && Request.Method == "GET") {
    Exchange->respond(toResponse(Core.entries(now())));
    return;
  }
  const RequestId Id(++LastRequest);
  const RequestPtr Parsed = toCallerRequest(std::move(Request), Ids);
  Exchange->onGone([this, Id] {
    Exchanges.erase(Id);
    Core.onCallerGone(now(), Id);
    carryOut();
  });
  Exchanges[Id] = {std::move(Exchange), Parsed->TraceId};
  Core.onCallerRequest(now(), Id, Parsed);
  carryOut();
}

void EntryHostProcess::onPeerBytes(std::string_view Bytes) {
  auto Message = decode(Bytes);
  if (Message.has_error()) {
    Counted.countForeignMessage();
    return;
  }
  const PeerMessage &Read = Message.value();
  Counted.countPeerMessage("in", nameOf(Read.Body), Bytes.size());
  if (const auto *Arrived = std::get_if<ConfigurationBytes>(&Read.Body))
    Watcher.offer(Arrived->ConfigId, Arrived->Bytes);
  Core.onPeerMessage(now(), Read);
  carryOut();
}

/// Actions may cause further events at once, whose actions are then carried
/// out by the loop that is already running.
void EntryHostProcess::carryOut() {
  if (CarryingOut)
    return;
  CarryingOut = true;
  std::vector<Action> Actions = Core.takeActions();
  while (!Actions.empty()) {
    for (Action &Next : Actions)
      std::visit([this](auto &Each) { run(std::move(Each)); }, Next);
    Actions = Core.takeActions();
  }
  CarryingOut = false;
}

void EntryHostProcess::run(CallServer &&Next) {
  const CallId Id = Next.Call.Id;
  HttpCall Call;
  Call.Address = Next.Call.Server.Address;
  Call.Request = toServerRequest(Next.Call, Ids);
  Call.Timeout = Next.Call.Timeout;
  Call.MaxIdle = Next.Call.MayReuseIdle ? MaxIdle : Duration::zero();
  Calls[Id] = Servers.call(std::move(Call), [this, Id](HttpResult Result) {
    Calls.erase(Id);
    Core.onCallResult(now(), Id, toCallResult(std::move(Result)));
    carryOut();
  });
}

void EntryHostProcess::run(CancelCall &&Next) {
  const auto Found = Calls.find(Next.Id);
  if (Found == Calls.end())
    return;
  Found->second->cancel();
  Calls.erase(Found);
}

void EntryHostProcess::run(ReplyToCaller &&Next) {
  Counted.countReply(Next.Reply);
  const auto Found = Exchanges.find(Next.Reply.Id);
  if (Found == Exchanges.end())
    return;
  HttpResponse Response = toResponse(*Next.Reply.Reply);
  Response.Headers.push_back({"Mimosacart-Trace-Id", Found->second.TraceId});
  const std::shared_ptr<HttpExchange> Exchange = Found->second.Exchange;
  Exchanges.erase(Found);
  Exchange->respond(std::move(Response));
}

void EntryHostProcess::run(SendToPeer &&Next) {
  const std::string Bytes = encode(Next.Message);
  Counted.countPeerMessage("out", nameOf(Next.Message.Body), Bytes.size());
  Peers.send(Next.Address, Bytes);
}

void EntryHostProcess::run(FetchConfiguration &&Next) {
  Watcher.fetch(Next.ConfigId);
}

void EntryHostProcess::run(WriteJournal &&Next) {
  Archive.write(Settings.Name, Incarnation, Next.Segment, [this](bool Written) {
    Core.onJournalWritten(now(), Written);
    carryOut();
  });
}

void EntryHostProcess::run(ReadJournal &&Next) {
  Archive.find(Next.Token, Next.Key,
               [this, Id = Next.Id](const AnswerPtr &Reply) {
                 Core.onJournalRead(now(), Id, Reply);
                 carryOut();
               });
}

void EntryHostProcess::run(ProbeServer &&Next) {
  Counted.countProbe();
  HttpCall Call;
  Call.Address = Next.Server.Address;
  Call.Request = {"GET", "/health", {}, "", ""};
  Call.Timeout = ProbeTimeout;
  Servers.call(std::move(Call),
               [this, Name = Next.Server.Name](const HttpResult &Result) {
                 if (Result.has_error())
                   return;
                 const std::string *State =
                     findField(Result.value().Headers, ServerStateHeader);
                 const bool Draining = State != nullptr && *State == "draining";
                 Core.onProbeResult(now(), Name, Draining);
                 carryOut();
               });
}

void EntryHostProcess::run(LogEvent &&Next) {
  Log.info(Next.Name, Next.Fields);
}

void EntryHostProcess::run(RecordSpan &&Next) {
  Traces.add(std::move(Next.Value));
}

void EntryHostProcess::run(Stopped && /*Next*/) {
  Callers.stop();
  Admin.stop();
  Finished = true;
  // The last answers and the farewell to the peers are still being written.
  Ticks->Value.expires_after(ExitDelay);
  Ticks->Value.async_wait(
      [this](boost::system::error_code /*Error*/) { Exit(); });
}

} // namespace mimosacart
