/// \file
/// Measures what notices of crashed servers cost one of 231 hosts in three data
/// centres: notices that are new, known or expired, and those of this host.
#include "direct/fleet_gossip.h"
#include "wire/peer_codec.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

namespace {

using namespace mimosacart;

constexpr unsigned Hosts = 231;
constexpr unsigned DataCentres = 3;

MemberRecord makeMember(unsigned Number) {
  MemberRecord Result;
  Result.Host = HostName("host-" + std::to_string(Number) + "~1");
  Result.Incarnation = IncarnationId(Number + 1);
  Result.DataCentre = "dc-" + std::to_string(Number % DataCentres);
  Result.PeerAddress = "10.0.0." + std::to_string(Number) + ":7000";
  Result.CallerAddress = Result.PeerAddress;
  return Result;
}

/// A host that knows all others. Messages are encoded and dropped.
class GossipHost {
public:
  GossipHost()
      : Gossip(makeSettings(),
               {{StoreTable::Routes, &Routes}, {StoreTable::Servers, &Servers}},
               makeHooks()) {
    SoftState Others;
    for (unsigned Number = 1; Number < Hosts; ++Number)
      Others.Members.push_back(makeMember(Number));
    receive(std::move(Others));
    advance();
    Sent = 0;
    Lines = 0;
  }

  /// Receives updates of a host in another data centre, which this host
  /// forwards in its own.
  void receive(SoftState Updates) {
    Updates.ForwardInDataCentre = true;
    Gossip.onMessage(Now, {HostName("host-1~1"), IncarnationId(2), ++Sequence,
                           Now, std::move(Updates)});
  }

  void receiveCrash(std::uint64_t Fingerprint, Duration Remaining) {
    SoftState Updates;
    Updates.Crashes.push_back(
        {Fingerprint, ServerName("10.1.0.1:80"), Fingerprint, Remaining});
    receive(std::move(Updates));
  }

  void advance() {
    Now += std::chrono::milliseconds(200);
    Gossip.tick(Now);
  }

  Instant Now{std::chrono::hours(1)};
  std::uint64_t Sent = 0;
  std::uint64_t Lines = 0;
  TableCache Routes{[](const TableRow &) {}};
  TableCache Servers{[](const TableRow &) {}};
  FleetGossip Gossip;

private:
  static FleetSettings makeSettings() {
    FleetSettings Result;
    Result.Self = makeMember(0);
    Result.RandomSeed = 1;
    return Result;
  }

  FleetGossip::Hooks makeHooks() {
    FleetGossip::Hooks Result;
    Result.Send = [this](const std::string &, const PeerMessage &Message) {
      ++Sent;
      benchmark::DoNotOptimize(encode(Message));
    };
    Result.SetReadMode = [](StoreTable, ReadMode) {};
    Result.ReadTable = [](StoreTable) {};
    Result.Log = [this](const char *, const FlowFields &) { ++Lines; };
    Result.WasServed = [](std::uint64_t) { return false; };
    Result.Records.Write = [](std::uint64_t, const std::vector<CrashNotice> &) {
    };
    Result.Records.Remove = [](std::uint64_t) {};
    Result.Records.Read = [] {};
    return Result;
  }

  std::uint64_t Sequence = 0;
};

void report(benchmark::State &State, const GossipHost &Host,
            std::uint64_t Notices) {
  const auto Total = static_cast<double>(Notices);
  State.counters["sent_per_notice"] = static_cast<double>(Host.Sent) / Total;
  State.counters["lines_per_notice"] = static_cast<double>(Host.Lines) / Total;
}

/// 24 notices of other hosts that arrive together.
void newNotices(benchmark::State &State) {
  GossipHost Host;
  std::uint64_t Fingerprint = 0;
  for (auto Unused : State) {
    for (unsigned Count = 0; Count < 24; ++Count)
      Host.receiveCrash(++Fingerprint, std::chrono::seconds(60));
    Host.advance();
  }
  report(State, Host, Fingerprint);
}
BENCHMARK(newNotices)->Iterations(50);

void knownNotice(benchmark::State &State) {
  GossipHost Host;
  for (std::uint64_t Fingerprint = 1; Fingerprint <= 24; ++Fingerprint)
    Host.receiveCrash(Fingerprint, std::chrono::seconds(60));
  Host.advance();
  Host.Sent = 0;
  Host.Lines = 0;
  for (auto Unused : State)
    Host.receiveCrash(1, std::chrono::seconds(60));
  report(State, Host, State.iterations());
}
BENCHMARK(knownNotice);

void expiredNotice(benchmark::State &State) {
  GossipHost Host;
  for (auto Unused : State)
    Host.receiveCrash(1, Duration::zero());
  report(State, Host, State.iterations());
}
BENCHMARK(expiredNotice);

/// 24 crashes that this host observes at once.
void ownNotices(benchmark::State &State) {
  GossipHost Host;
  std::uint64_t Fingerprint = 0;
  for (auto Unused : State) {
    for (unsigned Count = 0; Count < 24; ++Count)
      Host.Gossip.addCrash(Host.Now, ++Fingerprint, ServerName("10.1.0.1:80"));
    Host.advance();
  }
  report(State, Host, Fingerprint);
}
BENCHMARK(ownNotices)->Iterations(50);

/// A ping, whose answer carries a digest of this host's view.
void ping(benchmark::State &State) {
  GossipHost Host;
  for (auto Unused : State)
    Host.Gossip.onMessage(Host.Now,
                          {HostName("host-1~1"), IncarnationId(2), 1, Host.Now,
                           Ping{1, makeMember(1), 0, std::nullopt, {}}});
}
BENCHMARK(ping);

} // namespace

BENCHMARK_MAIN();
