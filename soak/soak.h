/// \file
/// One seeded run: real entry hosts under injected faults, with stand-ins for
/// the store, the backend servers and the callers.
#pragma once

#include "net/http_client.h"
#include "soak/endless_peers.h"
#include "soak/fault_proxy.h"
#include "soak/host_process.h"
#include "soak/promises.h"
#include "soak/refusal_copies.h"
#include "soak/retry_checker.h"
#include "soak/soak_server.h"
#include "soak/workspace_checker.h"
#include "tests/standins/store_standin.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mimosacart {

/// Time at the start and at the end of a run in which no fault begins. A fault
/// that began earlier may last into the end.
constexpr auto FaultFreeStart = std::chrono::seconds(2);
constexpr auto FaultFreeEnd = std::chrono::seconds(9);

/// Settings of one run.
struct SoakOptions {
  /// Seed of the random engine that draws all requests and faults.
  std::uint64_t Seed = 1;
  std::chrono::seconds Length{20};
  /// Number of entry hosts.
  std::size_t HostCount = 3;
  double RequestsPerSecond = 80;
  /// Memory that each host may use, in megabytes.
  std::size_t MemoryMb = 128;
  /// Whether the hosts are told of it.
  bool TellMemory = true;
  /// Connections to each host on which callers send without end.
  std::size_t EndlessCallers = 3;
  /// Limits on retries that the hosts are told.
  SoakRetryLimits Retries;
  /// Whether servers fail and many hosts restart or pause at once, so that all
  /// retries are used up. Hosts know the addresses of three hosts only.
  bool RetryTrouble = false;
  /// Whether hosts are cut off from each other, the store and servers, callers
  /// repeat at once, and hosts know the addresses of three hosts only.
  bool CutTrouble = false;
  /// Whether callers need keys, and send some that are not valid or over a
  /// quota.
  bool Workspaces = false;
  /// Path of `mimosacartd`.
  std::string Program;
  /// Folder for the hosts' settings files and logs.
  std::string Folder;
};

/// Performs one run on the calling thread.
class Soak {
public:
  explicit Soak(SoakOptions RunOptions);
  ~Soak();

  /// Performs the run and returns the violations found.
  std::vector<std::string> run();
  /// Results of the run.
  const PromiseChecker &checker() const { return Checker; }
  /// Number of refusals that were sent once more.
  std::size_t refusalCopies() const { return Copies.count(); }
  const RetryChecker &retries() const { return Retries; }
  const WorkspaceChecker &keys() const { return Keys; }
  /// Largest memory of a host process, in megabytes.
  std::size_t peakMemoryMb() const { return PeakMemoryMb; }

private:
  /// A backend server and the proxy whose address is registered in the store.
  struct ServerInstance {
    std::string Service;
    std::string Id;
    std::string OwnAddress;
    std::string ProxyAddress;
    /// Incremented at every start.
    std::uint64_t Incarnation = 0;
    /// The store names it as draining, or has dropped it.
    bool IsLeaving = false;
    /// Null while the server is crashed.
    std::unique_ptr<SoakServer> RunningServer;
    std::unique_ptr<FaultProxy> Proxy;
  };
  /// An entry host process and the proxy between it and the store.
  struct EntryHost {
    std::string CallerAddress;
    /// IP address that the host connects from; empty if any.
    std::string SourceAddress;
    /// Where the host listens for peers.
    std::string PeerAddress;
    /// The address that peers are told of.
    std::string AdvertisedPeerAddress;
    /// Null unless hosts are cut off from each other.
    std::unique_ptr<FaultProxy> PeerProxy;
    std::unique_ptr<FaultProxy> StoreProxy;
    std::unique_ptr<HostProcess> Process;
    /// Whether the process is to be restarted when it ends; false while a
    /// restart is already scheduled.
    bool RestartWhenEnded = true;
  };
  /// Links that some hosts lose.
  struct Cut {
    std::string Description;
    /// Index of a host, and the link that it can't use.
    std::vector<std::pair<std::size_t, FaultProxy *>> Links;
  };

