/// \file
/// A small deployment: the store, backend servers and real entry hosts.
#pragma once

#include "server.h"
#include "store.h"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// One process of the program, started as the deploy file does it.
class EntryHost {
public:
  EntryHost(std::string Name, std::string Ip, const std::string &Folder);
  ~EntryHost();
  EntryHost(const EntryHost &) = delete;
  EntryHost &operator=(const EntryHost &) = delete;

  void writeSettings(const std::string &StoreAddress,
                     const std::vector<std::string> &Seeds,
                     unsigned MemoryMb) const;
  void start();
  void signal(int Signal) const;
  /// Whether the process has ended by now.
  bool hasEnded();
  bool isReady() const;

  const std::string &name() const { return Name; }
  Endpoint callers() const;
  Endpoint peers() const;

private:
  const std::string Name;
  const std::string Ip;
  const std::string SettingsPath;
  const std::string LogPath;
  pid_t Process = -1;
};

struct FleetOptions {
  unsigned Hosts = 3;
  unsigned MemoryMb = 650;
  unsigned Servers = 6;
  unsigned Slots = 6;
  std::chrono::milliseconds Work{};
  /// Timeout of the only route, which may not be repeated.
  std::chrono::milliseconds RouteTimeout{};
  BackendServer::LengthHook BodyLength;
};

/// Everything that a case needs besides its callers. The route is
/// POST http://case.example/once/.
class Fleet {
public:
  /// Throws std::runtime_error if an address cannot be used or the hosts do not
  /// become ready.
  explicit Fleet(const FleetOptions &Options);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  EntryHost &host(std::size_t Index) { return *Hosts.at(Index); }
  std::size_t hosts() const { return Hosts.size(); }
  const Executions &executions() const { return Log; }

private:
  std::string address(unsigned Group, unsigned Number) const;
  void startServers(const FleetOptions &Options);
  void startHosts(const FleetOptions &Options);
  void awaitReady() const;

  /// A temporary folder for settings and logs.
  std::string Folder;
  /// Second number of all addresses, which differs between cases that run at
  /// the same time.
  const unsigned Network;
  Executions Log;
  Store Platform;
  std::vector<std::unique_ptr<BackendServer>> Servers;
  std::vector<std::unique_ptr<EntryHost>> Hosts;
};

} // namespace review
