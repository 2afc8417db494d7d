/// \file
/// Processor time of the core's decisions at today's and the target's sizes.
#include "core/node.h"
#include "core/ownership.h"
#include "settings/configuration_file.h"

#include <benchmark/benchmark.h>

#include <string>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

Configuration makeConfiguration(std::size_t Services, std::size_t Servers) {
  Configuration Result;
  for (std::size_t S = 0; S < Services; ++S) {
    Service Added;
    Added.Name = ServiceName("service-" + std::to_string(S));
    const std::string Path = "/s" + std::to_string(S) + "/*";
    Added.Kinds = {
        {"read", "GET", Path, true, 2s, PriorityClass::Normal, 2, false}};
    Result.Services.push_back(std::move(Added));
  }
  for (std::size_t T = 0; T < Servers; ++T) {
    Service &Into = Result.Services[T % Services];
    Into.Servers.push_back({ServerName("server-" + std::to_string(T)),
                            "10.0.0.1:" + std::to_string(T + 1), "dc-a", 64,
                            1000});
  }
  return Result;
}

MemberRecord makeHost(std::size_t Index, std::size_t DataCentres) {
  MemberRecord Host;
  Host.Host = HostName("host-" + std::to_string(Index));
  Host.Incarnation = IncarnationId(1);
  Host.DataCentre =
      "dc-" + std::string(1, static_cast<char>('a' + Index % DataCentres));
  Host.PeerAddress = "peer:" + std::to_string(Index);
  Host.CallerAddress = "caller:" + std::to_string(Index);
  return Host;
}

/// One host alone, so that every decision is its own.
std::unique_ptr<Node> makeNode(std::size_t Services, std::size_t Servers) {
  NodeSettings Settings;
  Settings.Self = makeHost(0, 1);
  auto Core = std::make_unique<Node>(Instant(1h), Settings);
  VersionedConfiguration Next{Generation(1), "digest", "",
                              makeConfiguration(Services, Servers)};
  Core->onConfiguration(
      Instant(1h),
      std::make_shared<const VersionedConfiguration>(std::move(Next)));
  Core->takeActions();
  return Core;
}

/// From the arrival of a request to the call, and from the server's answer to
/// the caller's.
void requestAndAnswer(benchmark::State &State) {
  const auto Services = static_cast<std::size_t>(State.range(0));
  const auto Servers = static_cast<std::size_t>(State.range(1));
  const auto Core = makeNode(Services, Servers);
  CallerRequest Built;
  Built.Method = "GET";
  Built.Target = "/s7/1";
  const auto Request = std::make_shared<const CallerRequest>(Built);
  const auto Reply = std::make_shared<const Answer>(Answer{200, {}, "ok"});
  Instant Now(1h);
  std::uint64_t Id = 0;
  for (auto _ : State) {
    Now += 10us;
    ++Id;
    Core->onCallerRequest(Now, RequestId(Id), Request);
    benchmark::DoNotOptimize(Core->takeActions());
    Core->onCallResult(Now, CallId(Id), {CallEnd::Answered, Reply});
    benchmark::DoNotOptimize(Core->takeActions());
  }
}
BENCHMARK(requestAndAnswer)->Args({10, 40})->Args({570, 2900});

/// The choice of a kind for one request.
void routeLookUp(benchmark::State &State) {
  const RouteTable Table(
      makeConfiguration(static_cast<std::size_t>(State.range(0)), 1));
  for (auto _ : State)
    benchmark::DoNotOptimize(Table.match("GET", "/s7/1"));
}
BENCHMARK(routeLookUp)->Arg(10)->Arg(570);

/// A new configuration or a change of membership: every owner anew.
void ownersOfAllServers(benchmark::State &State) {
  const Configuration Content =
      makeConfiguration(static_cast<std::size_t>(State.range(0)),
                        static_cast<std::size_t>(State.range(1)));
  std::vector<MemberRecord> Hosts;
  for (std::int64_t Index = 0; Index < State.range(2); ++Index)
    Hosts.push_back(makeHost(static_cast<std::size_t>(Index), 11));
  for (auto _ : State)
    for (const Service &Subject : Content.Services)
      benchmark::DoNotOptimize(assignOwners(Subject, Hosts));
}
BENCHMARK(ownersOfAllServers)
    ->Args({4, 40, 6})
    ->Args({570, 2900, 60})
    ->Args({570, 2900, 120})
    ->Args({570, 2900, 240});

std::string writeConfiguration(const Configuration &Content) {
  std::string Text;
  for (const Service &Subject : Content.Services) {
    Text += "[[service]]\nname = \"" + Subject.Name.value() + "\"\n";
    for (const RequestKind &Kind : Subject.Kinds)
      Text += "[[service.kind]]\nname = \"" + Kind.Name + "\"\npath = \"" +
              Kind.Path + "\"\nidempotent = true\ndeadline_ms = 2000\n";
    for (const BackendServer &Server : Subject.Servers)
      Text += "[[service.server]]\nname = \"" + Server.Name.value() +
              "\"\naddress = \"" + Server.Address + "\"\ndata_centre = \"" +
              Server.DataCentre + "\"\nslots = 64\nconnections = 1000\n";
  }
  return Text;
}

/// Reading and checking a whole file of the operators.
void parseWholeFile(benchmark::State &State) {
  const std::string Text = writeConfiguration(
      makeConfiguration(static_cast<std::size_t>(State.range(0)),
                        static_cast<std::size_t>(State.range(1))));
  for (auto _ : State)
    benchmark::DoNotOptimize(parseConfiguration(Text, "bench").has_value());
  State.counters["file_bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(parseWholeFile)->Args({4, 40})->Args({570, 2900});

/// A tick of an idle host, which runs 200 times a second.
void idleTick(benchmark::State &State) {
  const auto Core = makeNode(static_cast<std::size_t>(State.range(0)),
                             static_cast<std::size_t>(State.range(1)));
  Instant Now(1h);
  for (auto _ : State) {
    Now += 5ms;
    Core->onTick(Now);
    benchmark::DoNotOptimize(Core->takeActions());
  }
}
BENCHMARK(idleTick)->Args({4, 40})->Args({570, 2900});

} // namespace
} // namespace mimosacart

BENCHMARK_MAIN();
