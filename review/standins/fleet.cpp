#include "fleet.h"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr int ServeTimeoutMs = 60000;
/// Bytes of a body that are kept with a run.
constexpr std::size_t MaxRecordedBody = 200;
constexpr const char *Ok = "HTTP/1.1 200 OK";
constexpr const char *BadRequest = "HTTP/1.1 400 Bad Request";

constexpr std::string_view Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &Bytes) {
  std::string Result;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8U | (At + Index < Bytes.size()
                                 ? static_cast<unsigned char>(Bytes[At + Index])
                                 : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Result += At + Index > Bytes.size()
                    ? '='
                    : Digits[Group >> (6U * (3U - Index)) & 63U];
  }
  return Result;
}

std::string fromBase64(const std::string &Text) {
  std::string Result;
  std::uint32_t Bits = 0;
  unsigned Count = 0;
  for (const char Character : Text) {
    const std::size_t Digit = Digits.find(Character);
    if (Digit == std::string_view::npos)
      break;
    Bits = Bits << 6U | static_cast<std::uint32_t>(Digit);
    Count += 6;
    if (Count >= 8) {
      Count -= 8;
      Result += static_cast<char>(Bits >> Count & 255U);
    }
  }
  return Result;
}

std::string decodeText(const std::string &Text) {
  constexpr int Hexadecimal = 16;
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%') {
      Result += Text[At];
      continue;
    }
    Result += static_cast<char>(
        std::strtoul(Text.substr(At + 1, 2).c_str(), nullptr, Hexadecimal));
    At += 2;
  }
  return Result;
}

std::map<std::string, std::string> readQuery(const std::string &Target) {
  std::map<std::string, std::string> Result;
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Pair = Target.substr(At + 1, End - At - 1);
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Result[Pair.substr(0, Equals)] = decodeText(Pair.substr(Equals + 1));
    At = End;
  }
  return Result;
}

std::string jsonAnswer(const std::string &Body) {
  return formatMessage(Ok, {{"Content-Type", "application/json"}}, Body);
}

} // namespace

Record::Record(const std::string &Path) : File(std::fopen(Path.c_str(), "w")) {}

Record::~Record() {
  if (File != nullptr)
    std::fclose(File);
}

double Record::elapsed() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

void Record::line(const std::string &Text) {
  const std::lock_guard Guard(Lock);
  if (File == nullptr)
    return;
  std::fprintf(File, "%9.4f %s\n", elapsed(), Text.c_str());
  std::fflush(File);
}

Store::Store(const std::string &Address)
    : Http(Address, [this](Connection &Client) { serve(Client); }) {}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  const std::lock_guard Guard(Lock);
  Tables[Table][Key] = {Value, ++Version, false};
  Changed.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  const std::lock_guard Guard(Lock);
  Tables[Table][Key] = {"", ++Version, true};
  Changed.notify_all();
}

void Store::serve(Connection &Client) {
  HttpMessage Request;
  while (Client.read(Request, false, ServeTimeoutMs) == ReadEnd::Complete)
    if (!Client.send(answer(Request)))
      return;
}

std::string Store::answer(const HttpMessage &Request) {
  const std::string Target = Request.target();
  const std::string Path = Target.substr(0, Target.find('?'));
  const auto Query = readQuery(Target);
  if (Path == "/v1/rows-tx")
    return answerTransaction(Request.Body);
  if (Query.count("table") == 0)
    return formatMessage(BadRequest, {}, "");
  if (Path == "/v1/rows-feed")
    return answerFeed(Query);
  const std::lock_guard Guard(Lock);
  return jsonAnswer(listRows(Query.at("table"), 0, false));
}

std::string Store::answerFeed(const std::map<std::string, std::string> &Query) {
  const std::string &Table = Query.at("table");
  const std::uint64_t After =
      std::strtoull(Query.at("after").c_str(), nullptr, 10);
  const std::chrono::milliseconds Wait(
      std::strtol(Query.at("waitMs").c_str(), nullptr, 10));
  std::unique_lock Guard(Lock);
  Changed.wait_for(Guard, Wait, [this, &Table, After] {
    for (const auto &[Key, Each] : Tables[Table])
      if (Each.Version > After)
        return true;
    return false;
  });
  return jsonAnswer(listRows(Table, After, true));
}

