/// \file
/// One seeded run: real entry hosts, stand-ins for all else, and faults.
#pragma once

#include "net/http_client.h"
#include "soak/fault_proxy.h"
#include "soak/host_process.h"
#include "soak/promises.h"
#include "soak/soak_server.h"
#include "tests/standins/store_standin.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mimosacart {

/// What one run is told.
struct SoakOptions {
  std::uint64_t Seed = 1;
  std::chrono::seconds Length{20};
  std::size_t Hosts = 3;
  double RequestsPerSecond = 80;
  /// Path of `mimosacartd`.
  std::string Program;
  /// Folder for settings and logs.
  std::string Folder;
};

/// Plays one run in its thread.
class Soak {
public:
  explicit Soak(SoakOptions Options);
  ~Soak();

  /// PromiseChecker that were broken.
  std::vector<std::string> run();
  const PromiseChecker &seen() const { return Checked; }

private:
  /// A server with the proxy at which it is registered.
  struct Server {
    std::string Service;
    std::string Id;
    std::string OwnAddress;
    std::string ProxyAddress;
    std::uint64_t Born = 0;
    std::unique_ptr<SoakServer> Running;
    std::unique_ptr<FaultProxy> Proxy;
  };
  struct Host {
    std::string CallerAddress;
    std::unique_ptr<FaultProxy> StoreProxy;
    std::unique_ptr<HostProcess> Process;
    /// The next end of the process is wanted and followed by a start.
    bool Restarts = true;
  };

  std::string address();
  void addServer(const std::string &Service);
  void startServer(Server &Of);
  void registerServer(const Server &Of, const std::string &State);
  void addHost(std::size_t Number);
  void configure(const std::string &OnceService);
  void sendRequests();
  void sendRequest();
  void watchProcesses();
  void scheduleFaults();
  void playFault();

  void killHost();
  void pauseHost();
  void stopHost();
  void reloadHost();
  void harmStoreLink();
  void harmServerLink();
  void harmStore();
  void crashServer();
  void replaceServer();
  void slowServer();
  void changeConfiguration();

  void after(std::chrono::milliseconds Delay, std::function<void()> Next);
  void say(const std::string &What) const;
  void disturb(const std::string &What, std::chrono::milliseconds Length,
               std::optional<std::size_t> Host, bool Planned = false);
  std::size_t draw(std::size_t Count);
  std::chrono::milliseconds drawTime(unsigned Least, unsigned Most);

  const SoakOptions Options;
  std::mt19937_64 Random;
  asio::io_context Context;
  StoreStandin Store{Context};
  HttpClient Callers{Context, 1U << 20U};
  PromiseChecker Checked;
  std::string StoreAddress;
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<Host> Hosts;
  std::string OnceService = "ledger";
  unsigned LastAddress = 0;
  unsigned LastServer = 0;
  unsigned LastRequest = 0;
  unsigned Version = 0;
  SoakTime StartedAt;
  bool Sending = true;
};

} // namespace mimosacart
