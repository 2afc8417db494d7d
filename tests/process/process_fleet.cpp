#include "tests/process/process_fleet.h"

#include "net/asio.h"
#include "net/http_client.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace mimosacart {

namespace {

constexpr std::size_t MaxAnswerBytes = 16U << 20U;
constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr auto PatienceLimit = std::chrono::seconds(20);

/// Ports below those that outgoing connections get, a block for each test.
constexpr unsigned FirstPort = 10'000;
constexpr unsigned PortBlock = 40;
constexpr unsigned PortBlocks = 550;

bool isFree(asio::io_context &Context, std::uint16_t Port) {
  tcp::acceptor Tried(Context);
  boost::system::error_code Error;
  Tried.open(tcp::v4(), Error);
  if (!Error)
    Tried.bind({asio::ip::address_v4::loopback(), Port}, Error);
  return !Error;
}

/// Takes \p Lock to the last port of the block, which nobody else can have at
/// the same time; looking for free ports alone would race.
bool lockBlock(tcp::acceptor &Lock, unsigned Block) {
  const unsigned Port = FirstPort + (Block + 1) * PortBlock - 1;
  boost::system::error_code Error;
  Lock.open(tcp::v4(), Error);
  if (!Error)
    Lock.bind(
        {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(Port)},
        Error);
  if (!Error)
    Lock.listen(1, Error);
  if (!Error) {
    fcntl(Lock.native_handle(), F_SETFD, FD_CLOEXEC);
    return true;
  }
  Lock.close(Error);
  return false;
}

/// Loopback addresses of a block of which every port is free, and which \p Lock
/// keeps for the caller.
std::vector<std::string> takeAddresses(asio::io_context &Context,
                                       tcp::acceptor &Lock, std::size_t Count) {
  for (unsigned Try = 0; Try < PortBlocks; ++Try) {
    const unsigned Block = (static_cast<unsigned>(getpid()) + Try) % PortBlocks;
    if (!lockBlock(Lock, Block))
      continue;
    std::vector<std::string> Result;
    for (unsigned Index = 0; Index < Count; ++Index) {
      const unsigned Port = FirstPort + Block * PortBlock + Index;
      if (isFree(Context, static_cast<std::uint16_t>(Port)))
        Result.push_back(fmt::format("127.0.0.1:{}", Port));
    }
    if (Result.size() == Count)
      return Result;
    Lock.close();
  }
  return {};
}

std::string tool(const std::string &Name) {
  return std::string(BUILD_DIR) + "/" + Name;
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Arguments,
                           const std::string &Log) {
  std::vector<char *> Raw;
  Raw.reserve(Arguments.size() + 1);
  for (const std::string &Argument : Arguments)
    Raw.push_back(const_cast<char *>(Argument.c_str()));
  Raw.push_back(nullptr);
  Pid = fork();
  if (Pid != 0)
    return;
  const int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  execv(Raw[0], Raw.data());
  _exit(127);
}

ChildProcess::~ChildProcess() {
  if (!running())
    return;
  signal(SIGKILL);
  wait();
}

void ChildProcess::signal(int Number) const { kill(Pid, Number); }

int ChildProcess::wait() {
  if (Status)
    return *Status;
  int Raw = 0;
  waitpid(Pid, &Raw, 0);
  Status = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -1;
  return *Status;
}

bool ChildProcess::running() {
  if (Status)
    return false;
  int Raw = 0;
  if (waitpid(Pid, &Raw, WNOHANG) == 0)
    return true;
  Status = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -1;
  return false;
}

struct ProcessFleet::Loop {
  asio::io_context Context;
  HttpClient Http{Context, MaxAnswerBytes};
  /// Keeps the fleet's block of ports.
  tcp::acceptor PortLock{Context};
};

ProcessFleet::ProcessFleet(FleetShape Given)
    : Shape(Given), Running(std::make_unique<Loop>()) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "mimosacart-XXXXXX").string();
  Folder = mkdtemp(Template.data());
  auto Free = takeAddresses(Running->Context, Running->PortLock,
                            1 + Shape.Servers + 3 * Shape.Hosts);
  const auto Take = [&Free] {
    std::string Address = Free.back();
    Free.pop_back();
    return Address;
  };
  PlatformAddress = Take();
  for (unsigned Index = 0; Index < Shape.Servers; ++Index)
    ServerAddresses.push_back(Take());
  for (unsigned Index = 0; Index < Shape.Hosts; ++Index) {
    Callers.push_back(Take());
    Peers.push_back(Take());
    Admins.push_back(Take());
  }
  writeSettings();
}

