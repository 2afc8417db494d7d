/// \file
/// A small deployment for the cases of the review: entry hosts as processes,
/// with stand-ins for the platform's store and the targets.
#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <map>
#include <optional>
#include <sys/types.h>

namespace review {

/// Lines of record.txt, each with the seconds since the start.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void line(const std::string &Text);
  double elapsed() const;

private:
  std::FILE *File;
  std::mutex Lock;
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
};

/// The platform's metadata store.
class Store {
public:
  explicit Store(const std::string &Address);
  bool isListening() const { return Http.isListening(); }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };

  void serve(Connection &Client);
  std::string answer(const HttpMessage &Request);
  std::string answerFeed(const std::map<std::string, std::string> &Query);
  std::string answerTransaction(const std::string &Body);
  std::string listRows(const std::string &Table, std::uint64_t After,
                       bool WithRemoved) const;

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::uint64_t Version = 0;
  Listener Http;
};

/// A run of a request at a target.
struct Run {
  std::string RequestId;
  std::string Target;
  double At = 0;
  /// Request line and the first bytes of the body as the target got them.
  std::string StartLine;
  std::string Body;
};

struct TargetSettings {
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Address;
  unsigned Slots = 2;
  unsigned QueueLength = 8;
  std::chrono::milliseconds Work{20};
};

/// A sound target.
class Target {
public:
  using RunHook = std::function<void(const HttpMessage &, const std::string &)>;

  using SpoiledHook =
      std::function<void(const std::string &RequestId, const std::string &Id)>;

  /// \p OnRun is called with the request and the id of this target when it
  /// begins to work on the request, \p OnSpoiled before a spoiled answer.
  Target(TargetSettings Settings, RunHook OnRun, SpoiledHook OnSpoiled);
  bool isListening() const { return Http.isListening(); }
  const TargetSettings &settings() const { return Settings; }
  /// Spoils the next \p Count answers to requests: the chunked body ends with a
  /// trailer field of LongFieldBytes.
  void spoil(unsigned Count) { SpoiledLeft += Count; }
  static constexpr std::size_t LongFieldBytes = 70000;
  /// Value of this target's row in the table of servers.
  std::string entry() const;

private:
  void serve(Connection &Client);
  std::string answer(const HttpMessage &Request);
  std::string load();

  const TargetSettings Settings;
  const RunHook OnRun;
  const SpoiledHook OnSpoiled;
  std::mutex Lock;
  std::condition_variable SlotFree;
  unsigned Running = 0;
  unsigned Waiting = 0;
  std::atomic<unsigned> SpoiledLeft = 0;
  Listener Http;
};

/// A process of mimosacartd.
class EntryHost {
public:
  EntryHost(std::string Program, std::string Settings, std::string Log);
  /// Kills the process if it still runs.
  ~EntryHost();
  EntryHost(const EntryHost &) = delete;
  EntryHost &operator=(const EntryHost &) = delete;

  void start();
  void signal(int Signal) const;
  /// Whether the process runs; takes its exit status otherwise.
  bool isRunning();
  /// Resident memory of the process; zero if it does not run.
  double residentMb() const;
  /// Status from waitpid() of the last process that ended.
  int lastStatus() const { return Status; }

  std::string CallerAddress;
  std::string DirectoryAddress;
  std::string ReadinessAddress;
  std::string AdminAddress;

private:
  const std::string Program;
  const std::string Settings;
  const std::string Log;
  pid_t Process = -1;
  int Status = 0;
};

/// A route of the configuration.
struct RouteSettings {
  std::string Name;
  std::string Prefix;
  bool Safe = true;
  std::string Service;
  unsigned TimeoutMs = 1000;
  unsigned ObjectiveMs = 400;
  unsigned Priority = 1;
  unsigned MaxAttempts = 2;
};

inline constexpr const char *CallerHost = "leny950.example";

/// Store, targets and entry hosts on loopback addresses.
class Fleet {
public:
  /// \p Folder is an empty folder for settings and logs.
  Fleet(std::string Program, std::string Folder, Record &Lines);

  void addTarget(const std::string &Service, unsigned Slots,
                 std::chrono::milliseconds Work);
  void configure(const std::vector<RouteSettings> &Routes);
  /// Creates and starts \p Count hosts, and waits until all are ready; false if
  /// one is not ready in time.
  bool startHosts(unsigned Count);
  /// Whether the host answers its readiness address with 200.
  static bool isReady(const EntryHost &Host);
  /// Addresses that a host's directory names; empty if it does not answer.
  static std::vector<std::string> resolve(const EntryHost &Host);

  std::vector<std::unique_ptr<EntryHost>> Hosts;
  std::vector<std::unique_ptr<Target>> Targets;
  /// Copies the runs so far.
  std::vector<Run> runs();

private:
  std::string nextAddress();
  void writeSettings(const std::string &Path, const std::string &Name,
                     unsigned Index, const EntryHost &Host,
                     const std::string &PeerAddress, const std::string &Seeds,
                     bool IsFirst) const;

  const std::string Program;
  const std::string Folder;
  Record &Lines;
  unsigned LastAddress = 0;
  std::unique_ptr<Store> Platform;
  std::string PlatformAddress;
  std::mutex RunLock;
  std::vector<Run> Runs;
  std::uint64_t Version = 0;
};

/// Starts hosts again whose processes have ended. Returns how many had.
unsigned restartEnded(Fleet &Servers, Record &Lines);

/// Whether TROUBLE=0 asks for a run without the disruption.
bool isTroubled();

} // namespace review
