/// \file
/// Limits that servers name, shared by hosts that know each other by gossip
/// only. Guards against more requests than servers allow while hosts cannot
/// reach each other.
#include "tests/direct/gossip_fleet.h"

#include "direct/server_constraints.h"

#include <array>
#include <deque>
#include <random>

namespace mimosacart {
namespace {

/// A server that names a limit throughout, and what all hosts sent to it.
struct LimitedServer {
  explicit LimitedServer(double RequestsPerSecond)
      : Name("limit-" + std::to_string(RequestsPerSecond)),
        RequestsPerSecond(RequestsPerSecond) {}

  DiscoveredServer discovered() const {
    DiscoveredServer Result;
    Result.Id = Name;
    Result.Incarnation = 1;
    return Result;
  }
  /// Requests that the hosts may send together in any 4 s.
  double allowed() const { return 1.5 * 4 * RequestsPerSecond + 5; }

  ServerName Name;
  double RequestsPerSecond = 0;
  /// Arrivals of the last 4 s, and the most in any 4 s less those allowed.
  std::deque<Instant> Window;
  double Excess = -1e9;
  std::size_t Sent = 0;
};

/// Every host sends whenever its constraints allow it, and knows each limit
/// from its start. No fault excuses a host.
class SharedLimitGossipTest : public FleetGossipTest {
protected:
  static constexpr unsigned Count = 56;
  static constexpr Duration Step = 20ms;

  void startUnderPressure(unsigned HostCount = Count) {
    startFleet(HostCount);
    advanceTime(6s);
    ASSERT_EQ(countHostsWithFullView(), HostCount);
    for (unsigned Number = 0; Number < HostCount; ++Number)
      startSending(Number);
    press(20s);
  }
  void startSending(unsigned Number) {
    const std::string Address = addressOf(Number);
    auto Added = std::make_unique<ServerConstraints>(
        [this, Address](const ServerName &Server) {
          return Hosts.at(Address).Gossip->position(Server.value());
        });
    for (const LimitedServer &Server : Servers)
      Added->setLimit(Now, Server.Name, Server.RequestsPerSecond);
    Constraints[Address] = std::move(Added);
  }
  void restartHost(unsigned Number) {
    const unsigned Part = Hosts.at(addressOf(Number)).NetworkPart;
    startHost(Number, "~" + std::to_string(++LastProcess));
    Hosts.at(addressOf(Number)).NetworkPart = Part;
    startSending(Number);
  }
  void setNetworkPart(unsigned Number, unsigned Part) {
    Hosts.at(addressOf(Number)).NetworkPart = Part;
  }

  void press(Duration Length) {
    for (const Instant End = Now + Length; Now < End;) {
      advanceTime(Step);
      for (LimitedServer &Server : Servers)
        sendAll(Server);
    }
  }
  void sendAll(LimitedServer &Server) {
    while (!Server.Window.empty() && Server.Window.front() < Now - 4s)
      Server.Window.pop_front();
    for (auto &[Address, Sender] : Constraints) {
      if (Hosts.at(Address).Down)
        continue;
      while (Sender->sendableAt(Now, Server.discovered()) <= Now) {
        Sender->recordSend(Now, Server.Name);
        Server.Window.push_back(Now);
        ++Server.Sent;
      }
    }
    Server.Excess =
        std::max(Server.Excess,
                 static_cast<double>(Server.Window.size()) - Server.allowed());
  }

  void expectLimitsKept() const {
    for (const LimitedServer &Server : Servers)
      EXPECT_LE(Server.Excess, 0) << Server.Name.value();
  }
  /// Expects the hosts to use \p Part of each limit at least.
  void expectLimitsUsed(double Part) {
    constexpr Duration Length = 40s;
    for (LimitedServer &Server : Servers)
      Server.Sent = 0;
    press(Length);
    for (const LimitedServer &Server : Servers)
      EXPECT_GE(static_cast<double>(Server.Sent),
                Part * Server.RequestsPerSecond * toSeconds(Length) - 3)
          << Server.Name.value();
  }