ProcessFleet::~ProcessFleet() {
  Hosts.clear();
  Servers.clear();
  Platform.reset();
  // The logs explain a failure; KEEP_FLEET=1 leaves them where they are.
  if (std::getenv("KEEP_FLEET") != nullptr) {
    fmt::print("logs are kept in {}\n", Folder.string());
    return;
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

void ProcessFleet::writeSettings() {
  std::string Seeds;
  std::string AdminList;
  for (unsigned Index = 0; Index < Shape.Hosts; ++Index) {
    Seeds += fmt::format("\"{}\", ", Peers[Index]);
    AdminList += fmt::format("\"{}\", ", Admins[Index]);
  }
  for (unsigned Index = 0; Index < Shape.Hosts; ++Index)
    std::ofstream(path(fmt::format("host-{}.toml", Index)))
        << fmt::format("[host]\nname = \"host-{0}\"\ndata_centre = \"dc-{1}\"\n"
                       "[listen]\ncallers = \"{2}\"\npeers = \"{3}\"\n"
                       "admin = \"{4}\"\n[platform]\naddress = \"{5}\"\n"
                       "poll_ms = 200\ntimeout_ms = 500\n"
                       "[peers]\nseeds = [{6}]\n"
                       "[timing]\nentries_lifetime_ms = 1000\n",
                       Index, "abc"[Index % 3], Callers[Index], Peers[Index],
                       Admins[Index], PlatformAddress, Seeds);
  std::ofstream(path("operator.toml"))
      << fmt::format("[platform]\naddress = \"{}\"\ntimeout_ms = 500\n"
                     "[hosts]\nadmin = [{}]\n",
                     PlatformAddress, AdminList);
}

std::string ProcessFleet::writeConfiguration(const std::string &Name,
                                             unsigned Extra) {
  std::ofstream File(path(Name));
  File << "[[service]]\nname = \"records\"\n"
          "[[service.kind]]\nname = \"read\"\npath = \"/read/*\"\n"
          "idempotent = true\ndeadline_ms = 5000\nretries = 2\n"
          "[[service.kind]]\nname = \"book\"\nmethod = \"POST\"\n"
          "path = \"/book/*\"\nidempotent = false\ndeadline_ms = 3000\n"
          "priority = \"high\"\n";
  for (unsigned Index = 0; Index < Extra; ++Index)
    File << fmt::format("[[service.kind]]\nname = \"extra-{0}\"\n"
                        "path = \"/extra-{0}/*\"\nidempotent = true\n"
                        "deadline_ms = 1000\n",
                        Index);
  for (unsigned Index = 0; Index < Shape.Servers; ++Index)
    File << fmt::format("[[service.server]]\nname = \"server-{}\"\n"
                        "address = \"{}\"\ndata_centre = \"dc-{}\"\n"
                        "slots = {}\nconnections = 100\n",
                        Index, ServerAddresses[Index], "abc"[Index % 3],
                        Shape.Slots);
  return path(Name);
}

void ProcessFleet::startPlatform() {
  Platform = std::make_unique<ChildProcess>(
      std::vector<std::string>{tool("tests/platform_standin"),
                               "--listen=" + PlatformAddress},
      path("platform.log"));
}

void ProcessFleet::stopPlatform() { Platform.reset(); }

void ProcessFleet::startServer(unsigned Index) {
  Servers[Index] = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          tool("tests/server_standin"), "--listen=" + ServerAddresses[Index],
          fmt::format("--name=server-{}", Index),
          fmt::format("--slots={}", Shape.Slots),
          fmt::format("--mean_ms={}", Shape.MeanMs),
          fmt::format("--seed={}", Index + 1), "--straggler_share=0",
          "--log=" + path("executions.log")},
      path(fmt::format("server-{}.log", Index)));
}

void ProcessFleet::startHost(unsigned Index) {
  Hosts[Index] = std::make_unique<ChildProcess>(
      std::vector<std::string>{tool("daemon/mimosacartd"),
                               "--settings=" +
                                   path(fmt::format("host-{}.toml", Index))},
      path(fmt::format("host-{}.log", Index)));
}

void ProcessFleet::startAll() {
  startPlatform();
  for (unsigned Index = 0; Index < Shape.Servers; ++Index)
    startServer(Index);
  for (unsigned Index = 0; Index < Shape.Hosts; ++Index)
    startHost(Index);
  const std::string File = writeConfiguration("services.toml");
  eventually([&] {
    return operate({"--settings=" + operatorSettings(), "apply", File}) == 0;
  });
  eventually([&] {
    for (unsigned Index = 0; Index < Shape.Hosts; ++Index)
      if (entries(Index).size() != Shape.Hosts)
        return false;
    return true;
  });
}

