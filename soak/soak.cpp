#include "soak/soak.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace mimosacart {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr std::size_t ReadServers = 4;
/// Service whose only server answers without end.
constexpr const char *EndlessService = "endless";
constexpr std::size_t MaxBodyBytes = 64U << 20U;
constexpr unsigned FirstPort = 18080;
/// How long before the end of a run all hosts must have recovered and apply the
/// last configuration.
constexpr auto RecoveredBeforeEnd = 2500ms;

} // namespace

Soak::Soak(SoakOptions RunOptions)
    : Options(std::move(RunOptions)), Random(Options.Seed),
      Retries(Options.Retries) {
  std::filesystem::create_directories(Options.Folder);
  StoreAddress = allocateAddress();
  Store.nameEra(1);
  if (!Store.listen(StoreAddress))
    throw std::runtime_error("cannot listen on the store address " +
                             StoreAddress);
  for (std::size_t Count = 0; Count < ReadServers; ++Count)
    addServer(ReadService);
  for (unsigned Count = 0; Count < 3; ++Count) {
    addServer("ledger");
    addServer("archive");
  }
  publishConfiguration(OnceService);
  Hosts.resize(Options.HostCount);
  for (std::size_t Index = 0; Index < Options.HostCount; ++Index)
    addHost(Index);
}

Soak::~Soak() = default;

/// Returns a new loopback address, derived from the process id so that soaks
/// running at the same time do not collide.
std::string Soak::allocateAddress() {
  const auto ProcessId = static_cast<unsigned>(getpid());
  ++LastAddressNumber;
  return fmt::format("127.{}.{}.{}:{}", 1 + ProcessId % 200,
                     ProcessId / 200 % 250, 1 + LastAddressNumber % 250,
                     FirstPort + LastAddressNumber / 250);
}

std::size_t Soak::drawIndex(std::size_t Count) {
  return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
}

std::chrono::milliseconds Soak::drawDuration(unsigned MinMs, unsigned MaxMs) {
  return std::chrono::milliseconds(MinMs + drawIndex(MaxMs - MinMs + 1));
}

void Soak::runAfter(std::chrono::milliseconds Delay,
                    std::function<void()> Callback) {
  const auto Timer = std::make_shared<asio::steady_timer>(Context, Delay);
  Timer->async_wait([Timer, Callback = std::move(Callback)](
                        boost::system::error_code) { Callback(); });
}

void Soak::printEvent(const std::string &Event) const {
  const double Elapsed = std::chrono::duration<double>(
                             std::chrono::steady_clock::now() - StartedAt)
                             .count();
  fmt::print("{:8.3f} {}\n", Elapsed, Event);
}

void Soak::recordDisturbance(const std::string &Description,
                             std::chrono::milliseconds Length,
                             std::optional<std::size_t> Host,
                             DisturbanceKind Kind) {
  const SoakTime Now = std::chrono::steady_clock::now();
  Checker.addDisturbance({Description, Now, Now + Length, Host, Kind});
  printEvent(fmt::format("{} for {} ms{}", Description, Length.count(),
                         Host ? fmt::format(" at host {}", *Host) : ""));
}

void Soak::addServer(const std::string &Service) {
  auto Server = std::make_unique<ServerInstance>();
  Server->Service = Service;
  Server->Id = fmt::format("i-{}", ++LastServerNumber);
  Server->OwnAddress = allocateAddress();
  Server->ProxyAddress = allocateAddress();
  Server->Proxy = std::make_unique<FaultProxy>(Context, Server->OwnAddress);
  Server->Proxy->copyBlocks(
      [this](std::string_view Block) { return Copies.drawDelay(Block); });
  if (!Server->Proxy->listen(Server->ProxyAddress))
    throw std::runtime_error("cannot listen on server proxy address " +
                             Server->ProxyAddress);
  startServer(*Server);
  Servers.push_back(std::move(Server));
}