std::string Store::listRows(const std::string &Table, std::uint64_t After,
                            bool WithRemoved) const {
  Json Rows = Json::array();
  const auto Found = Tables.find(Table);
  if (Found != Tables.end())
    for (const auto &[Key, Each] : Found->second) {
      if (Each.Version <= After || (Each.Removed && !WithRemoved))
        continue;
      Json Fields = {
          {"table", Table}, {"part", ""}, {"key", Key}, {"ver", Each.Version}};
      if (Each.Removed)
        Fields["tombstone"] = true;
      else
        Fields["value"] = toBase64(Each.Value);
      Rows.push_back(std::move(Fields));
    }
  return Json({{"rows", Rows}, {"ver", Version}, {"hasMore", false}}).dump();
}

std::string Store::answerTransaction(const std::string &Body) {
  const Json Fields = Json::parse(Body, nullptr, false);
  if (!Fields.is_object())
    return formatMessage(BadRequest, {}, "");
  const std::lock_guard Guard(Lock);
  ++Version;
  for (const Json &Each : Fields.value("writes", Json::array()))
    Tables[Each.at("table")][Each.at("key")] = {fromBase64(Each.at("value")),
                                                Version, false};
  for (const Json &Each : Fields.value("remove", Json::array()))
    Tables[Each.at("table")][Each.at("key")] = {"", Version, true};
  Changed.notify_all();
  return jsonAnswer(Json({{"ver", Version}}).dump());
}

Target::Target(TargetSettings InitialSettings, RunHook OnRun,
               SpoiledHook OnSpoiled)
    : Settings(std::move(InitialSettings)), OnRun(std::move(OnRun)),
      OnSpoiled(std::move(OnSpoiled)),
      Http(Settings.Address, [this](Connection &Client) { serve(Client); }) {}

std::string Target::entry() const {
  return Json({{"address", Settings.Address},
               {"born", 1764900000000},
               {"info",
                {{"service", Settings.Service},
                 {"version", "v1"},
                 {"zone", Settings.Zone},
                 {"concurrency", Settings.Slots}}},
               {"status",
                {{"state", "ready"}, {"sequence", 1}, {"warmupLeft", "0ms"}}}})
      .dump();
}

void Target::serve(Connection &Client) {
  HttpMessage Request;
  while (Client.read(Request, false, ServeTimeoutMs) == ReadEnd::Complete)
    if (!Client.send(answer(Request)))
      return;
}

std::string Target::load() {
  const std::lock_guard Guard(Lock);
  return std::to_string(Running) + "," + std::to_string(Waiting) + "," +
         std::to_string(Settings.Slots) + ",100";
}

std::string Target::answer(const HttpMessage &Request) {
  if (Request.target() == "/health")
    return formatMessage(
        Ok, {{"X-Instance-Id", Settings.Id}, {"X-Server-Load", load()}}, "");
  const std::string Id = Request.field("X-Request-Id");
  Fields Headers = {{"X-Request-Id", Id}, {"X-Server-Load", load()}};
  if (Request.field("X-Expect-Instance") != Settings.Id) {
    Headers.emplace_back("X-Not-Executed", "1");
    return formatMessage("HTTP/1.1 421 Misdirected Request", Headers, "");
  }
  {
    std::unique_lock Guard(Lock);
    if (Running >= Settings.Slots && Waiting >= Settings.QueueLength) {
      Headers.emplace_back("X-Not-Executed", "1");
      return formatMessage("HTTP/1.1 503 Service Unavailable", Headers, "");
    }
    ++Waiting;
    SlotFree.wait(Guard, [this] { return Running < Settings.Slots; });
    --Waiting;
    ++Running;
  }
  OnRun(Request, Settings.Id);
  std::this_thread::sleep_for(Settings.Work);
  {
    const std::lock_guard Guard(Lock);
    --Running;
    SlotFree.notify_one();
  }
  Headers = {{"X-Request-Id", Id},
             {"X-Server-Load", load()},
             {"X-Response-Stamp", Settings.Id + "." + Id}};
  if (SpoiledLeft == 0)
    return formatMessage(Ok, Headers, "answer to " + Id);
  --SpoiledLeft;
  OnSpoiled(Id, Settings.Id);
  std::string Spoiled = std::string(Ok) + "\r\n";
  for (const auto &[Key, Value] : Headers)
    Spoiled.append(Key).append(": ").append(Value).append("\r\n");
  return Spoiled + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n" +
         "X-Checksum: " + std::string(LongFieldBytes, 'a') + "\r\n\r\n";
}

EntryHost::EntryHost(std::string Program, std::string Settings, std::string Log)
    : Program(std::move(Program)), Settings(std::move(Settings)),
      Log(std::move(Log)) {}