bool ProcessFleet::serverRunning(unsigned Index) {
  return Servers.at(Index)->running();
}

bool ProcessFleet::eventually(const std::function<bool()> &Condition) {
  const auto Until = std::chrono::steady_clock::now() + PatienceLimit;
  while (std::chrono::steady_clock::now() < Until) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

std::optional<HttpResponse>
ProcessFleet::call(const std::string &Address, HttpRequest Request,
                   std::chrono::milliseconds Timeout) {
  return callAll({{Address, std::move(Request)}}, Timeout).front();
}

std::vector<std::optional<HttpResponse>> ProcessFleet::callAll(
    const std::vector<std::pair<std::string, HttpRequest>> &Calls,
    std::chrono::milliseconds Timeout) {
  std::vector<std::optional<HttpResponse>> Results(Calls.size());
  std::size_t Open = Calls.size();
  for (std::size_t Index = 0; Index < Calls.size(); ++Index) {
    HttpCall Call;
    Call.Address = Calls[Index].first;
    Call.Request = Calls[Index].second;
    Call.Timeout = Timeout;
    // A process may have been replaced under the same address meanwhile.
    Call.MaxIdle = Duration::zero();
    Running->Http.call(std::move(Call), [&, Index](HttpResult Result) {
      --Open;
      if (Result.has_value())
        Results[Index] = std::move(Result.value());
    });
  }
  Running->Context.restart();
  while (Open > 0 && Running->Context.run_one() > 0) {
  }
  return Results;
}

HttpRequest ProcessFleet::book(const std::string &Id, const std::string &Token,
                               const std::string &Body) const {
  return {"POST",
          "/book/" + Id,
          {{"Idempotency-Key", "key-" + Id}, {"Mimosacart-Issuer", Token}},
          Body,
          ""};
}

HttpRequest ProcessFleet::read(const std::string &Id) const {
  return {"GET", "/read/" + Id, {}, "", ""};
}

std::vector<ListedEntry> ProcessFleet::entries(unsigned Index) {
  const auto Response = call(Callers[Index], {"GET", "/v1/entries", {}, "", ""},
                             std::chrono::seconds(1));
  std::vector<ListedEntry> Result;
  if (!Response)
    return Result;
  const auto Value =
      nlohmann::json::parse(Response->Body.bytes(), nullptr, false);
  if (Value.is_discarded())
    return Result;
  for (const auto &Each : Value["entries"])
    Result.push_back({Each["host"], Each["address"], Each["issuer_token"]});
  return Result;
}

std::string ProcessFleet::token(unsigned Index) {
  for (const ListedEntry &Each : entries(Index))
    if (Each.Host == fmt::format("host-{}", Index))
      return Each.Token;
  return {};
}

nlohmann::json ProcessFleet::status(unsigned Index) {
  const auto Response = call(Admins[Index], {"GET", "/v1/status", {}, "", ""},
                             std::chrono::seconds(1));
  if (!Response)
    return {};
  return nlohmann::json::parse(Response->Body.bytes(), nullptr, false);
}

void ProcessFleet::controlPlatform(const std::string &Body) {
  call(PlatformAddress, {"POST", "/control", {}, Body, ""});
}

void ProcessFleet::controlHostList(const std::string &Body) {
  call(PlatformAddress, {"POST", "/control/hosts", {}, Body, ""});
}

void ProcessFleet::controlServer(unsigned Index, const std::string &Body) {
  call(ServerAddresses[Index], {"POST", "/control", {}, Body, ""});
}

int ProcessFleet::operate(const std::vector<std::string> &Arguments,
                          const std::string &Log) {
  std::vector<std::string> All{tool("ctl/mimosacartctl")};
  All.insert(All.end(), Arguments.begin(), Arguments.end());
  ChildProcess Operator(All, path(Log));
  return Operator.wait();
}

std::size_t ProcessFleet::executionsOf(const std::string &Key) const {
  std::ifstream File(path("executions.log"));
  std::size_t Count = 0;
  for (std::string Line; std::getline(File, Line);)
    if (Line.rfind("run ", 0) == 0 && Line.size() > Key.size() &&
        Line.substr(Line.size() - Key.size() - 1) == ' ' + Key)
      ++Count;
  return Count;
}

std::size_t ProcessFleet::executionsOn(unsigned Server) const {
  std::ifstream File(path("executions.log"));
  const std::string Start = fmt::format("run server-{} ", Server);
  std::size_t Count = 0;
  for (std::string Line; std::getline(File, Line);)
    Count += Line.rfind(Start, 0) == 0 ? 1 : 0;
  return Count;
}

} // namespace mimosacart
