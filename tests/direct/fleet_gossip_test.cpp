/// \file
/// Views of the members of a fleet.
#include "tests/direct/gossip_fleet.h"

namespace mimosacart {
namespace {

TEST_F(FleetGossipTest, tick_allStartAtOnce_allViewsAreFullWithin3s) {
  startFleet(60);
  advanceTime(3s);
  EXPECT_EQ(countHostsWithFullView(), 60U);
}

TEST_F(FleetGossipTest, tick_allStartAtOnce_fewCopiesOfEachMemberAreSent) {
  constexpr unsigned Count = 120;
  startFleet(Count);
  advanceTime(6s);
  EXPECT_EQ(countHostsWithFullView(), Count);
  // Each host has to learn of each other host once. Without coordination a few
  // more copies are sent, but no single host sends more than one copy of each
  // record to each host.
  constexpr std::uint64_t MaxCopies = 6;
  std::uint64_t TotalSent = 0;
  for (const auto &[Address, Node] : Hosts) {
    TotalSent += Node.MembersSent;
    EXPECT_LE(Node.MembersSent, Count * Count) << Address;
  }
  EXPECT_LE(TotalSent, MaxCopies * Count * Count);
}

TEST_F(FleetGossipTest, tick_oneHostRestarts_fewRecordsPerHostAreSent) {
  constexpr unsigned Count = 60;
  startFleet(Count);
  advanceTime(6s);
  ASSERT_EQ(countHostsWithFullView(), Count);
  MembersAcrossDataCentres = 0;
  const std::uint64_t MessagesBefore = MessagesSent;
  Hosts.at(addressOf(40)).Down = true;
  advanceTime(3s);
  startHost(40, "~2");
  advanceTime(4s);
  EXPECT_EQ(countHostsWithFullView(), Count);
  // The total includes the usual pings, two messages per host in each period of
  // 800 ms, and a few more for the host that does not answer.
  EXPECT_LE(MessagesSent - MessagesBefore, Count * (2 * 9 + 20));
  EXPECT_LE(MembersAcrossDataCentres, Count * 10);
}

TEST_F(FleetGossipTest, disseminate_relaysDie_allViewsAreRepaired) {
  startFleet(30);
  advanceTime(6s);
  ASSERT_EQ(countHostsWithFullView(), 30U);
  for (unsigned Number : {3U, 4U, 5U, 6U, 7U, 8U})
    Hosts.at(addressOf(Number)).Down = true;
  // Each dead host is pinged by some host in half of the periods of 0.8 s and
  // is declared dead 1.5 s later.
  advanceTime(10s);
  EXPECT_EQ(countHostsWithFullView(), 24U);
}

/// The directory of a host that still runs names dead hosts to callers until
/// they are detected.
TEST_F(FleetGossipTest, tick_mostHostsDieAtOnce_allAreDetectedWithin6s) {
  constexpr unsigned Count = 56;
  constexpr unsigned Dead = 36;
  startFleet(Count);
  advanceTime(5s);
  for (unsigned Number = 0; Number < Dead; ++Number)
    Hosts.at(addressOf(Number)).Down = true;
  advanceTime(6s);
  EXPECT_EQ(countHostsWithFullView(), Count - Dead);
}

} // namespace
} // namespace mimosacart
