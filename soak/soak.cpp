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

constexpr const char *ReadService = "records";
constexpr unsigned Port = 18080;
/// Time before the first fault, and from the last one to the end.
constexpr auto QuietStart = 2s;
constexpr auto QuietEnd = 9s;
/// The last configuration is in force, and all have recovered, by then.
constexpr auto CalmBeforeEnd = 2500ms;
constexpr auto DrainTime = 2300ms;

} // namespace

Soak::Soak(SoakOptions Given)
    : Options(std::move(Given)), Random(Options.Seed) {
  std::filesystem::create_directories(Options.Folder);
  StoreAddress = address();
  if (!Store.listen(StoreAddress))
    throw std::runtime_error("the store's address is taken: " + StoreAddress);
  for (unsigned Count = 0; Count < 4; ++Count)
    addServer(ReadService);
  for (unsigned Count = 0; Count < 3; ++Count) {
    addServer("ledger");
    addServer("archive");
  }
  configure(OnceService);
  Hosts.resize(Options.Hosts);
  for (std::size_t Number = 0; Number < Options.Hosts; ++Number)
    addHost(Number);
}

Soak::~Soak() = default;

/// Addresses of this process alone, within the loopback range.
std::string Soak::address() {
  const auto Process = static_cast<unsigned>(getpid());
  ++LastAddress;
  return fmt::format("127.{}.{}.{}:{}", 1 + Process % 200, Process / 200 % 250,
                     1 + LastAddress % 250, Port + LastAddress / 250);
}

std::size_t Soak::draw(std::size_t Count) {
  return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
}

std::chrono::milliseconds Soak::drawTime(unsigned Least, unsigned Most) {
  return std::chrono::milliseconds(Least + draw(Most - Least + 1));
}

void Soak::after(std::chrono::milliseconds Delay, std::function<void()> Next) {
  const auto Timer = std::make_shared<asio::steady_timer>(Context, Delay);
  Timer->async_wait(
      [Timer, Next = std::move(Next)](boost::system::error_code) { Next(); });
}

void Soak::say(const std::string &What) const {
  const double At = std::chrono::duration<double>(
                        std::chrono::steady_clock::now() - StartedAt)
                        .count();
  fmt::print("{:8.3f} {}\n", At, What);
}

void Soak::disturb(const std::string &What, std::chrono::milliseconds Length,
                   std::optional<std::size_t> Host, bool Planned) {
  const SoakTime Now = std::chrono::steady_clock::now();
  Checked.addDisturbance({What, Now, Now + Length, Host, Planned});
  say(fmt::format("{} for {} ms{}", What, Length.count(),
                  Host ? fmt::format(" at host {}", *Host) : ""));
}

void Soak::addServer(const std::string &Service) {
  auto Made = std::make_unique<Server>();
  Made->Service = Service;
  Made->Id = fmt::format("i-{}", ++LastServer);
  Made->OwnAddress = address();
  Made->ProxyAddress = address();
  Made->Proxy = std::make_unique<FaultProxy>(Context, Made->OwnAddress);
  if (!Made->Proxy->listen(Made->ProxyAddress))
    throw std::runtime_error("an address is taken: " + Made->ProxyAddress);
  startServer(*Made);
  Servers.push_back(std::move(Made));
}

void Soak::startServer(Server &Of) {
  ++Of.Born;
  Of.Running = std::make_unique<SoakServer>(
      Context, Of.Id, Of.Service,
      SoakServer::Hooks{
          [this](const ServerEvent &Event) {
            Checked.onExecutionStarted(Event);
          },
          [this](const ServerEvent &Event) { Checked.onAnswerSent(Event); }});
  if (!Of.Running->listen(Of.OwnAddress))
    throw std::runtime_error("an address is taken: " + Of.OwnAddress);
  registerServer(Of, "ready");
}

void Soak::registerServer(const Server &Of, const std::string &State) {
  const Json Entry = {
      {"address", Of.ProxyAddress},
      {"born", Of.Born},
      {"info",
       {{"service", Of.Service},
        {"version", "v1"},
        {"zone", "here"},
        {"concurrency", 4}}},
      {"status",
       {{"state", State}, {"sequence", Of.Born}, {"warmupLeft", "0ms"}}}};
  Store.put("servers", Of.Id, Entry.dump());
}

void Soak::configure(const std::string &Once) {
  OnceService = Once;
  Checked.allowService(false, Once);
  Checked.allowService(true, ReadService);
  const std::string Timeout =
      fmt::format("{}ms", PromiseChecker::RouteTimeout.count());
  const Json Columns = {"name", "host",     "prefix",  "routeKind",  "timeout",
                        "slo",  "priority", "service", "maxAttempts"};
  const Json Body = {
      {"version", ++Version},
      {"routes",
       {{"columns", Columns},
        {"rows",
         {{"read", "soak.example", "/read/", "safe", Timeout, "500ms", 1,
           ReadService, 2},
          {"once", "soak.example", "/once/", "unsafe", Timeout, "500ms", 0,
           Once, 2}}}}},
      {"services",
       {{"columns", {"name", "healthPath", "maxConns"}},
        {"rows",
         {{ReadService, "/health", 100},
          {"ledger", "/health", 100},
          {"archive", "/health", 100}}}}},
      {"limits", {{"headerTimeout", "3000ms"}, {"idleTimeout", "15000ms"}}}};
  Store.put("op", "config", Body.dump());
}