void Soak::startServer(ServerInstance &Server) {
  ++Server.Incarnation;
  Server.RunningServer = std::make_unique<SoakServer>(
      Context, Server.Id, Server.Service,
      SoakServer::Hooks{
          [this](const ServerEvent &Event) {
            if (Keys.knows(Event.RequestId))
              Keys.onExecuted(std::chrono::steady_clock::now(), Event.RequestId,
                              Event.Workspace, Event.HasKey);
            else
              Checker.onExecutionStarted(Event);
          },
          [this](const ServerEvent &Event) { Checker.onArrived(Event); },
          [this](const ServerEvent &Event) { Checker.onAnswerSent(Event); },
          [this](const ServerEvent &Event) {
            Retries.onArrival(std::chrono::steady_clock::now(), Event.Service,
                              Event.RequestId);
          }});
  Checker.wishes().onRestart(Server.Id);
  if (!Server.RunningServer->listen(Server.OwnAddress))
    throw std::runtime_error("cannot listen on server address " +
                             Server.OwnAddress);
  registerServer(Server, "ready");
}

void Soak::registerServer(const ServerInstance &Server,
                          const std::string &State) {
  const Json Entry = {{"address", Server.ProxyAddress},
                      {"born", Server.Incarnation},
                      {"info",
                       {{"service", Server.Service},
                        {"version", "v1"},
                        {"zone", "here"},
                        {"concurrency", 4}}},
                      {"status",
                       {{"state", State},
                        {"sequence", Server.Incarnation},
                        {"warmupLeft", "0ms"}}}};
  writeServerRow(Server.Id, Entry.dump());
}

void Soak::publishConfiguration(const std::string &NewOnceService) {
  OnceService = NewOnceService;
  Checker.allowService(false, NewOnceService);
  Checker.allowService(true, ReadService);
  const std::string Timeout =
      fmt::format("{}ms", PromiseChecker::RouteTimeout.count());
  const Json Columns = {"name", "host",     "prefix",  "routeKind",   "timeout",
                        "slo",  "priority", "service", "maxAttempts", "noAuth"};
  Json Configuration = {{"version", ++ConfigurationVersion},
                        {"routes",
                         {{"columns", Columns},
                          {"rows",
                           {{"read", "soak.example", "/read/", "safe", Timeout,
                             "500ms", 1, ReadService, 2, false},
                            {"endless", "soak.example", "/endless/", "safe",
                             Timeout, "500ms", 2, EndlessService, 2, true},
                            {"once", "soak.example", "/once/", "unsafe",
                             Timeout, "500ms", 0, NewOnceService, 2, false}}}}},
                        {"services",
                         {{"columns", {"name", "healthPath", "maxConns"}},
                          {"rows",
                           {{ReadService, "/health", 100},
                            {"ledger", "/health", 100},
                            {"archive", "/health", 100},
                            {EndlessService, "/health", 100}}}}},
                        {"limits",
                         {{"headerTimeout", "3000ms"},
                          {"idleTimeout", "15000ms"},
                          {"maxBodyBytes", MaxBodyBytes}}}};
  if (Options.Workspaces)
    Configuration["tenants"] = makeWorkspaces();
  ConfigurationRow = Configuration.dump();
  Store.put("op", "config", ConfigurationRow);
}

