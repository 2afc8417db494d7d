/// \file
/// What control costs one entry host, against the number of hosts, services,
/// backend servers and configuration changes: messages and bytes a second by
/// type, processor time and memory of the core.
///
/// Runs a whole fleet of cores in virtual time without any load. The figures
/// are those of one host; bytes are of the real encoding.
#include "tests/support/node_fleet.h"
#include "wire/peer_codec.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <sys/resource.h>

DEFINE_string(hosts, "6,12,24,48", "numbers of entry hosts");
DEFINE_int32(services, 4, "services");
DEFINE_int32(servers, 40, "backend servers");
DEFINE_double(changes_per_day, 0, "configuration changes a day");
DEFINE_double(restarts_per_day, 0, "restarts of entry hosts a day");
DEFINE_double(seconds, 20, "virtual time to run");

namespace {

using namespace mimosacart;

Configuration makeConfiguration(unsigned Round) {
  Configuration Result;
  for (int S = 0; S < FLAGS_services; ++S) {
    Service Added;
    Added.Name = ServiceName(fmt::format("service-{}", S));
    Added.Kinds = {{"read", "GET", fmt::format("/s{}/*", S), true,
                    std::chrono::milliseconds(1000 + Round),
                    PriorityClass::Normal, 2, false}};
    Result.Services.push_back(std::move(Added));
  }
  for (int T = 0; T < FLAGS_servers; ++T)
    Result.Services[static_cast<std::size_t>(T % FLAGS_services)]
        .Servers.push_back({ServerName(fmt::format("server-{}", T)),
                            fmt::format("10.0.0.1:{}", T + 1),
                            fmt::format("dc-{}", T % 11), 64, 1000});
  return Result;
}

double cpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_utime.tv_sec) +
         static_cast<double>(Usage.ru_utime.tv_usec) / 1e6;
}

double residentMegabytes() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_maxrss) / 1024;
}

struct Traffic {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

void measure(unsigned Hosts) {
  NodeFleet Fleet(makeConfiguration(0));
  std::map<std::string, Traffic> Sent;
  double EncodingSeconds = 0;
  Fleet.Network = [&](const std::string &, const std::string &,
                      const PeerMessage &Message) {
    const double Before = cpuSeconds();
    const std::size_t Bytes = encode(Message).size();
    EncodingSeconds += cpuSeconds() - Before;
    Traffic &Into = Sent[nameOf(Message.Body)];
    ++Into.Messages;
    Into.Bytes += Bytes;
    return Delivery{{std::chrono::milliseconds(1)}};
  };
  const double MemoryBefore = residentMegabytes();
  for (unsigned Index = 0; Index < Hosts; ++Index)
    Fleet.addHost(fmt::format("host-{}", Index < 6
                                             ? std::string(1, "abcdef"[Index])
                                             : std::to_string(Index)),
                  fmt::format("dc-{}", Index % 11));
  Fleet.run(std::chrono::seconds(10));
  Sent.clear();
  EncodingSeconds = 0;
  const double CpuBefore = cpuSeconds();
  constexpr double SecondsPerDay = 86'400;
  const double ChangeEvery = FLAGS_changes_per_day > 0
                                 ? SecondsPerDay / FLAGS_changes_per_day
                                 : FLAGS_seconds;
  const double RestartEvery = FLAGS_restarts_per_day > 0
                                  ? SecondsPerDay / FLAGS_restarts_per_day
                                  : FLAGS_seconds;
  double NextChange = ChangeEvery / 2;
  double NextRestart = RestartEvery / 3;
  unsigned Changes = 0;
  for (double Passed = 0; Passed < FLAGS_seconds; Passed += 0.1) {
    if (FLAGS_changes_per_day > 0 && Passed >= NextChange) {
      Fleet.applyToPlatform(makeConfiguration(++Changes));
      NextChange += ChangeEvery;
    }
    if (FLAGS_restarts_per_day > 0 && Passed >= NextRestart) {
      Fleet.kill("host-b");
      Fleet.restart("host-b");
      NextRestart += RestartEvery;
    }
    Fleet.run(std::chrono::milliseconds(100));
  }
  const double Cpu = cpuSeconds() - CpuBefore - EncodingSeconds;
  const double PerHost = 1.0 / Hosts / FLAGS_seconds;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::string Types;
  for (const auto &[Type, Each] : Sent) {
    Messages += Each.Messages;
    Bytes += Each.Bytes;
    Types += fmt::format(" {}={:.0f}B/s", Type,
                         static_cast<double>(Each.Bytes) * PerHost);
  }
  fmt::print("hosts={} services={} servers={} changes_per_day={} "
             "restarts_per_day={} messages_per_s={:.1f} bytes_per_s={:.0f} "
             "cpu_percent={:.3f} memory_mb={:.2f}{}\n",
             Hosts, FLAGS_services, FLAGS_servers, FLAGS_changes_per_day,
             FLAGS_restarts_per_day, static_cast<double>(Messages) * PerHost,
             static_cast<double>(Bytes) * PerHost, Cpu * PerHost * 100,
             (residentMegabytes() - MemoryBefore) / Hosts, Types);
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::string Rest = FLAGS_hosts;
  while (!Rest.empty()) {
    const std::size_t Comma = std::min(Rest.find(','), Rest.size());
    measure(static_cast<unsigned>(std::stoul(Rest.substr(0, Comma))));
    Rest.erase(0, Comma + 1);
  }
  return 0;
}