  std::array<LimitedServer, 5> Servers{LimitedServer(0.5), LimitedServer(2.8),
                                       LimitedServer(5), LimitedServer(9.5),
                                       LimitedServer(30)};
  std::map<std::string, std::unique_ptr<ServerConstraints>> Constraints;
  unsigned LastProcess = 1;
};

TEST_F(SharedLimitGossipTest, calm_pressure_limitsAreUsedAndKept) {
  startUnderPressure();
  expectLimitsUsed(0.9);
  expectLimitsKept();
}

TEST_F(SharedLimitGossipTest, halvesOfFleetCutOff_pressure_limitsAreKept) {
  startUnderPressure();
  for (unsigned Number = 0; Number < Count / 2; ++Number)
    setNetworkPart(Number, 1);
  press(30s);
  for (unsigned Number = 0; Number < Count / 2; ++Number)
    setNetworkPart(Number, 0);
  press(30s);
  expectLimitsKept();
  expectLimitsUsed(0.9);
}

TEST_F(SharedLimitGossipTest, smallFleetLosesAllLinks_pressure_limitsAreKept) {
  startUnderPressure(6);
  for (unsigned Number = 0; Number < 6; ++Number)
    setNetworkPart(Number, Number);
  press(30s);
  expectLimitsKept();
}

TEST_F(SharedLimitGossipTest, hostsRestartInSeries_pressure_limitsAreKept) {
  startUnderPressure();
  for (unsigned Number = 0; Number < Count; ++Number) {
    restartHost(Number);
    press(500ms);
  }
  expectLimitsKept();
  press(10s);
  expectLimitsUsed(0.9);
}

TEST_F(SharedLimitGossipTest, hostsRestartWhileCutOff_pressure_limitsAreKept) {
  startUnderPressure();
  for (unsigned Number = 10; Number < 30; ++Number) {
    setNetworkPart(Number, Number);
    restartHost(Number);
  }
  press(13s);
  for (unsigned Number = 10; Number < 30; ++Number)
    setNetworkPart(Number, 0);
  press(20s);
  expectLimitsKept();
}

// On a busy machine processes answer too late now and then and suspect others.
TEST_F(SharedLimitGossipTest, hostsAreSuspectedFalsely_pressure_limitsAreKept) {
  startUnderPressure();
  std::mt19937_64 Random(7);
  for (unsigned Round = 0; Round < 20; ++Round) {
    for (unsigned Number = 0; Number < Count; ++Number)
      setNetworkPart(Number, Random() % 10 < 3 ? Number + 1 : 0);
    press(std::chrono::milliseconds(500 + Random() % 3000));
  }
  expectLimitsKept();
}

// Guards against hosts that may send to none of many limited servers.
TEST_F(SharedLimitGossipTest, manyLowLimits_calm_allHostsGetSimilarShares) {
  startUnderPressure();
  constexpr unsigned ServerCount = 1000;
  constexpr double Limit = 5;
  // The first 3 + 5 hosts in each server's order.
  constexpr double FairNumber = 8.0 * ServerCount / Count;
  for (const auto &[Address, Sender] : Constraints) {
    unsigned Shares = 0;
    for (unsigned Number = 0; Number < ServerCount; ++Number) {
      const LimitedServer Server(Limit + Number / 1000.0);
      Sender->setLimit(Now, Server.Name, Server.RequestsPerSecond);
      Shares +=
          Sender->sendableAt(Now, Server.discovered()) < Instant::max() ? 1 : 0;
    }
    EXPECT_GE(Shares, 0.5 * FairNumber) << Address;
    EXPECT_LE(Shares, 2 * FairNumber) << Address;
  }
}

TEST_F(SharedLimitGossipTest, someHostsEnd_pressure_othersUseTheirParts) {
  startUnderPressure();
  for (unsigned Number = 40; Number < 47; ++Number)
    Hosts.at(addressOf(Number)).Down = true;
  press(15s);
  expectLimitsUsed(0.9);
  expectLimitsKept();
}

// The hosts of a data centre that has ended leave no more than their own parts
// unused.
TEST_F(SharedLimitGossipTest, dataCentreEnds_pressure_othersUseTheirOwnParts) {
  startUnderPressure();
  for (unsigned Number = 2; Number < Count; Number += 3)
    Hosts.at(addressOf(Number)).Down = true;
  press(15s);
  expectLimitsUsed(2.0 / 3);
  expectLimitsKept();
}

TEST_F(SharedLimitGossipTest, oneOfSixHostsEnds_pressure_othersUseItsPart) {
  startUnderPressure(6);
  Hosts.at(addressOf(4)).Down = true;
  press(15s);
  expectLimitsUsed(0.9);
  expectLimitsKept();
}

} // namespace
} // namespace mimosacart