void Soak::addHost(std::size_t Index) {
  EntryHost &Host = Hosts[Index];
  const std::string StoreProxyAddress = allocateAddress();
  Host.StoreProxy = std::make_unique<FaultProxy>(Context, StoreAddress);
  if (!Host.StoreProxy->listen(StoreProxyAddress))
    throw std::runtime_error("cannot listen on store proxy address " +
                             StoreProxyAddress);
  Host.CallerAddress = allocateAddress();
  const std::string Name = fmt::format("host-{}", Index);
  const std::string Path = Options.Folder + "/" + Name + ".toml";
  // Peer addresses of this host and of those added before it.
  static std::vector<std::string> PeerSeeds;
  if (Index == 0)
    PeerSeeds.clear();
  allocatePeerAddress(Host);
  PeerSeeds.push_back(Host.AdvertisedPeerAddress);
  // With fewer seeds, the others must be found.
  constexpr std::size_t FewSeeds = 3;
  std::vector<std::string> ToldSeeds = PeerSeeds;
  if (Options.RetryTrouble || Options.CutTrouble)
    ToldSeeds.resize(std::min(FewSeeds, ToldSeeds.size()));
  std::ofstream File(Path);
  File << fmt::format(
      "[host]\nname = \"{}\"\ndata_centre = \"here\"\n{}[listen]\n"
      "callers = \"{}\"\npeers = \"{}\"\nadmin = \"{}\"\n[platform]\n"
      "address = \"{}\"\n{}[peers]\nseeds = [\"{}\"]\nadvertise = \"{}\"\n"
      "[direct]\n"
      "directory = \"{}\"\nreadiness = \"{}\"\nstop_grace = \"4s\"\n"
      "retry_share = {}\nretry_slack = {}\nretry_window = \"{}s\"\n"
      "quota_window = \"{}s\"\nquota_overrun = {}\nquota_slack = {}\n",
      Name,
      Options.TellMemory ? fmt::format("memory_mb = {}\n", Options.MemoryMb)
                         : "",
      Host.CallerAddress, Host.PeerAddress, allocateAddress(),
      StoreProxyAddress,
      Host.SourceAddress.empty()
          ? ""
          : fmt::format("[network]\nsource = \"{}\"\n", Host.SourceAddress),
      fmt::join(ToldSeeds, "\", \""), Host.AdvertisedPeerAddress,
      allocateAddress(), allocateAddress(), Options.Retries.Share,
      Options.Retries.Slack, Options.Retries.Window.count(),
      Quota.Window.count(), Quota.Overrun, Quota.Slack);
  File.close();
  Host.Process = std::make_unique<HostProcess>(
      Options.Program, Path, Options.Folder + "/" + Name + ".log");
  Host.Process->start();
}

void Soak::allocatePeerAddress(EntryHost &Host) {
  Host.PeerAddress = allocateAddress();
  Host.AdvertisedPeerAddress = Host.PeerAddress;
  if (!Options.CutTrouble)
    return;
  Host.SourceAddress = Host.PeerAddress.substr(0, Host.PeerAddress.find(':'));
  Host.AdvertisedPeerAddress = allocateAddress();
  Host.PeerProxy = std::make_unique<FaultProxy>(Context, Host.PeerAddress);
  if (!Host.PeerProxy->listen(Host.AdvertisedPeerAddress))
    throw std::runtime_error("cannot listen on peer proxy address " +
                             Host.AdvertisedPeerAddress);
}

std::vector<std::string> Soak::run() {
  StartedAt = std::chrono::steady_clock::now();
  const SoakTime End = StartedAt + Options.Length;
  runAfter(1000ms, [this] { sendRequests(); });
  watchProcesses();
  scheduleFaults();
  scheduleWishes();
  scheduleDrills();
  scheduleRestarts();
  scheduleEndlessPeers();
  scheduleRetryTrouble();
  scheduleCutTrouble();
  scheduleWorkspaceTrouble();
  // The last change of the configuration. Every host must apply it when
  // RecoveredBeforeEnd is left of the run.
  runAfter(std::chrono::duration_cast<std::chrono::milliseconds>(
               Options.Length - FaultFreeEnd + 4s),
           [this] { changeConfiguration(); });
  runAfter(
      std::chrono::duration_cast<std::chrono::milliseconds>(Options.Length),
      [this] { IsSending = false; });
  Context.run_until(End + PromiseChecker::RouteTimeout + 1s);
  for (const std::string &Violation : Retries.findViolations())
    Checker.addViolation(Violation);
  for (const std::string &Violation : Keys.findViolations(LimitedWorkspace))
    Checker.addViolation(Violation);
  return Checker.findViolations(End - RecoveredBeforeEnd, Hosts.size(),
                                OnceService);
}