EntryHost::~EntryHost() {
  if (!isRunning())
    return;
  kill(Process, SIGKILL);
  waitpid(Process, &Status, 0);
}

void EntryHost::start() {
  const std::string Argument = "--settings=" + Settings;
  constexpr int LogMode = 0644;
  Process = fork();
  if (Process != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  execl(Program.c_str(), Program.c_str(), Argument.c_str(), nullptr);
  _exit(127);
}

void EntryHost::signal(int Signal) const {
  if (Process > 0)
    kill(Process, Signal);
}

double EntryHost::residentMb() const {
  std::ifstream File("/proc/" + std::to_string(Process) + "/statm");
  double Total = 0;
  double Resident = 0;
  if (Process <= 0 || !(File >> Total >> Resident))
    return 0;
  constexpr double BytesPerMb = 1 << 20;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMb;
}

bool EntryHost::isRunning() {
  if (Process <= 0)
    return false;
  if (waitpid(Process, &Status, WNOHANG) == 0)
    return true;
  Process = -1;
  return false;
}

Fleet::Fleet(std::string Program, std::string Folder, Record &Lines)
    : Program(std::move(Program)), Folder(std::move(Folder)), Lines(Lines) {
  PlatformAddress = nextAddress();
  Platform = std::make_unique<Store>(PlatformAddress);
}

/// Every address gets a loopback IP address of its own, so that ports are the
/// same everywhere, as on machines.
std::string Fleet::nextAddress() {
  const auto Id = static_cast<unsigned>(getpid());
  const unsigned Number = ++LastAddress;
  return "127." + std::to_string(1 + Id % 200) + "." +
         std::to_string(Id / 200 % 250) + "." + std::to_string(Number % 250) +
         ":" + std::to_string(18641 + Number / 250);
}

void Fleet::addTarget(const std::string &Service, unsigned Slots,
                      std::chrono::milliseconds Work) {
  TargetSettings Settings;
  Settings.Id = "i-" + Service + "-" + std::to_string(Targets.size() + 1);
  Settings.Service = Service;
  Settings.Zone = Targets.size() % 2 == 0 ? "bog-a" : "bog-b";
  Settings.Address = nextAddress();
  Settings.Slots = Slots;
  Settings.Work = Work;
  Targets.push_back(std::make_unique<Target>(
      Settings,
      [this](const HttpMessage &Request, const std::string &Id) {
        const std::string RequestId = Request.field("X-Request-Id");
        Lines.line("run request=" + RequestId + " target=" + Id);
        const std::lock_guard Guard(RunLock);
        Runs.push_back({RequestId, Id, Lines.elapsed(), Request.StartLine,
                        Request.Body.substr(0, MaxRecordedBody)});
      },
      [this](const std::string &RequestId, const std::string &Id) {
        Lines.line("spoiled request=" + RequestId + " target=" + Id);
      }));
  Platform->put("servers", Settings.Id, Targets.back()->entry());
}

void Fleet::configure(const std::vector<RouteSettings> &Routes) {
  Json RouteRows = Json::array();
  std::map<std::string, bool> Services;
  for (const RouteSettings &Each : Routes) {
    RouteRows.push_back({Each.Name, CallerHost, Each.Prefix,
                         Each.Safe ? "safe" : "unsafe",
                         std::to_string(Each.TimeoutMs) + "ms",
                         std::to_string(Each.ObjectiveMs) + "ms", Each.Priority,
                         Each.Service, Each.MaxAttempts});
    Services[Each.Service] = true;
  }
  Json ServiceRows = Json::array();
  for (const auto &[Name, Used] : Services)
    ServiceRows.push_back({Name, "/health", 220});
  const Json Configuration = {
      {"version", ++Version},
      {"routes",
       {{"columns",
         {"name", "host", "prefix", "routeKind", "timeout", "slo", "priority",
          "service", "maxAttempts"}},
        {"rows", RouteRows}}},
      {"services",
       {{"columns", {"name", "healthPath", "maxConns"}},
        {"rows", ServiceRows}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 67108864},
        {"headerTimeout", "3000ms"},
        {"idleTimeout", "15000ms"}}}};
  Platform->put("op", "config", Configuration.dump());
}