void Soak::addHost(std::size_t Number) {
  Host &Made = Hosts[Number];
  const std::string StoreSide = address();
  Made.StoreProxy = std::make_unique<FaultProxy>(Context, StoreAddress);
  if (!Made.StoreProxy->listen(StoreSide))
    throw std::runtime_error("an address is taken: " + StoreSide);
  Made.CallerAddress = address();
  const std::string Name = fmt::format("host-{}", Number);
  const std::string Path = Options.Folder + "/" + Name + ".toml";
  static std::vector<std::string> Seeds;
  if (Number == 0)
    Seeds.clear();
  Seeds.push_back(address());
  std::ofstream File(Path);
  File << fmt::format(
      "[host]\nname = \"{}\"\ndata_centre = \"here\"\n[listen]\n"
      "callers = \"{}\"\npeers = \"{}\"\nadmin = \"{}\"\n[platform]\n"
      "address = \"{}\"\n[peers]\nseeds = [\"{}\"]\n[direct]\n"
      "directory = \"{}\"\nreadiness = \"{}\"\nstop_grace = \"4s\"\n",
      Name, Made.CallerAddress, Seeds.back(), address(), StoreSide,
      fmt::join(Seeds, "\", \""), address(), address());
  File.close();
  Made.Process = std::make_unique<HostProcess>(
      Options.Program, Path, Options.Folder + "/" + Name + ".log");
  Made.Process->start();
}

std::vector<std::string> Soak::run() {
  StartedAt = std::chrono::steady_clock::now();
  const SoakTime End = StartedAt + Options.Length;
  after(1000ms, [this] { sendRequests(); });
  watchProcesses();
  scheduleFaults();
  after(std::chrono::duration_cast<std::chrono::milliseconds>(Options.Length -
                                                              QuietEnd + 4s),
        [this] { changeConfiguration(); });
  after(std::chrono::duration_cast<std::chrono::milliseconds>(Options.Length),
        [this] { Sending = false; });
  Context.run_until(End + PromiseChecker::RouteTimeout + 1s);
  return Checked.findViolations(End - CalmBeforeEnd, Hosts.size(), OnceService);
}

void Soak::sendRequests() {
  if (!Sending)
    return;
  sendRequest();
  const double Mean = 1000.0 / Options.RequestsPerSecond;
  const double Pause = std::exponential_distribution<double>(1 / Mean)(Random);
  after(std::chrono::milliseconds(static_cast<long>(Pause)),
        [this] { sendRequests(); });
}

void Soak::sendRequest() {
  const std::size_t Number = draw(Hosts.size());
  ObservedRequest Request;
  Request.Id = fmt::format("r-{}-{}", Options.Seed, ++LastRequest);
  Request.Idempotent = draw(2) == 0;
  Request.Host = Number;
  Request.SentAt = std::chrono::steady_clock::now();
  HttpCall Call;
  Call.Address = Hosts[Number].CallerAddress;
  Call.ConnectTimeout = 1s;
  Call.Timeout = 4s;
  Call.MaxIdle = 10s;
  Call.Request = {Request.Idempotent ? "GET" : "POST",
                  Request.Idempotent ? "/read/1" : "/once/1",
                  {{"Host", "soak.example"},
                   {"X-Request-Id", Request.Id},
                   {"X-Deadline-Ms", "2500"}},
                  "",
                  ""};
  const std::string Id = Checked.addRequest(std::move(Request)).Id;
  Callers.call(std::move(Call), [this, Id](const HttpResult &Result) {
    if (Result.has_value())
      Checked.onRequestEnded(Id, Result.value().Status, Result.value().Body,
                             false);
    else
      Checked.onRequestEnded(Id, 0, "",
                             Result.error() == NetError::ConnectFailed);
  });
}

/// Starts hosts that ended again, as the platform does.
void Soak::watchProcesses() {
  for (std::size_t Number = 0; Number < Hosts.size(); ++Number) {
    Host &Each = Hosts[Number];
    if (Each.Process->running() || !Each.Restarts)
      continue;
    Each.Restarts = false;
    disturb("restart", 2000ms, Number);
    after(drawTime(100, 1200), [&Each] {
      Each.Process->start();
      Each.Restarts = true;
    });
  }
  after(20ms, [this] { watchProcesses(); });
}

