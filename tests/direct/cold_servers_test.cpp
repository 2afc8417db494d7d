/// \file
/// Requests to cold servers from all hosts of a fleet together, in virtual
/// time.
#include "direct/server_constraints.h"

#include "core/hash.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <string>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr double Limit = 7.3;
constexpr ColdServerPolicy Policy{1.5, 8};
constexpr double Bound = Limit * Policy.Overrun + Policy.Slack;
const ServiceName Service("records");

DiscoveredServer makeServer(unsigned Number, std::uint64_t Incarnation = 1) {
  DiscoveredServer Result;
  Result.Id = ServerName("s-" + std::to_string(Number));
  Result.Service = Service;
  Result.Incarnation = Incarnation;
  return Result;
}

/// Hosts that send to every server whenever they may: more work than the cold
/// servers can take.
class ColdFleetTest : public testing::TestWithParam<unsigned> {
protected:
  static constexpr unsigned ServerCount = 8;
  /// Until other hosts count one that has joined, and until it knows them.
  static constexpr Duration ViewDelay = 2500ms;
  static constexpr Duration DiscoveryTime = 3s;

  struct Host {
    std::unique_ptr<ServerConstraints> Constraints;
    Instant StartedAt{};
    unsigned Part = 0;
    bool IsDown = false;
  };
  struct Arrivals {
    std::deque<Instant> LastSecond;
    std::size_t Most = 0;
    std::size_t Count = 0;
  };

  void SetUp() override {
    for (unsigned Number = 0; Number < GetParam(); ++Number)
      addHost(Instant());
  }

  void addHost(Instant StartedAt) {
    const std::size_t Index = Hosts.size();
    Hosts.push_back({nullptr, StartedAt});
    Hosts.back().Constraints = std::make_unique<ServerConstraints>(
        [this, Index](const ServerName &Server) {
          return findPosition(Index, Server);
        },
        Policy);
    Hosts.back().Constraints->setColdLimits({{Service, Limit}});
  }

  FleetPosition findPosition(std::size_t Self, const ServerName &Server) const {
    const auto HashOf = [&Server](std::size_t Index) {
      return stableHash(std::to_string(Index), stableHash(Server.value()));
    };
    FleetPosition Result;
    Result.Overall.emplace();
    for (std::size_t Other = 0; Other < Hosts.size(); ++Other) {
      if (Other == Self || Now < Hosts[Other].StartedAt + ViewDelay)
        continue;
      const std::size_t IsBefore = HashOf(Other) < HashOf(Self) ? 1 : 0;
      ++Result.Overall->Hosts;
      Result.Overall->Rank += IsBefore;
      if (Hosts[Other].IsDown || Hosts[Other].Part != Hosts[Self].Part)
        continue;
      ++Result.Reachable.Hosts;
      Result.Reachable.Rank += IsBefore;
    }
    if (Now < Hosts[Self].StartedAt + DiscoveryTime)
      Result.Overall.reset();
    return Result;
  }

  void turnCold(Host &Told, Duration Left) const {
    for (unsigned Number = 0; Number < ServerCount; ++Number)
      Told.Constraints->setWarmUp(Now, makeServer(Number), Left);
  }
  void turnAllCold(Duration Left) {
    for (Host &Told : Hosts)
      turnCold(Told, Left);
  }

  void press(Duration Length) {
    for (const Instant End = Now + Length; Now < End; Now += 10ms)
      for (Host &Sender : Hosts)
        for (unsigned Number = 0; Number < ServerCount && !Sender.IsDown;
             ++Number)
          sendAll(Sender, Number);
  }
  void sendAll(Host &Sender, unsigned Number) {
    const DiscoveredServer Server = makeServer(Number);
    Arrivals &Received = ByServer[Number];
    while (Sender.Constraints->sendableAt(Now, Server) <= Now) {
      Sender.Constraints->recordSend(Now, Server.Id);
      Received.LastSecond.push_back(Now);
      ++Received.Count;
      while (Received.LastSecond.front() < Now - 1s)
        Received.LastSecond.pop_front();
      Received.Most = std::max(Received.Most, Received.LastSecond.size());
    }
  }

  void expectBoundKept() const {
    std::size_t Most = 0;
    for (const auto &[Number, Received] : ByServer)
      Most = std::max(Most, Received.Most);
    EXPECT_LE(static_cast<double>(Most), Bound);
    RecordProperty("most_in_a_second", std::to_string(Most));
  }
  /// Expects the servers to get \p Part of their limits in \p Length.
  void expectLimitsUsed(double Part, Duration Length) {
    double Sent = 0;
    for (const auto &[Number, Received] : ByServer)
      Sent += static_cast<double>(Received.Count);
    const double Allowed = Limit * ServerCount * toSeconds(Length);
    EXPECT_GE(Sent, Part * Allowed);
    RecordProperty("part_used", std::to_string(Sent / Allowed));
  }

  Instant Now{1h};
  std::vector<Host> Hosts;
  std::map<unsigned, Arrivals> ByServer;
};

// Guards against one request from each host when a data centre's servers all
// turn cold at the same moment, and against a data centre that is not usable
// then.
TEST_P(ColdFleetTest, allTurnColdAtOnce_underPressure_boundIsKeptAndUsed) {
  turnAllCold(1h);
  press(8s);
  expectBoundKept();
  expectLimitsUsed(0.9, 8s);
}

