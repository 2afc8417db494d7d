/// \file
/// Crashes of servers by requests, known to all hosts of a fleet.
#include "tests/direct/gossip_fleet.h"

namespace mimosacart {
namespace {

/// A fleet in which a request has crashed three servers.
class FleetGossipCrashTest : public FleetGossipTest {
protected:
  static constexpr std::uint64_t Fingerprint = 7;

  FleetGossipCrashTest() {
    startFleet(6);
    advanceTime(3s);
    for (const char *Server : {"a", "b", "c"})
      gossip(0).addCrash(Now, Fingerprint, ServerName(Server));
    advanceTime(100ms);
  }

  FleetGossip &gossip(unsigned Number) {
    return *Hosts.at(addressOf(Number)).Gossip;
  }
  std::size_t fewestKnown() {
    std::size_t Result = 3;
    for (unsigned Number = 0; Number < 6; ++Number)
      Result = std::min(Result, gossip(Number).crashes(Fingerprint));
    return Result;
  }
  std::size_t mostKnown() {
    std::size_t Result = 0;
    for (unsigned Number = 0; Number < 6; ++Number)
      Result = std::max(Result, gossip(Number).crashes(Fingerprint));
    return Result;
  }
};

TEST_F(FleetGossipCrashTest, addCrash_threeCrashes_areKnownToAllHostsAtOnce) {
  EXPECT_EQ(fewestKnown(), 3U);
}

// Guards against sending a request again that comes for longer than notices
// live, at whichever host.
TEST_F(FleetGossipCrashTest, renewCrashes_copiesKeepComing_noHostForgets) {
  for (unsigned Step = 0; Step < 12; ++Step) {
    advanceTime(10s);
    gossip(3).renewCrashes(Now, Fingerprint);
  }
  advanceTime(3s);
  EXPECT_EQ(fewestKnown(), 3U);
}

TEST_F(FleetGossipCrashTest, tick_hostsRestartInTurn_noHostForgets) {
  for (unsigned Number = 0; Number < 6; ++Number) {
    startHost(Number, "~2");
    advanceTime(3s);
  }
  EXPECT_EQ(fewestKnown(), 3U);
}

// Guards against blaming a request three times for one server that ended while
// three hosts had copies of it open.
TEST_F(FleetGossipCrashTest, addCrash_sameEndSeenByAllHosts_countsOnce) {
  constexpr std::uint64_t Other = 9;
  for (unsigned Number = 0; Number < 6; ++Number)
    gossip(Number).addCrash(Now, Other, ServerName("a"));
  advanceTime(1s);
  EXPECT_EQ(gossip(0).crashes(Other), 1U);
  // The server is back and ends again.
  advanceTime(5s);
  gossip(5).addCrash(Now, Other, ServerName("a"));
  advanceTime(100ms);
  EXPECT_EQ(gossip(0).crashes(Other), 2U);
}

// Guards against refusing a request for good that servers run to its end.
TEST_F(FleetGossipCrashTest, excuseCrashes_noticesExchangedAgain_stayExcused) {
  gossip(2).excuseCrashes(Now, Fingerprint);
  startHost(5, "~2");
  advanceTime(5s);
  EXPECT_EQ(gossip(2).crashes(Fingerprint), 0U);
  gossip(0).addCrash(Now, Fingerprint, ServerName("d"));
  advanceTime(100ms);
  EXPECT_EQ(gossip(2).crashes(Fingerprint), 1U);
}

// Guards against hosts that refuse a request which another one gets served.
TEST_F(FleetGossipCrashTest, excuseCrashes_oneHost_allHostsExcuse) {
  gossip(2).excuseCrashes(Now, Fingerprint);
  advanceTime(100ms);
  EXPECT_EQ(mostKnown(), 0U);
}

// Guards against a host that was paused while the others learnt that a request
// is harmless, and refused it to the end.
TEST_F(FleetGossipCrashTest, excuseCrashes_hostAwayMeanwhile_excusesToo) {
  Hosts.at(addressOf(4)).Down = true;
  gossip(2).excuseCrashes(Now, Fingerprint);
  advanceTime(2500ms);
  ASSERT_EQ(gossip(4).crashes(Fingerprint), 3U);
  Hosts.at(addressOf(4)).Down = false;
  advanceTime(3s);
  EXPECT_EQ(mostKnown(), 0U);
}

TEST_F(FleetGossipCrashTest, excuseCrashes_hostRestarts_excusesToo) {
  gossip(2).excuseCrashes(Now, Fingerprint);
  advanceTime(100ms);
  startHost(4, "~2");
  advanceTime(3s);
  EXPECT_EQ(mostKnown(), 0U);
}

// Guards against a report of a host that was paused or served no copy, which
// puts a request under quarantine that others get served.
TEST_F(FleetGossipCrashTest, addCrash_othersAreServed_isExcused) {
  constexpr std::uint64_t Other = 9;
  Hosts.at(addressOf(1)).Served.insert(Other);
  for (const char *Server : {"a", "b", "c"})
    gossip(0).addCrash(Now, Other, ServerName(Server));
  advanceTime(100ms);
  EXPECT_EQ(gossip(1).crashes(Other), 0U);
  advanceTime(3s);
  for (unsigned Number = 0; Number < 6; ++Number)
    EXPECT_EQ(gossip(Number).crashes(Other), 0U) << Number;
}

// Also where a host that knew of neither meets hosts that know of both.
TEST_F(FleetGossipCrashTest, excuseCrashes_otherRequest_harmfulOneStays) {
  constexpr std::uint64_t Other = 9;
  Hosts.at(addressOf(4)).Down = true;
  for (const char *Server : {"a", "b", "c"})
    gossip(1).addCrash(Now, Other, ServerName(Server));
  advanceTime(100ms);
  gossip(2).excuseCrashes(Now, Other);
  advanceTime(2s);
  startHost(4, "~2");
  startHost(5, "~2");
  advanceTime(3s);
  EXPECT_EQ(fewestKnown(), 3U);
  for (unsigned Number = 0; Number < 6; ++Number)
    EXPECT_EQ(gossip(Number).crashes(Other), 0U) << Number;
}

// An excuse is for the crashes that were known; three more count again.
TEST_F(FleetGossipCrashTest, addCrash_afterExcuse_countsAndIsRecorded) {
  gossip(2).excuseCrashes(Now, Fingerprint);
  advanceTime(3s);
  ASSERT_TRUE(StoredCrashes.empty());
  for (const char *Server : {"d", "e", "f"})
    gossip(1).addCrash(Now, Fingerprint, ServerName(Server));
  advanceTime(3s);
  EXPECT_EQ(fewestKnown(), 3U);
  EXPECT_EQ(StoredCrashes.at(Fingerprint).size(), 3U);
}

// Guards against sending a request to servers again because all hosts that knew
// of its crashes were killed at once.
TEST_F(FleetGossipCrashTest, tick_allHostsRestartAtOnce_noHostForgets) {
  for (unsigned Number = 0; Number < 6; ++Number)
    startHost(Number, "~2");
  advanceTime(3s);
  EXPECT_EQ(fewestKnown(), 3U);
}

TEST_F(FleetGossipCrashTest, tick_storeAwayAtTheThirdCrash_isRecordedLater) {
  constexpr std::uint64_t Other = 9;
  StoreAnswers = false;
  for (const char *Server : {"a", "b", "c"})
    gossip(2).addCrash(Now, Other, ServerName(Server));
  advanceTime(3s);
  EXPECT_FALSE(StoredCrashes.contains(Other));
  StoreAnswers = true;
  advanceTime(3s);
  EXPECT_EQ(StoredCrashes.at(Other).size(), 3U);
}

TEST_F(FleetGossipCrashTest, onStoreEraChanged_recordLost_isWrittenAgain) {
  ASSERT_TRUE(StoredCrashes.contains(Fingerprint));
  StoredCrashes.clear();
  for (unsigned Number = 0; Number < 6; ++Number)
    gossip(Number).onStoreEraChanged(Now);
  advanceTime(3s);
  ASSERT_TRUE(StoredCrashes.contains(Fingerprint));
  EXPECT_EQ(StoredCrashes.at(Fingerprint).size(), 3U);
}

TEST_F(FleetGossipCrashTest, tick_twoCrashes_nothingIsRecorded) {
  constexpr std::uint64_t Other = 9;
  for (const char *Server : {"a", "b"})
    gossip(2).addCrash(Now, Other, ServerName(Server));
  advanceTime(3s);
  EXPECT_FALSE(StoredCrashes.contains(Other));
}

TEST_F(FleetGossipCrashTest, tick_crashesExpire_recordIsRemoved) {
  ASSERT_TRUE(StoredCrashes.contains(Fingerprint));
  advanceTime(61s);
  EXPECT_TRUE(StoredCrashes.empty());
}

// Also if the host that wrote the record has ended since.
TEST_F(FleetGossipCrashTest, tick_crashesExpireAfterRestart_recordIsRemoved) {
  for (unsigned Number = 0; Number < 6; ++Number)
    startHost(Number, "~2");
  advanceTime(3s);
  ASSERT_TRUE(StoredCrashes.contains(Fingerprint));
  advanceTime(61s);
  EXPECT_TRUE(StoredCrashes.empty());
}

// Guards against hosts whose event loop is held by notices after servers ended
// silently: each of 24 notices took a small host 35 ms.
TEST_F(FleetGossipTest, addCrash_manyAtOnce_costOneMessageAndOneLineEach) {
  startFleet(60);
  advanceTime(6s);
  unsigned Messages = 0;
  unsigned Lines = 0;
  Sent = [&Messages](const std::string &, const PeerMessage &Message) {
    const auto *Updates = std::get_if<SoftState>(&Message.Body);
    Messages += Updates != nullptr && !Updates->Crashes.empty() ? 1 : 0;
  };
  Logged = [&Lines](const std::string &, const char *Event,
                    const FlowFields &) {
    Lines += std::string_view(Event) == "crash_told" ? 1 : 0;
  };
  for (std::uint64_t Fingerprint = 1; Fingerprint <= 24; ++Fingerprint)
    Hosts.at(addressOf(0)).Gossip->addCrash(Now, Fingerprint, ServerName("a"));
  advanceTime(200ms);
  for (const auto &[Address, Node] : Hosts)
    EXPECT_EQ(Node.Gossip->crashNotices(), 24U) << Address;
  EXPECT_EQ(Messages, 59U);
  EXPECT_EQ(Lines, 59U);
}

TEST_F(FleetGossipTest, tick_allStartAtOnce_fewHostsReadCrashRecords) {
  startFleet(60);
  advanceTime(6s);
  EXPECT_LE(RecordReads, 2 * CrashRecords::ReaderCount);
}

} // namespace
} // namespace mimosacart