  /// Returns a loopback address and port that this run has not used yet.
  std::string allocateAddress();
  void addServer(const std::string &Service);
  void startServer(ServerInstance &Server);
  /// Writes the registration of \p Server with \p State to the store.
  void registerServer(const ServerInstance &Server, const std::string &State);
  void addHost(std::size_t Index);
  /// Writes a new configuration version that routes non-idempotent requests to
  /// \p NewOnceService to the store.
  void publishConfiguration(const std::string &NewOnceService);
  void sendRequests();
  /// Sends a request; if \p MayRepeat, the caller sends another one at once if
  /// it is not served.
  void sendRequest(bool MayRepeat);
  /// Allocates the addresses of the host for its peers, and a proxy between
  /// them if hosts are cut off from each other.
  void allocatePeerAddress(EntryHost &Host);
  void watchProcesses();
  /// Records the largest memory of a host, and reports it if it is too much.
  void checkMemory(std::size_t Index);
  /// Adds a server that answers without end, and schedules such callers.
  void scheduleEndlessPeers();
  void scheduleFaults();
  void injectFault();
  /// Schedules servers that name a limit, want a pause or leave.
  void scheduleWishes();
  /// Schedules drills of the store.
  void scheduleDrills();
  /// The store is away for \p Away and comes back from a copy of \p Age.
  void performDrill(std::chrono::milliseconds Away,
                    std::chrono::milliseconds Age, std::uint64_t RegisterSeed);
  /// Prints how many calls the hosts make to the store after its return.
  void countCallsAfterDrill();
  /// Writes what the operator and the servers wrote before, the servers after
  /// delays that \p RegisterSeed decides.
  void writeRowsAgain(std::uint64_t RegisterSeed);
  void writeServerRowAgain(const std::string &Id);
  void writeServerRow(const std::string &Id, const std::string &Value);
  void removeServerRow(const std::string &Id);
  /// Schedules servers that start again under new ids.
  void scheduleRestarts();
  void restartOnceServers(std::chrono::milliseconds OldEntryTime);
  void restartWhenIdle(ServerInstance &Server,
                       std::chrono::milliseconds OldEntryTime);
  enum class WishKind : std::uint8_t { Leave, Pause, Limit, UnreadableLimit };
  void announceWish(ServerInstance &Server, WishKind Kind, double Limit,
                    std::chrono::milliseconds Length);
  /// Schedules trouble that makes hosts use up their retries.
  void scheduleRetryTrouble();
  void startRetryEpisode();
  void troubleServers(ServerTrouble Kind);
  /// Schedules cuts between hosts, and between hosts, the store and servers.
  void scheduleCutTrouble();
  /// The table of workspaces in the configuration.
  nlohmann::json makeWorkspaces() const;
  /// Schedules callers of a workspace with a quota and with keys that are not
  /// valid.
  void scheduleWorkspaceTrouble();
  void sendKeyedRequests();
  void sendKeyedRequest();
  void startCut();
  Cut drawCut(const std::vector<std::size_t> &Part,
              const std::vector<std::size_t> &Rest);
  void beginCut(const Cut &Added, const std::vector<std::size_t> &Part,
                std::chrono::milliseconds Length);
  void signalWave(const std::vector<std::size_t> &Part);
  std::vector<std::size_t> drawPart();
  long drawForCuts(long Min, long Max);
  /// Suspends a share of the hosts for a while.
  void pauseHerd(double Share);
  /// Sends \p Signal to a share of the hosts and returns their indices.
  std::vector<std::size_t> signalHerd(int Signal, double Share,
                                      std::chrono::milliseconds Length);

  void killHost();
  void pauseHost();
  void stopHost();
  void reloadHost();
  void injectStoreLinkFault();
  void injectServerLinkFault();
  void injectStoreFault();
  void crashServer();
  void replaceServer();
  void slowDownServer();
  void changeConfiguration();

  /// Calls \p Callback on the event loop after \p Delay.
  void runAfter(std::chrono::milliseconds Delay,
                std::function<void()> Callback);
  /// Prints \p Event with the seconds since the start of the run.
  void printEvent(const std::string &Event) const;
  /// Records and prints a disturbance that starts now; without \p Host it
  /// affects all hosts.
  void recordDisturbance(const std::string &Description,
                         std::chrono::milliseconds Length,
                         std::optional<std::size_t> Host, DisturbanceKind Kind);
  /// Draws an index below \p Count.
  std::size_t drawIndex(std::size_t Count);
  /// Draws a duration from \p MinMs to \p MaxMs, both included.
  std::chrono::milliseconds drawDuration(unsigned MinMs, unsigned MaxMs);

  static constexpr const char *ReadService = "records";
  static constexpr const char *OpenWorkspace = "open";
  static constexpr const char *OpenWorkspaceKey = "key-open";
  static constexpr const char *LimitedWorkspace = "limited";

  const SoakOptions Options;
  std::mt19937_64 Random;
  RefusalCopies Copies{Options.Seed};
  asio::io_context Context;
  StoreStandin Store{Context};
  HttpClient CallerClient{Context, 1U << 20U};
  PromiseChecker Checker;
  RetryChecker Retries;
  std::mt19937_64 RetryRandom;
  std::mt19937_64 CutRandom;
  std::mt19937_64 WorkspaceRandom;
  const SoakQuota Quota;
  WorkspaceChecker Keys{Quota,
                        [this](std::size_t Host, SoakTime From, SoakTime To) {
                          return Checker.wasDisturbed(Host, From, To, true);
                        }};
  /// When a key of the open workspace was taken away.
  std::optional<SoakTime> RevokedAt;
  std::string StoreAddress;
  std::vector<std::unique_ptr<ServerInstance>> Servers;
  std::vector<EntryHost> Hosts;
  /// Service that the current configuration routes non-idempotent requests to.
  std::string OnceService = "ledger";
  /// What each server last wrote to its row; no value if that was removed.
  std::map<std::string, std::optional<std::string>> ServerRows;
  /// What the operator last wrote.
  std::string ConfigurationRow;
  unsigned LastAddressNumber = 0;
  unsigned LastServerNumber = 0;
  unsigned LastRequestNumber = 0;
  /// Version of the last published configuration.
  unsigned ConfigurationVersion = 0;
  std::unique_ptr<EndlessServer> AnswersWithoutEnd;
  std::unique_ptr<EndlessCallers> RequestsWithoutEnd;
  std::size_t PeakMemoryMb = 0;
  SoakTime StartedAt;
  bool IsSending = true;
};

} // namespace mimosacart