void Soak::scheduleFaults() {
  const auto Span = std::chrono::duration_cast<std::chrono::milliseconds>(
      Options.Length - QuietStart - QuietEnd);
  const std::size_t Count = 4 + draw(8);
  for (std::size_t Fault = 0; Fault < Count && Span > 0ms; ++Fault)
    after(std::chrono::duration_cast<std::chrono::milliseconds>(QuietStart) +
              drawTime(0, static_cast<unsigned>(Span.count())),
          [this] { playFault(); });
}

void Soak::playFault() {
  static const std::vector<void (Soak::*)()> Faults = {
      &Soak::killHost,           &Soak::pauseHost,     &Soak::stopHost,
      &Soak::stopHost,           &Soak::reloadHost,    &Soak::harmStoreLink,
      &Soak::harmServerLink,     &Soak::harmStore,     &Soak::crashServer,
      &Soak::replaceServer,      &Soak::replaceServer, &Soak::slowServer,
      &Soak::changeConfiguration};
  (this->*Faults[draw(Faults.size())])();
}

void Soak::killHost() {
  const std::size_t Number = draw(Hosts.size());
  disturb("kill", 1500ms, Number);
  Hosts[Number].Process->signal(SIGKILL);
}

void Soak::pauseHost() {
  const std::size_t Number = draw(Hosts.size());
  const auto Length = drawTime(200, 3000);
  disturb("pause", Length, Number);
  Hosts[Number].Process->signal(SIGSTOP);
  after(Length, [this, Number] { Hosts[Number].Process->signal(SIGCONT); });
}

void Soak::stopHost() {
  const std::size_t Number = draw(Hosts.size());
  disturb("planned stop", 5000ms, Number, true);
  Hosts[Number].Process->signal(SIGTERM);
}

void Soak::reloadHost() {
  const std::size_t Number = draw(Hosts.size());
  disturb("reload", 500ms, Number, true);
  Hosts[Number].Process->signal(SIGHUP);
}

void Soak::harmStoreLink() {
  const std::size_t Number = draw(Hosts.size());
  const auto Length = drawTime(500, 4000);
  const auto Fault = static_cast<LinkFault>(1 + draw(4));
  disturb(fmt::format("store link {}", toString(Fault)), Length, Number);
  Hosts[Number].StoreProxy->setFault(Fault);
  after(Length, [this, Number] {
    Hosts[Number].StoreProxy->setFault(LinkFault::None);
  });
}

void Soak::harmServerLink() {
  Server &Chosen = *Servers[draw(Servers.size())];
  const auto Length = drawTime(500, 4000);
  const auto Fault = static_cast<LinkFault>(1 + draw(4));
  disturb(fmt::format("link of {} {}", Chosen.Id, toString(Fault)), Length,
          std::nullopt);
  Chosen.Proxy->setFault(Fault);
  after(Length, [&Chosen] { Chosen.Proxy->setFault(LinkFault::None); });
}

void Soak::harmStore() {
  const auto Length = drawTime(500, 5000);
  if (draw(4) == 0) {
    say("the store forgets its history");
    Store.forgetHistory();
    return;
  }
  const auto Mood = static_cast<StoreMood>(1 + draw(3));
  disturb(fmt::format("store mood {}", static_cast<int>(Mood)), Length,
          std::nullopt);
  Store.setMood(Mood);
  after(Length, [this] { Store.setMood(StoreMood::Sound); });
}

void Soak::crashServer() {
  Server &Chosen = *Servers[draw(Servers.size())];
  if (!Chosen.Running)
    return;
  const auto Length = drawTime(300, 3000);
  disturb("crash of " + Chosen.Id, Length, std::nullopt);
  Chosen.Running.reset();
  Chosen.Proxy->setFault(LinkFault::Reset);
  after(Length, [this, &Chosen] {
    Chosen.Proxy->setFault(LinkFault::None);
    startServer(Chosen);
  });
}

/// Planned: another server joins, then one drains and leaves.
void Soak::replaceServer() {
  Server &Chosen = *Servers[draw(Servers.size())];
  if (!Chosen.Running)
    return;
  say("replace " + Chosen.Id);
  addServer(Chosen.Service);
  registerServer(Chosen, "draining");
  Checked.forbidServer(Chosen.Id, std::chrono::steady_clock::now() + DrainTime);
  after(3500ms, [this, &Chosen] { Store.remove("servers", Chosen.Id); });
}

void Soak::slowServer() {
  Server &Chosen = *Servers[draw(Servers.size())];
  if (!Chosen.Running)
    return;
  say("slow " + Chosen.Id);
  Chosen.Running->setSlowness(8);
  after(drawTime(300, 3000), [&Chosen] {
    if (Chosen.Running)
      Chosen.Running->setSlowness(1);
  });
}

void Soak::changeConfiguration() {
  const std::string Next = OnceService == "ledger" ? "archive" : "ledger";
  say("configuration: once-only work goes to " + Next);
  configure(Next);
}

} // namespace mimosacart
