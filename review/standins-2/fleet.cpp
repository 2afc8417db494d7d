#include "fleet.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr const char *Program = "target/daemon/mimosacartd";
constexpr const char *Service = "registro";
constexpr const char *Zone = "bog-a";
constexpr unsigned short CallerPort = 8641;
constexpr unsigned short ReadinessPort = 8640;
constexpr unsigned short PeerPort = 8649;
constexpr unsigned short StorePort = 8642;
constexpr unsigned short ServerPort = 8080;
constexpr auto LongestStart = 15s;
/// Time after the start until the hosts have found each other, so that no
/// traffic meets a fleet that is still forming.
constexpr auto Settling = 4s;

std::string makeConfiguration(std::chrono::milliseconds Timeout) {
  const Json Columns = {"name",        "host",        "prefix",   "routeKind",
                        "timeout",     "slo",         "priority", "service",
                        "maxAttempts", "trafficSplit"};
  return Json{
      {"version", 7},
      {"routes",
       {{"columns", Columns},
        {"rows",
         {{"r-once", "case.example", "/once/", "unsafe",
           std::to_string(Timeout.count()) + "ms", "1500ms", 1, Service, 2,
           nullptr}}}}},
      {"services",
       {{"columns", {"name", "healthPath", "maxConns", "protocol", "tls"}},
        {"rows", {{Service, "/health", 220, "h1", false}}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 67108864},
        {"headerTimeout", "3000ms"},
        {"idleTimeout", "15000ms"}}}}
      .dump();
}

} // namespace

EntryHost::EntryHost(std::string HostName, std::string Address,
                     const std::string &Folder)
    : Name(std::move(HostName)), Ip(std::move(Address)),
      SettingsPath(Folder + "/" + Name + ".toml"),
      LogPath(Folder + "/" + Name + ".log") {}

EntryHost::~EntryHost() {
  if (Process <= 0)
    return;
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
}

Endpoint EntryHost::callers() const { return {Ip, CallerPort}; }

Endpoint EntryHost::peers() const { return {Ip, PeerPort}; }

/// The keys and values that the template of the deploy file gives on a machine
/// of va-humos.
void EntryHost::writeSettings(const std::string &StoreAddress,
                              const std::vector<std::string> &Seeds,
                              unsigned MemoryMb) const {
  std::ofstream File(SettingsPath);
  File << "[host]\nname = \"" << Name << "\"\ndata_centre = \"" << Zone
       << "\"\nmemory_mb = " << MemoryMb << "\n\n[listen]\ncallers = \"" << Ip
       << ":" << CallerPort << "\"\npeers = \"" << Ip << ":" << PeerPort
       << "\"\nadmin = \"" << Ip << ":7620\"\n\n[platform]\naddress = \""
       << StoreAddress << "\"\n\n[peers]\nseeds = [";
  for (const std::string &Seed : Seeds)
    File << (&Seed == &Seeds.front() ? "" : ",") << "\"" << Seed << "\"";
  File << "]\n\n[direct]\ndirectory = \"" << Ip << ":8644\"\nreadiness = \""
       << Ip << ":" << ReadinessPort
       << "\"\nretry_share = 0.2\nretry_slack = 56\nretry_window = \"10s\"\n"
          "stop_grace = \"6s\"\nfirst_start = true\n\n[regions]\n\""
       << Zone << "\" = \"co-centro\"\n";
}

void EntryHost::start() {
  Process = ::fork();
  if (Process != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Output =
      ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  const std::string Settings = "--settings=" + SettingsPath;
  ::execl(Program, Program, Settings.c_str(), nullptr);
  ::_exit(127);
}

void EntryHost::signal(int Signal) const { ::kill(Process, Signal); }

bool EntryHost::hasEnded() {
  if (Process > 0 && ::waitpid(Process, nullptr, WNOHANG) == Process)
    Process = -1;
  return Process <= 0;
}

bool EntryHost::isReady() const {
  auto Asked = Connection::open({Ip, ReadinessPort}, 0);
  MessageHead Head;
  return Asked &&
         Asked->writeAll("GET /v1/readiness HTTP/1.1\r\nHost: host\r\n\r\n") &&
         Asked->readHead(Head) && Head.Second == "200";
}

Fleet::Fleet(const FleetOptions &Options)
    : Network(1 + static_cast<unsigned>(::getpid()) % 250) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Folder = Pattern;
  if (!Platform.listen({address(0, 1), StorePort}))
    throw std::runtime_error("the store's address cannot be used");
  Platform.put("op", "config", makeConfiguration(Options.RouteTimeout));
  startServers(Options);
  startHosts(Options);
  awaitReady();
}

Fleet::~Fleet() {
  Hosts.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

std::string Fleet::address(unsigned Group, unsigned Number) const {
  return "127." + std::to_string(Network) + "." + std::to_string(Group) + "." +
         std::to_string(Number);
}

void Fleet::startServers(const FleetOptions &Options) {
  for (unsigned Number = 1; Number <= Options.Servers; ++Number) {
    Servers.push_back(std::make_unique<BackendServer>(
        "i-" + std::to_string(Number), Endpoint{address(2, Number), ServerPort},
        Options.Slots, Options.Work, Options.BodyLength, Log));
    if (!Servers.back()->listen())
      throw std::runtime_error("a server's address cannot be used");
    Platform.put("servers", Servers.back()->id(),
                 Servers.back()->entry(Service, Zone));
  }
}

void Fleet::startHosts(const FleetOptions &Options) {
  std::vector<std::string> Seeds;
  for (unsigned Number = 1; Number <= Options.Hosts; ++Number) {
    Hosts.push_back(std::make_unique<EntryHost>(
        "front-bog-a-" + std::to_string(Number), address(1, Number), Folder));
    Seeds.push_back(Hosts.back()->peers().text());
  }
  for (const auto &Host : Hosts) {
    Host->writeSettings(address(0, 1) + ":" + std::to_string(StorePort), Seeds,
                        Options.MemoryMb);
    Host->start();
  }
}

void Fleet::awaitReady() const {
  const auto Until = std::chrono::steady_clock::now() + LongestStart;
  for (const auto &Host : Hosts)
    while (!Host->isReady()) {
      if (std::chrono::steady_clock::now() > Until || Host->hasEnded())
        throw std::runtime_error(Host->name() + " does not become ready");
      std::this_thread::sleep_for(50ms);
    }
  std::this_thread::sleep_for(Settling);
}

} // namespace review