void Soak::sendRequests() {
  if (!IsSending)
    return;
  sendRequest(Options.CutTrouble);
  const double MeanMs = 1000.0 / Options.RequestsPerSecond;
  const double DelayMs =
      std::exponential_distribution<double>(1 / MeanMs)(Random);
  runAfter(std::chrono::milliseconds(static_cast<long>(DelayMs)),
           [this] { sendRequests(); });
}

void Soak::sendRequest(bool MayRepeat) {
  const std::size_t HostIndex = drawIndex(Hosts.size());
  ObservedRequest Request;
  Request.Id = fmt::format("r-{}-{}", Options.Seed, ++LastRequestNumber);
  Request.Idempotent = drawIndex(2) == 0;
  Request.Host = HostIndex;
  Request.SentAt = std::chrono::steady_clock::now();
  Retries.onRequest(Request.SentAt,
                    Request.Idempotent ? ReadService : OnceService);
  HttpCall Call;
  Call.Address = Hosts[HostIndex].CallerAddress;
  Call.ConnectTimeout = 1s;
  Call.Timeout = 4s;
  Call.MaxIdle = 10s;
  // Requests that are alike are quarantined together, and then none is
  // repeated.
  const unsigned Item = Options.CutTrouble ? LastRequestNumber : 1;
  Call.Request = {
      Request.Idempotent ? "GET" : "POST",
      fmt::format("/{}/{}", Request.Idempotent ? "read" : "once", Item),
      {{"Host", "soak.example"},
       {"X-Request-Id", Request.Id},
       {"X-Deadline-Ms", "2500"}},
      "",
      ""};
  if (Options.Workspaces)
    Call.Request.Headers.push_back(
        {"Authorization", std::string("Bearer ") + OpenWorkspaceKey});
  const std::string Id = Checker.addRequest(std::move(Request)).Id;
  CallerClient.call(
      std::move(Call), [this, Id, MayRepeat](const HttpResult &Result) {
        if (Result.has_value())
          Checker.onRequestEnded(Id, Result.value().Status,
                                 Result.value().Body.bytes(), false);
        else
          Checker.onRequestEnded(Id, 0, "",
                                 Result.error() == NetError::ConnectFailed);
        if (MayRepeat && IsSending &&
            (!Result.has_value() || Result.value().Status >= 400))
          sendRequest(false);
      });
}

/// Restarts host processes that ended, as the platform does.
void Soak::watchProcesses() {
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    EntryHost &Host = Hosts[Index];
    checkMemory(Index);
    if (Host.Process->running() || !Host.RestartWhenEnded)
      continue;
    Host.RestartWhenEnded = false;
    recordDisturbance("restart", 2000ms, Index, DisturbanceKind::Process);
    runAfter(drawDuration(100, 1200), [&Host] {
      Host.Process->start();
      Host.RestartWhenEnded = true;
    });
  }
  runAfter(20ms, [this] { watchProcesses(); });
}

void Soak::checkMemory(std::size_t Index) {
  const std::size_t Peak = Hosts[Index].Process->peakMemoryMb();
  PeakMemoryMb = std::max(PeakMemoryMb, Peak);
  if (Peak <= Options.MemoryMb)
    return;
  Checker.addViolation(fmt::format("MEMORY: host {} has held {} MB of {} MB",
                                   Index, Peak, Options.MemoryMb));
  // The platform kills such a process.
  Hosts[Index].Process->signal(SIGKILL);
}

