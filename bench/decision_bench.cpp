/// \file
/// Benchmarks of the core's decisions at the current and the target size of the
/// fleet.
#include "core/node.h"
#include "core/ownership.h"
#include "direct/server_constraints.h"
#include "direct/workspace_directory.h"
#include "settings/configuration_file.h"

#include <benchmark/benchmark.h>

#include <string>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

Configuration makeConfiguration(std::size_t Services, std::size_t Servers) {
  Configuration Result;
  for (std::size_t ServiceIndex = 0; ServiceIndex < Services; ++ServiceIndex) {
    Service NewService;
    NewService.Name = ServiceName("service-" + std::to_string(ServiceIndex));
    const std::string Path = "/s" + std::to_string(ServiceIndex) + "/*";
    NewService.Kinds = {
        {"read", "GET", Path, true, 2s, PriorityClass::Normal, 2, false}};
    Result.Services.push_back(std::move(NewService));
  }
  for (std::size_t ServerIndex = 0; ServerIndex < Servers; ++ServerIndex) {
    Service &Target = Result.Services[ServerIndex % Services];
    Target.Servers.push_back(
        {ServerName("server-" + std::to_string(ServerIndex)),
         "10.0.0.1:" + std::to_string(ServerIndex + 1), "dc-a", 64, 1000});
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

/// Returns a node that is the only host of its fleet, so that it makes every
/// decision itself.
std::unique_ptr<Node> makeNode(std::size_t Services, std::size_t Servers) {
  NodeSettings Settings;
  Settings.Self = makeHost(0, 1);
  auto Core = std::make_unique<Node>(Instant(1h), Settings);
  VersionedConfiguration Initial{Generation(1), "digest", "",
                                 makeConfiguration(Services, Servers)};
  Core->onConfiguration(
      Instant(1h),
      std::make_shared<const VersionedConfiguration>(std::move(Initial)));
  Core->takeActions();
  return Core;
}

/// Handling of one request: from its arrival to the call of a backend server,
/// and from the server's answer to the answer to the caller.
void requestAndAnswer(benchmark::State &State) {
  const auto Services = static_cast<std::size_t>(State.range(0));
  const auto Servers = static_cast<std::size_t>(State.range(1));
  const auto Core = makeNode(Services, Servers);
  CallerRequest Content;
  Content.Method = "GET";
  Content.Target = "/s7/1";
  const auto Request = std::make_shared<const CallerRequest>(Content);
  const auto ServerAnswer =
      std::make_shared<const Answer>(Answer{200, {}, "ok"});
  Instant Now(1h);
  std::uint64_t Id = 0;
  for (auto _ : State) {
    Now += 10us;
    ++Id;
    Core->onCallerRequest(Now, RequestId(Id), Request);
    benchmark::DoNotOptimize(Core->takeActions());
    Core->onCallResult(Now, CallId(Id), {CallEnd::Answered, ServerAnswer});
    benchmark::DoNotOptimize(Core->takeActions());
  }
}
BENCHMARK(requestAndAnswer)->Args({10, 40})->Args({570, 2900});

/// Lookup of the request kind that matches one request.
void routeLookUp(benchmark::State &State) {
  const RouteTable Table(
      makeConfiguration(static_cast<std::size_t>(State.range(0)), 1));
  for (auto _ : State)
    benchmark::DoNotOptimize(Table.match("GET", "/s7/1"));
}
BENCHMARK(routeLookUp)->Arg(10)->Arg(570);

/// Assignment of an owner to every backend server, as after a new configuration
/// or a membership change.
void ownersOfAllServers(benchmark::State &State) {
  const Configuration Content =
      makeConfiguration(static_cast<std::size_t>(State.range(0)),
                        static_cast<std::size_t>(State.range(1)));
  std::vector<MemberRecord> Hosts;
  for (std::int64_t Index = 0; Index < State.range(2); ++Index)
    Hosts.push_back(makeHost(static_cast<std::size_t>(Index), 11));
  for (auto _ : State)
    for (const Service &Entry : Content.Services)
      benchmark::DoNotOptimize(assignOwners(Entry, Hosts));
}
BENCHMARK(ownersOfAllServers)
    ->Args({4, 40, 6})
    ->Args({570, 2900, 60})
    ->Args({570, 2900, 120})
    ->Args({570, 2900, 240});

/// Formats \p Content as a configuration file.
std::string formatConfiguration(const Configuration &Content) {
  std::string Text;
  for (const Service &Entry : Content.Services) {
    Text += "[[service]]\nname = \"" + Entry.Name.value() + "\"\n";
    for (const RequestKind &Kind : Entry.Kinds)
      Text += "[[service.kind]]\nname = \"" + Kind.Name + "\"\npath = \"" +
              Kind.Path + "\"\nidempotent = true\ndeadline_ms = 2000\n";
    for (const BackendServer &Server : Entry.Servers)
      Text += "[[service.server]]\nname = \"" + Server.Name.value() +
              "\"\naddress = \"" + Server.Address + "\"\ndata_centre = \"" +
              Server.DataCentre + "\"\nslots = 64\nconnections = 1000\n";
  }
  return Text;
}

/// Parsing and checking a whole configuration file.
void parseWholeFile(benchmark::State &State) {
  const std::string Text = formatConfiguration(
      makeConfiguration(static_cast<std::size_t>(State.range(0)),
                        static_cast<std::size_t>(State.range(1))));
  for (auto _ : State)
    benchmark::DoNotOptimize(parseConfiguration(Text, "bench").has_value());
  State.counters["file_bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(parseWholeFile)->Args({4, 40})->Args({570, 2900});

/// One tick of an idle host; a host ticks 200 times a second.
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

/// The check of one request which of a service's servers may be sent to. The
/// second argument is whether all of them name limits.
void checkServerConstraints(benchmark::State &State) {
  std::vector<DiscoveredServer> Servers(
      static_cast<std::size_t>(State.range(0)));
  ServerConstraints Constraints([](const ServerName &) {
    return FleetPosition{HostPosition{}, HostPosition{}};
  });
  Instant Now(1h);
  for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
    Servers[Index].Id = ServerName("server-" + std::to_string(Index));
    if (State.range(1) != 0)
      Constraints.setLimit(Now, Servers[Index].Id, 2.5);
  }
  for (auto _ : State) {
    Now += 1ms;
    std::size_t Sendable = 0;
    for (const DiscoveredServer &Server : Servers)
      Sendable += Constraints.sendableAt(Now, Server) <= Now ? 1 : 0;
    benchmark::DoNotOptimize(Sendable);
  }
}
BENCHMARK(checkServerConstraints)->ArgsProduct({{30, 3000}, {0, 1}});

RouteConfigurationPtr makeWorkspaces(std::size_t Count) {
  RouteConfiguration Result;
  Result.Workspaces.emplace(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::string Name = "workspace-" + std::to_string(Index);
    (*Result.Workspaces)[Index].Name = Name;
    (*Result.Workspaces)[Index].Keys = {digestKey(Name + "-1"),
                                        digestKey(Name + "-2")};
  }
  return std::make_shared<const RouteConfiguration>(std::move(Result));
}

/// Hashing and looking up the key of one request among those of the workspaces,
/// two each.
void checkKey(benchmark::State &State) {
  const WorkspaceDirectory Directory(
      makeWorkspaces(static_cast<std::size_t>(State.range(0))));
  const HostRoute Route;
  for (auto _ : State) {
    const CallerKey Key{digestKey("workspace-7-2"), false};
    benchmark::DoNotOptimize(Directory.check(Route, Key));
  }
}
BENCHMARK(checkKey)->Arg(78)->Arg(10'000);

/// Making the index when a configuration comes into force.
void indexKeys(benchmark::State &State) {
  const RouteConfigurationPtr Configuration =
      makeWorkspaces(static_cast<std::size_t>(State.range(0)));
  for (auto _ : State)
    benchmark::DoNotOptimize(WorkspaceDirectory(Configuration));
}
BENCHMARK(indexKeys)->Arg(78)->Arg(10'000);

} // namespace
} // namespace mimosacart

BENCHMARK_MAIN();
