/// \file
/// A small fleet of real processes on loopback addresses, with the stand-ins
/// in the place of the platform and the backend servers.
#pragma once

#include "net/http_message.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mimosacart {

/// One process that a test started; killed with the object.
class ChildProcess {
public:
  /// Starts \p Arguments with standard output and error appended to \p Log.
  ChildProcess(const std::vector<std::string> &Arguments,
               const std::string &Log);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int Number) const;
  /// Waits for the end of the process; its exit status, or -1 if a signal
  /// ended it.
  int wait();
  bool running();

private:
  pid_t Pid = -1;
  std::optional<int> Status;
};

/// An entry of `GET /v1/entries`.
struct ListedEntry {
  std::string Host;
  std::string Address;
  std::string Token;
};

/// Sizes of a ProcessFleet.
struct FleetShape {
  unsigned Hosts = 3;
  unsigned Servers = 6;
  unsigned Slots = 2;
  double MeanMs = 10;
};

/// Platform, backend servers and entry hosts as processes.
///
/// The servers answer kinds `read` (`GET /read/*`, idempotent) and `book`
/// (`POST /book/*`, not idempotent).
class ProcessFleet {
public:
  explicit ProcessFleet(FleetShape Shape);
  ~ProcessFleet();

  void startPlatform();
  void stopPlatform();
  void startServer(unsigned Index);
  void startHost(unsigned Index);
  /// Starts all of the above, applies the file, waits until every host is
  /// ready.
  void startAll();

  ChildProcess &host(unsigned Index) { return *Hosts.at(Index); }
  void dropHost(unsigned Index) { Hosts.erase(Index); }
  void dropServer(unsigned Index) { Servers.erase(Index); }
  bool serverRunning(unsigned Index);

  /// Makes one HTTP call and waits; nothing if there was no whole answer.
  std::optional<HttpResponse>
  call(const std::string &Address, HttpRequest Request,
       std::chrono::milliseconds Timeout = std::chrono::seconds(10));
  /// Makes all calls at once and waits for all.
  std::vector<std::optional<HttpResponse>>
  callAll(const std::vector<std::pair<std::string, HttpRequest>> &Calls,
          std::chrono::milliseconds Timeout = std::chrono::seconds(30));

  HttpRequest book(const std::string &Id, const std::string &Token,
                   const std::string &Body = "") const;
  HttpRequest read(const std::string &Id) const;

  /// What host \p Index tells callers; empty if it does not answer.
  std::vector<ListedEntry> entries(unsigned Index);
  /// Token of host \p Index as it tells itself.
  std::string token(unsigned Index);
  nlohmann::json status(unsigned Index);
  void controlPlatform(const std::string &Body);
  void controlHostList(const std::string &Body);
  void controlServer(unsigned Index, const std::string &Body);

  /// Runs `mimosacartctl`; returns its exit status, appends output to a log.
  int operate(const std::vector<std::string> &Arguments,
              const std::string &Log = "ctl.log");

  /// Executions of \p Key over all servers, from their logs.
  std::size_t executionsOf(const std::string &Key) const;
  std::size_t executionsOn(unsigned Server) const;

  /// Waits until \p Condition holds, at most 20 s; false if it never does.
  bool eventually(const std::function<bool()> &Condition);

  /// Writes a declarative file with \p Extra more kinds than usual.
  std::string writeConfiguration(const std::string &Name, unsigned Extra = 0);

  std::string callerAddress(unsigned Index) const { return Callers.at(Index); }
  std::string peerAddress(unsigned Index) const { return Peers.at(Index); }
  std::string adminAddress(unsigned Index) const { return Admins.at(Index); }
  std::string operatorSettings() const { return path("operator.toml"); }
  std::string path(const std::string &Name) const { return Folder / Name; }

private:
  struct Loop;

  void writeSettings();

  const FleetShape Shape;
  std::filesystem::path Folder;
  std::string PlatformAddress;
  std::vector<std::string> ServerAddresses;
  std::vector<std::string> Callers;
  std::vector<std::string> Peers;
  std::vector<std::string> Admins;
  std::unique_ptr<ChildProcess> Platform;
  std::map<unsigned, std::unique_ptr<ChildProcess>> Servers;
  std::map<unsigned, std::unique_ptr<ChildProcess>> Hosts;
  std::unique_ptr<Loop> Running;
};

} // namespace mimosacart