/// The callers stop before the end of the run, which must be calm.
void Soak::scheduleEndlessPeers() {
  if (Options.EndlessCallers == 0)
    return;
  const std::string Address = allocateAddress();
  AnswersWithoutEnd = std::make_unique<EndlessServer>(Context, Options.Seed);
  if (!AnswersWithoutEnd->listen(Address))
    throw std::runtime_error("cannot listen on server address " + Address);
  ServerInstance Entry;
  Entry.Service = EndlessService;
  Entry.Id = "i-endless";
  Entry.ProxyAddress = Address;
  registerServer(Entry, "ready");
  std::vector<std::string> Addresses;
  for (const EntryHost &Host : Hosts)
    Addresses.push_back(Host.CallerAddress);
  RequestsWithoutEnd = std::make_unique<EndlessCallers>(
      Context, std::move(Addresses), Options.EndlessCallers, Options.Seed);
  runAfter(
      std::chrono::duration_cast<std::chrono::milliseconds>(FaultFreeStart),
      [this] { RequestsWithoutEnd->start(); });
  runAfter(std::chrono::duration_cast<std::chrono::milliseconds>(
               Options.Length - FaultFreeEnd),
           [this] { RequestsWithoutEnd->stop(); });
}

/// Drawn by an engine of their own, so that the faults of a seed stay the same.
void Soak::scheduleWishes() {
  std::mt19937_64 WishRandom(~Options.Seed);
  const auto Draw = [&WishRandom](long Min, long Max) {
    return std::uniform_int_distribution<long>(Min, Max)(WishRandom);
  };
  const auto Period = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Options.Length - FaultFreeStart - FaultFreeEnd)
                          .count();
  if (Period <= 0)
    return;
  for (unsigned Count = 0; Count < 4; ++Count) {
    const auto Start = std::chrono::milliseconds(2000 + Draw(0, Period));
    const auto Length = std::chrono::milliseconds(Draw(1000, 8000));
    // The servers for reads come first; one of them is never asked, so that
    // requests can be served.
    const auto Index = static_cast<std::size_t>(Draw(0, 2));
    const auto Kind = static_cast<WishKind>(Draw(0, 3));
    const double Limit = static_cast<double>(Draw(0, 400)) / 100;
    runAfter(Start, [this, Index, Kind, Limit, Length] {
      announceWish(*Servers[Index], Kind, Limit, Length);
    });
  }
  // All servers for reads at once, so that callers press on the limits, and for
  // longer than hosts have to learn them.
  const auto Start = std::chrono::milliseconds(2000 + Draw(0, Period / 3));
  const auto Length = std::chrono::milliseconds(Draw(5000, 8000));
  for (std::size_t Index = 0; Index < ReadServers; ++Index) {
    const double Limit = static_cast<double>(Draw(0, 1000)) / 100;
    runAfter(Start, [this, Index, Limit, Length] {
      announceWish(*Servers[Index], WishKind::Limit, Limit, Length);
    });
  }
}

void Soak::announceWish(ServerInstance &Server, WishKind Kind, double Limit,
                        std::chrono::milliseconds Length) {
  if (!Server.RunningServer)
    return;
  AnnouncedWishes Wishes;
  if (Kind == WishKind::Leave)
    Wishes.Leaving = true;
  else if (Kind == WishKind::Pause)
    Wishes.Pause = Length;
  else if (Kind == WishKind::Limit)
    Wishes.Limit = fmt::format("{}", Limit);
  else
    Wishes.Limit = "-1e999,many";
  printEvent(fmt::format("{} announces: leaving {}, pause {} ms, limit \"{}\"",
                         Server.Id, Wishes.Leaving, Wishes.Pause.count(),
                         Wishes.Limit));
  Server.RunningServer->announce(Wishes);
  Checker.wishes().setLimit(std::chrono::steady_clock::now(), Server.Id,
                            Kind == WishKind::Limit ? std::optional(Limit)
                                                    : std::nullopt);
  // A server that leaves does not change its mind.
  if (Kind == WishKind::Leave)
    return;
  runAfter(Length, [this, &Server] {
    if (!Server.RunningServer)
      return;
    Server.RunningServer->announce({});
    Checker.wishes().setLimit(std::chrono::steady_clock::now(), Server.Id,
                              std::nullopt);
  });
}

} // namespace mimosacart