/// The settings that deploy/entry-host.toml yields for a machine. \p IsFirst is
/// whether the whole system starts for the first time.
void Fleet::writeSettings(const std::string &Path, const std::string &Name,
                          unsigned Index, const EntryHost &Host,
                          const std::string &PeerAddress,
                          const std::string &Seeds, bool IsFirst) const {
  std::ofstream File(Path);
  File << "[host]\nname = \"" << Name << "\"\ndata_centre = \""
       << (Index % 2 == 0 ? "bog-a" : "bog-b") << "\"\n\n[listen]\n"
       << "callers = \"" << Host.CallerAddress << "\"\npeers = \""
       << PeerAddress << "\"\nadmin = \"" << Host.AdminAddress
       << "\"\n\n[platform]\naddress = \"" << PlatformAddress
       << "\"\n\n[peers]\nseeds = [" << Seeds << "]\n\n[direct]\n"
       << "directory = \"" << Host.DirectoryAddress << "\"\nreadiness = \""
       << Host.ReadinessAddress << "\"\nretry_share = 0.2\n"
       << "retry_slack = 56\nretry_window = \"10s\"\nstop_grace = \"6s\"\n";
  if (IsFirst)
    File << "first_start = true\n";
}

bool Fleet::startHosts(unsigned Count) {
  std::vector<std::string> Peers;
  for (unsigned Index = 0; Index < Count; ++Index)
    Peers.push_back(nextAddress());
  std::string Seeds;
  for (unsigned Index = 0; Index < Count && Index < 3; ++Index)
    Seeds += (Index == 0 ? "\"" : ", \"") + Peers[Index] + "\"";
  for (unsigned Index = 0; Index < Count; ++Index) {
    const std::string Name = "front-" + std::to_string(Index + 1);
    const std::string Path = Folder + "/" + Name + ".toml";
    auto Host = std::make_unique<EntryHost>(Program, Path,
                                            Folder + "/" + Name + ".log");
    Host->CallerAddress = nextAddress();
    Host->DirectoryAddress = nextAddress();
    Host->ReadinessAddress = nextAddress();
    Host->AdminAddress = nextAddress();
    writeSettings(Path, Name, Index, *Host, Peers[Index], Seeds, true);
    Host->start();
    Lines.line("started " + Name + " callers=" + Host->CallerAddress);
    Hosts.push_back(std::move(Host));
  }
  constexpr unsigned MaxTries = 200;
  for (unsigned Try = 0; Try < MaxTries; ++Try) {
    std::size_t Ready = 0;
    for (const auto &Host : Hosts)
      Ready += isReady(*Host) && resolve(*Host).size() == Count ? 1 : 0;
    if (Ready == Count) {
      // Processes that start from now on are not part of the first start.
      for (unsigned Index = 0; Index < Count; ++Index) {
        const std::string Name = "front-" + std::to_string(Index + 1);
        writeSettings(Folder + "/" + Name + ".toml", Name, Index, *Hosts[Index],
                      Peers[Index], Seeds, false);
      }
      return true;
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

bool Fleet::isReady(const EntryHost &Host) {
  const auto Link = Connection::open(Host.ReadinessAddress);
  HttpMessage Answer;
  return Link->isOpen() &&
         Link->send("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         Link->read(Answer, true, 1000) == ReadEnd::Complete &&
         Answer.status() == 200;
}

std::vector<std::string> Fleet::resolve(const EntryHost &Host) {
  const auto Link = Connection::open(Host.DirectoryAddress);
  HttpMessage Answer;
  const bool Answered =
      Link->isOpen() &&
      Link->send("GET /v1/resolve?name=leny950.example&region=co-centro&zone="
                 "bog-a HTTP/1.1\r\nHost: directory\r\n\r\n") &&
      Link->read(Answer, true, 1000) == ReadEnd::Complete &&
      Answer.status() == 200;
  if (!Answered)
    return {};
  const Json Body = Json::parse(Answer.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("addrs"))
    return {};
  return Body.at("addrs").get<std::vector<std::string>>();
}

std::vector<Run> Fleet::runs() {
  const std::lock_guard Guard(RunLock);
  return Runs;
}

unsigned restartEnded(Fleet &Servers, Record &Lines) {
  unsigned Ended = 0;
  for (const auto &Host : Servers.Hosts) {
    if (Host->isRunning())
      continue;
    ++Ended;
    const int Status = Host->lastStatus();
    Lines.line("ended host=" + Host->CallerAddress +
               (WIFSIGNALED(Status)
                    ? " signal=" + std::to_string(WTERMSIG(Status))
                    : " exit=" + std::to_string(WEXITSTATUS(Status))));
    Host->start();
  }
  return Ended;
}

bool isTroubled() {
  const char *Trouble = std::getenv("TROUBLE");
  return Trouble == nullptr || std::string_view(Trouble) != "0";
}

} // namespace review
