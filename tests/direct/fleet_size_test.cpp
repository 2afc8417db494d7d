/// \file
/// The number of hosts that share limits of the whole fleet. Guards against
/// more retries than allowed while hosts cannot reach each other.
#include "direct/fleet_size.h"

#include "tests/direct/gossip_fleet.h"

namespace mimosacart {
namespace {

class FleetSizeTest : public FleetGossipTest {
protected:
  static constexpr unsigned Count = 56;

  void startWholeFleet() {
    startFleet(Count);
    advanceTime(6s);
    ASSERT_EQ(countHostsWithFullView(), Count);
  }
  void restartHost(unsigned Number) {
    const unsigned Part = Hosts.at(addressOf(Number)).NetworkPart;
    startHost(Number, "~2");
    Hosts.at(addressOf(Number)).NetworkPart = Part;
  }
  void cutOff(unsigned From, unsigned To) {
    for (unsigned Number = From; Number < To; ++Number)
      Hosts.at(addressOf(Number)).NetworkPart = 1;
  }
  std::size_t sharingHosts(unsigned Number) const {
    return Hosts.at(addressOf(Number)).Gossip->sharingHosts();
  }
  /// Sum of the shares that all hosts take; 1 is the whole limit.
  double sumOfShares() const {
    double Sum = 0;
    for (const auto &[Address, Node] : Hosts)
      if (!Node.Down && Node.Gossip->sharingHosts() > 0)
        Sum += 1 / static_cast<double>(Node.Gossip->sharingHosts());
    return Sum;
  }
  static constexpr double WholeLimit = 1 + 1e-9;
};

TEST_F(FleetSizeTest, sharingHosts_calm_isNumberOfHosts) {
  startWholeFleet();
  for (unsigned Number = 0; Number < Count; ++Number)
    EXPECT_EQ(sharingHosts(Number), Count) << Number;
}

TEST_F(FleetSizeTest, sharingHosts_oneHostCutOff_sharesAddUpToLimit) {
  startWholeFleet();
  cutOff(7, 8);
  advanceTime(20s);
  EXPECT_LE(sumOfShares(), WholeLimit);
  // Longer than members keep the records of hosts that do not answer.
  advanceTime(3min);
  EXPECT_LE(sumOfShares(), WholeLimit);
}

TEST_F(FleetSizeTest, sharingHosts_halvesOfFleetCutOff_sharesAddUpToLimit) {
  startWholeFleet();
  cutOff(0, Count / 2);
  advanceTime(20s);
  EXPECT_LE(sumOfShares(), WholeLimit);
  advanceTime(3min);
  EXPECT_LE(sumOfShares(), WholeLimit);
}

TEST_F(FleetSizeTest,
       sharingHosts_allWentSilentAndCameBack_sharesAddUpToLimit) {
  startWholeFleet();
  for (unsigned Number = 0; Number < Count; ++Number)
    Hosts.at(addressOf(Number)).NetworkPart = Number;
  advanceTime(5s);
  EXPECT_LE(sumOfShares(), WholeLimit);
  for (unsigned Number = 0; Number < Count; ++Number)
    Hosts.at(addressOf(Number)).NetworkPart = 0;
  advanceTime(1s);
  EXPECT_LE(sumOfShares(), WholeLimit);
}

TEST_F(FleetSizeTest,
       sharingHosts_hostRestartsWhileOthersAreCutOff_countsThem) {
  startWholeFleet();
  cutOff(0, Count / 2);
  advanceTime(60s);
  for (unsigned Number = 40; Number < 50; ++Number)
    restartHost(Number);
  // A new process takes no part of the limit earlier.
  advanceTime(12s);
  EXPECT_LE(sumOfShares(), WholeLimit);
}

// Members drop the records of hosts that have long been out of reach, so that
// new processes were not told of them.
TEST_F(FleetSizeTest,
       sharingHosts_hostsRestartLongAfterOthersWereCutOff_countThem) {
  startWholeFleet();
  cutOff(0, Count / 2);
  advanceTime(4min);
  for (unsigned Number = 40; Number < 50; ++Number)
    restartHost(Number);
  advanceTime(12s);
  EXPECT_LE(sumOfShares(), WholeLimit);
}

// The hosts that were told tell others in turn.
TEST_F(FleetSizeTest,
       sharingHosts_wholePartRestartsInTurnLongAfterCut_countsOthers) {
  startWholeFleet();
  cutOff(0, Count / 2);
  advanceTime(4min);
  for (unsigned Number = Count / 2; Number < Count; ++Number) {
    restartHost(Number);
    advanceTime(5s);
  }
  advanceTime(12s);
  EXPECT_LE(sumOfShares(), WholeLimit);
}

TEST_F(FleetSizeTest, sharingHosts_noOtherHostFound_takesNoShare) {
  startWholeFleet();
  cutOff(50, 51);
  restartHost(50);
  advanceTime(20s);
  EXPECT_EQ(sharingHosts(50), 0U);
}

// The store lists a few hosts of a fleet only.
TEST_F(FleetSizeTest, sharingHosts_onlyStoreListIsKnown_takesNoShare) {
  startWholeFleet();
  for (unsigned Number = 10; Number < 44; ++Number) {
    Hosts.at(addressOf(Number)).NetworkPart = Number;
    restartHost(Number);
  }
  advanceTime(13s);
  for (unsigned Number = 10; Number < 44; ++Number)
    Hosts.at(addressOf(Number))
        .Gossip->setSeeds(
            {addressOf(0), addressOf(1), addressOf(2), addressOf(3)});
  advanceTime(1s);
  EXPECT_LE(sumOfShares(), WholeLimit);
}

TEST_F(FleetSizeTest, sharingHosts_storeListsNoOtherHost_takesNoShare) {
  startHost(9, "~1");
  Hosts.at(addressOf(9)).Gossip->setSeeds({addressOf(9)});
  // The three seeds of the settings may be at work, and so may others.
  EXPECT_EQ(sharingHosts(9), 0U);
}

// A new process learns of most hosts from its first peers, of all a little
// later.
TEST_F(FleetSizeTest,
       sharingHosts_restartedHostsFindOthersLate_sharesAddUpAtAnyTime) {
  startWholeFleet();
  for (unsigned Number = 10; Number < 30; ++Number) {
    Hosts.at(addressOf(Number)).NetworkPart = Number;
    restartHost(Number);
  }
  advanceTime(13s);
  for (unsigned Number = 10; Number < 30; ++Number)
    Hosts.at(addressOf(Number)).NetworkPart = 0;
  for (unsigned Step = 0; Step < 60; ++Step) {
    advanceTime(100ms);
    ASSERT_LE(sumOfShares(), WholeLimit) << Step;
  }
}

TEST_F(FleetSizeTest, sharingHosts_hostRestarts_countsOnce) {
  startWholeFleet();
  restartHost(30);
  advanceTime(10s);
  for (unsigned Number = 0; Number < Count; ++Number)
    EXPECT_EQ(sharingHosts(Number), Count) << Number;
}

TEST_F(FleetSizeTest, sharingHosts_hostsLeft_countOthersAfterOneMinute) {
  startWholeFleet();
  for (unsigned Number = 40; Number < Count; ++Number)
    Hosts.at(addressOf(Number)).Gossip->finish(Now);
  advanceTime(100ms);
  for (unsigned Number = 40; Number < Count; ++Number)
    Hosts.at(addressOf(Number)).Down = true;
  advanceTime(20s);
  EXPECT_EQ(sharingHosts(3), Count);
  advanceTime(55s);
  EXPECT_EQ(sharingHosts(3), 40U);
}

/// The count of one host, fed with records.
class FleetSizeRecordTest : public testing::Test {
protected:
  static MemberRecord lostHost(const std::string &Address, Duration Age) {
    MemberRecord Result;
    Result.Host = HostName(Address);
    Result.PeerAddress = Address;
    Result.Status = MemberStatus::Dead;
    Result.Age = Age;
    return Result;
  }
  std::size_t countOthers() const {
    return Size.countOthers([](const std::string &) { return true; });
  }

  Instant Now{1h};
  FleetSize Size{"self", {"seed"}};
};

// Guards against ages below zero, with which other hosts forget a host at once.
TEST_F(FleetSizeRecordTest, unreachableHosts_seedOutOfReach_tellsItsAge) {
  Size.onMembers(Now, {lostHost("seed", 5s)});
  const auto Told = Size.unreachableHosts(Now + 60s, {});
  ASSERT_EQ(Told.size(), 1U);
  EXPECT_EQ(Told.front().Age, 65s);
}

TEST_F(FleetSizeRecordTest, onToldMembers_ageBelowZero_isCountedAndForgotten) {
  Size.onToldMembers(Now, {lostHost("other", Duration::min())});
  Size.expire(Now + 1s);
  EXPECT_EQ(countOthers(), 2U);
  Size.expire(Now + 31min);
  EXPECT_EQ(countOthers(), 1U);
}

} // namespace
} // namespace mimosacart
