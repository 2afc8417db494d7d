#include "direct/fleet_gossip.h"

#include <gtest/gtest.h>

#include <memory>
#include <queue>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Many hosts in three data centres that start at once and know three seeds.
class FleetGossipTest : public testing::Test {
protected:
  struct Host {
    TableCache Routes{[](const TableRow &) {}};
    TableCache Servers{[](const TableRow &) {}};
    std::unique_ptr<FleetGossip> Gossip;
    std::string DataCentre;
    bool Down = false;
    std::uint64_t MembersTold = 0;
  };
  struct Letter {
    Instant At{};
    std::uint64_t Order = 0;
    std::string From;
    std::string To;
    PeerMessage Message;

    bool operator<(const Letter &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  static std::string addressOf(unsigned Number) {
    return "peer-" + std::to_string(Number);
  }

  void startFleet(unsigned Count) {
    for (unsigned Number = 0; Number < Count; ++Number)
      startHost(Number, "~1");
  }

  void startHost(unsigned Number, const std::string &Life) {
    const std::string Address = addressOf(Number);
    Hosts.erase(Address);
    Host &Made = Hosts[Address];
    Made.DataCentre = "dc-" + std::to_string(Number % 3);
    FleetSettings Settings;
    Settings.Self.Host = HostName("host-" + std::to_string(Number) + Life);
    Settings.Self.Incarnation = IncarnationId(Number + 1);
    Settings.Self.DataCentre = Made.DataCentre;
    Settings.Self.PeerAddress = Address;
    Settings.Self.CallerAddress = Address;
    Settings.Seeds = {addressOf(0), addressOf(1), addressOf(2)};
    Settings.Times.Period = 800ms;
    Settings.Times.PeriodAlone = 100ms;
    Settings.Times.AckTimeout = 300ms;
    Settings.Times.SuspectAfter = 700ms;
    Settings.Times.DeadAfter = 800ms;
    Settings.RandomSeed = Number + 1;
    FleetGossip::Hooks Callbacks;
    Callbacks.Send = [this, Address](const std::string &To,
                                     const PeerMessage &Message) {
      post(Address, To, Message);
    };
    Callbacks.SetReadMode = [](ReadMode) {};
    Callbacks.Log = [](const char *, const FlowFields &) {};
    Made.Gossip =
        std::make_unique<FleetGossip>(Settings,
                                      std::map<StoreTable, TableCache *>{
                                          {StoreTable::Routes, &Made.Routes},
                                          {StoreTable::Servers, &Made.Servers}},
                                      Callbacks);
  }

  void post(const std::string &From, const std::string &To,
            const PeerMessage &Message) {
    if (Hosts.at(From).Down)
      return;
    ++Messages;
    if (const auto *Updates = std::get_if<SoftState>(&Message.Body)) {
      Hosts.at(From).MembersTold += Updates->Members.size();
      if (Hosts.at(From).DataCentre != Hosts.at(To).DataCentre)
        MembersAcross += Updates->Members.size();
    }
    Letters.push({Now + 1ms, ++LastOrder, From, To, Message});
  }

  void pass(Duration Span) {
    const Instant End = Now + Span;
    for (; Now < End; Now += 10ms) {
      while (!Letters.empty() && Letters.top().At <= Now) {
        const Letter Next = Letters.top();
        Letters.pop();
        Host &To = Hosts.at(Next.To);
        if (!To.Down)
          To.Gossip->onMessage(Now, Next.Message);
      }
      for (auto &[Address, Each] : Hosts)
        if (!Each.Down)
          Each.Gossip->tick(Now);
    }
  }

  /// Hosts whose view holds exactly the hosts that are there.
  std::size_t hostsThatKnowAll() const {
    std::size_t Present = 0;
    std::size_t Result = 0;
    for (const auto &[Address, Each] : Hosts)
      Present += Each.Down ? 0 : 1;
    for (const auto &[Address, Each] : Hosts)
      Result += !Each.Down && Each.Gossip->hosts() == Present ? 1 : 0;
    return Result;
  }

  Instant Now{1h};
  std::map<std::string, Host> Hosts;
  std::priority_queue<Letter> Letters;
  std::uint64_t LastOrder = 0;
  std::uint64_t Messages = 0;
  /// Member records that crossed from one data centre to another.
  std::uint64_t MembersAcross = 0;
};

TEST_F(FleetGossipTest, tick_allStartAtOnce_allKnowAllWithin3s) {
  startFleet(60);
  pass(3s);
  EXPECT_EQ(hostsThatKnowAll(), 60U);
}

TEST_F(FleetGossipTest, tick_allStartAtOnce_noHostTellsEachMemberToEach) {
  constexpr unsigned Count = 120;
  startFleet(Count);
  pass(6s);
  EXPECT_EQ(hostsThatKnowAll(), Count);
  // Each host has to learn of each other one; a few copies are the price of
  // not agreeing on who tells it. No host tells more than one copy to each.
  constexpr std::uint64_t Copies = 6;
  std::uint64_t Told = 0;
  for (const auto &[Address, Each] : Hosts) {
    Told += Each.MembersTold;
    EXPECT_LE(Each.MembersTold, Count * Count) << Address;
  }
  EXPECT_LE(Told, Copies * Count * Count);
}

TEST_F(FleetGossipTest, tick_oneHostRestarts_costsAFewRecordsAHost) {
  constexpr unsigned Count = 60;
  startFleet(Count);
  pass(6s);
  ASSERT_EQ(hostsThatKnowAll(), Count);
  MembersAcross = 0;
  const std::uint64_t Before = Messages;
  Hosts.at(addressOf(40)).Down = true;
  pass(3s);
  startHost(40, "~2");
  pass(4s);
  EXPECT_EQ(hostsThatKnowAll(), Count);
  // Pings go on meanwhile: two messages in each 800 ms, and a few more for
  // the host that does not answer.
  EXPECT_LE(Messages - Before, Count * (2 * 9 + 20));
  EXPECT_LE(MembersAcross, Count * 10);
}

TEST_F(FleetGossipTest, spread_hostThatHandsOnDies_othersAreToldAllTheSame) {
  startFleet(30);
  pass(6s);
  ASSERT_EQ(hostsThatKnowAll(), 30U);
  for (unsigned Number : {3U, 4U, 5U, 6U, 7U, 8U})
    Hosts.at(addressOf(Number)).Down = true;
  // Each dead host is pinged by somebody in half of the periods of 0.8 s, and
  // is declared dead 1.5 s later.
  pass(10s);
  EXPECT_EQ(hostsThatKnowAll(), 24U);
}

} // namespace
} // namespace mimosacart
