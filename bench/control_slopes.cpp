/// \file
/// Measures the control-plane cost of one entry host for given numbers of
/// hosts, services, backend servers, configuration changes and restarts:
/// messages and bytes per second, bytes by message type, CPU time and memory of
/// the core.
///
/// Runs a whole fleet of cores in virtual time without any requests. The
/// results are averages per host; messages are encoded as on the wire to count
/// their bytes.
#include "tests/support/node_fleet.h"
#include "wire/peer_codec.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <sys/resource.h>

DEFINE_string(hosts, "6,12,24,48",
              "numbers of entry hosts to measure, separated by commas");
DEFINE_int32(services, 4, "number of services");
DEFINE_int32(servers, 40, "number of backend servers");
DEFINE_double(changes_per_day, 0, "configuration changes per day");
DEFINE_double(restarts_per_day, 0, "restarts of an entry host per day");
DEFINE_double(seconds, 20, "virtual time to run, in seconds");

namespace {

using namespace mimosacart;

/// Returns a configuration that differs for each \p Version.
Configuration makeConfiguration(unsigned Version) {
  Configuration Result;
  for (int ServiceIndex = 0; ServiceIndex < FLAGS_services; ++ServiceIndex) {
    Service NewService;
    NewService.Name = ServiceName(fmt::format("service-{}", ServiceIndex));
    NewService.Kinds = {{"read", "GET", fmt::format("/s{}/*", ServiceIndex),
                         true, std::chrono::milliseconds(1000 + Version),
                         PriorityClass::Normal, 2, false}};
    Result.Services.push_back(std::move(NewService));
  }
  for (int ServerIndex = 0; ServerIndex < FLAGS_servers; ++ServerIndex)
    Result.Services[static_cast<std::size_t>(ServerIndex % FLAGS_services)]
        .Servers.push_back({ServerName(fmt::format("server-{}", ServerIndex)),
                            fmt::format("10.0.0.1:{}", ServerIndex + 1),
                            fmt::format("dc-{}", ServerIndex % 11), 64, 1000});
  return Result;
}

/// Returns the user CPU time of this process.
double userCpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_utime.tv_sec) +
         static_cast<double>(Usage.ru_utime.tv_usec) / 1e6;
}

/// Returns the peak resident memory of this process in MiB.
double peakResidentMegabytes() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_maxrss) / 1024;
}

/// Messages of one type that the fleet sent.
struct Traffic {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

/// Runs a fleet of \p Hosts hosts and prints its cost per host.
void measure(unsigned Hosts) {
  NodeFleet Fleet(makeConfiguration(0));
  std::map<std::string, Traffic> Sent;
  double EncodingSeconds = 0;
  Fleet.Network = [&](const std::string &, const std::string &,
                      const PeerMessage &Message) {
    const double Before = userCpuSeconds();
    const std::size_t Bytes = encode(Message).size();
    EncodingSeconds += userCpuSeconds() - Before;
    Traffic &Counts = Sent[nameOf(Message.Body)];
    ++Counts.Messages;
    Counts.Bytes += Bytes;
    return Delivery{{std::chrono::milliseconds(1)}};
  };
  const double MemoryBefore = peakResidentMegabytes();
  for (unsigned Index = 0; Index < Hosts; ++Index)
    Fleet.addHost(fmt::format("host-{}", Index < 6
                                             ? std::string(1, "abcdef"[Index])
                                             : std::to_string(Index)),
                  fmt::format("dc-{}", Index % 11));
  Fleet.run(std::chrono::seconds(10));
  Sent.clear();
  EncodingSeconds = 0;
  const double CpuBefore = userCpuSeconds();
  constexpr double SecondsPerDay = 86'400;
  const double ChangeInterval = FLAGS_changes_per_day > 0
                                    ? SecondsPerDay / FLAGS_changes_per_day
                                    : FLAGS_seconds;
  const double RestartInterval = FLAGS_restarts_per_day > 0
                                     ? SecondsPerDay / FLAGS_restarts_per_day
                                     : FLAGS_seconds;
  double NextChange = ChangeInterval / 2;
  double NextRestart = RestartInterval / 3;
  unsigned Changes = 0;
  for (double Elapsed = 0; Elapsed < FLAGS_seconds; Elapsed += 0.1) {
    if (FLAGS_changes_per_day > 0 && Elapsed >= NextChange) {
      Fleet.applyToPlatform(makeConfiguration(++Changes));
      NextChange += ChangeInterval;
    }
    if (FLAGS_restarts_per_day > 0 && Elapsed >= NextRestart) {
      Fleet.kill("host-b");
      Fleet.restart("host-b");
      NextRestart += RestartInterval;
    }
    Fleet.run(std::chrono::milliseconds(100));
  }
  const double Cpu = userCpuSeconds() - CpuBefore - EncodingSeconds;
  const double PerHostSecond = 1.0 / Hosts / FLAGS_seconds;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::string BytesByType;
  for (const auto &[Type, Counts] : Sent) {
    Messages += Counts.Messages;
    Bytes += Counts.Bytes;
    BytesByType +=
        fmt::format(" {}={:.0f}B/s", Type,
                    static_cast<double>(Counts.Bytes) * PerHostSecond);
  }
  fmt::print(
      "hosts={} services={} servers={} changes_per_day={} "
      "restarts_per_day={} messages_per_s={:.1f} bytes_per_s={:.0f} "
      "cpu_percent={:.3f} memory_mb={:.2f}{}\n",
      Hosts, FLAGS_services, FLAGS_servers, FLAGS_changes_per_day,
      FLAGS_restarts_per_day, static_cast<double>(Messages) * PerHostSecond,
      static_cast<double>(Bytes) * PerHostSecond, Cpu * PerHostSecond * 100,
      (peakResidentMegabytes() - MemoryBefore) / Hosts, BytesByType);
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::string Remaining = FLAGS_hosts;
  while (!Remaining.empty()) {
    const std::size_t Comma = std::min(Remaining.find(','), Remaining.size());
    measure(static_cast<unsigned>(std::stoul(Remaining.substr(0, Comma))));
    Remaining.erase(0, Comma + 1);
  }
  return 0;
}