// Guards against hosts that each take the part of those they do not reach.
TEST_P(ColdFleetTest, hostsCutFromEachOther_underPressure_boundIsKept) {
  turnAllCold(1h);
  press(3s);
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    Hosts[Index].Part = Index % 3;
  press(4s);
  expectBoundKept();
  for (Host &Healed : Hosts)
    Healed.Part = 0;
  press(4s);
  expectBoundKept();
  expectLimitsUsed(0.9, 11s);
}

// Guards against parts that old and new hosts take at the same time.
TEST_P(ColdFleetTest, hostsJoin_underPressure_boundIsKept) {
  turnAllCold(1h);
  press(2s);
  for (unsigned Count = 0; Count < 1 + GetParam() / 8; ++Count) {
    addHost(Now);
    turnCold(Hosts.back(), 1h);
  }
  press(8s);
  expectBoundKept();
  expectLimitsUsed(0.9, 10s);
}

// Guards against work that stays undone because hosts that are gone hold parts.
TEST_P(ColdFleetTest, thirdOfHostsEnds_underPressure_othersTakeTheWork) {
  for (std::size_t Index = 1; Index < Hosts.size(); Index += 3)
    Hosts[Index].IsDown = true;
  turnAllCold(1h);
  press(8s);
  expectBoundKept();
  expectLimitsUsed(0.75, 8s);
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdFleetTest,
                         testing::Values(1U, 6U, 46U, 231U));

class ColdServersTest : public testing::Test {
protected:
  ColdServersTest() { Constraints.setColdLimits({{Service, Limit}}); }

  unsigned sendAll(const DiscoveredServer &Server) {
    unsigned Sent = 0;
    for (; Sent < 1000 && Constraints.sendableAt(Now, Server) <= Now; ++Sent)
      Constraints.recordSend(Now, Server.Id);
    return Sent;
  }

  Instant Now{1h};
  ServerConstraints Constraints{
      [](const ServerName &) {
        return FleetPosition{HostPosition{}, HostPosition{}};
      },
      Policy};
};

// Guards against a limit that outlives the warm-up or another incarnation.
TEST_F(ColdServersTest, setWarmUp_timePasses_limitEndsByItself) {
  const DiscoveredServer Server = makeServer(1);
  EXPECT_EQ(Constraints.setWarmUp(Now, Server, 4s), Limit);
  EXPECT_EQ(Constraints.setWarmUp(Now, Server, 2s), std::nullopt);
  EXPECT_LE(sendAll(Server), Bound);
  EXPECT_EQ(Constraints.findBlock(Now, Server), SendBlock::Cold);
  EXPECT_STREQ(toString(SendBlock::Cold), "cold");
  EXPECT_EQ(Constraints.coldServers(Now), 1U);
  EXPECT_EQ(sendAll(makeServer(1, 2)), 1000U);
  Now += 3900ms;
  EXPECT_LE(sendAll(Server), Bound);
  EXPECT_LE(Constraints.sendableAt(Now, Server), Now + 100ms);
  Now += 100ms;
  EXPECT_EQ(sendAll(Server), 1000U);
  EXPECT_EQ(Constraints.coldServers(Now), 0U);
}

// Guards deployments whose services name no limit of cold servers.
TEST_F(ColdServersTest, setWarmUp_serviceWithoutLimit_nothingChanges) {
  Constraints.setColdLimits({});
  EXPECT_EQ(Constraints.setWarmUp(Now, makeServer(1), 1h), std::nullopt);
  EXPECT_EQ(sendAll(makeServer(1)), 1000U);
  EXPECT_EQ(Constraints.coldServers(Now), 0U);
}

// Guards against a limit of a server's own that lifts that of the warm-up, or
// the other way round.
TEST_F(ColdServersTest, setWarmUp_serverNamesLimitToo_lowerOneBinds) {
  for (const double Named : {1.0, 100.0}) {
    Constraints.setWarmUp(Now, makeServer(1), 1h);
    Constraints.setLimit(Now, makeServer(1).Id, Named);
    unsigned Sent = 0;
    for (const Instant End = Now + 20s; Now < End; Now += 10ms)
      Sent += sendAll(makeServer(1));
    EXPECT_LE(Sent, 20 * std::min(Named, Limit) + 2);
    EXPECT_GE(Sent, 0.9 * 20 * std::min(Named, Limit));
  }
}

// Guards against requests above a bound that allows less than one a second.
TEST(ColdServersBoundTest, setWarmUp_boundBelowOne_nothingIsSent) {
  ServerConstraints Constraints([](const ServerName &) {
    return FleetPosition{HostPosition{}, HostPosition{}};
  });
  Constraints.setColdLimits({{Service, 0.5}});
  const Instant Now{1h};
  Constraints.setWarmUp(Now, makeServer(1), 1s);
  EXPECT_GT(Constraints.sendableAt(Now, makeServer(1)), Now);
  EXPECT_EQ(Constraints.sendableAt(Now + 1s, makeServer(1)), Now + 1s);
}

} // namespace
} // namespace mimosacart
