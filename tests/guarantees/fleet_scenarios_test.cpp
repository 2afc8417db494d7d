/// \file
/// Draining, stops, lists of hosts, configurations and crashes under one
/// failure at a time.
#include "tests/guarantees/fleet_scenarios.h"

namespace mimosacart {
namespace {

TEST_F(FleetScenariosTest, drain_reportedByServer_noNewWorkAfter3s) {
  sendReads(1s);
  Fleet.server("server-1").Mode = "draining";
  sendReads(MaxDrainDelay);
  const std::size_t Before = Fleet.server("server-1").Calls;
  const auto Sent = sendReads(5s);
  EXPECT_EQ(Fleet.server("server-1").Calls, Before);
  Fleet.run(5s);
  EXPECT_EQ(countOutcome(Sent, "answered"), Sent.size());
}

TEST_F(FleetScenariosTest, drain_inHostListOfOneHost_noNewWorkAfter3s) {
  sendReads(1s);
  Fleet.node("host-e").onHostList(Fleet.now(), {}, {ServerName("server-1")});
  sendReads(MaxDrainDelay);
  const std::size_t Before = Fleet.server("server-1").Calls;
  sendReads(5s);
  EXPECT_EQ(Fleet.server("server-1").Calls, Before);
}

TEST_F(FleetScenariosTest, drain_ownerKilled_newOwnerSendsNoWork) {
  sendReads(1s);
  std::string Owner;
  for (const auto &[Server, Host] : Fleet.node("host-a").owners())
    if (Server.value() == "server-1")
      Owner = Host.value();
  const std::string Other = Owner == "host-e" ? "host-d" : "host-e";
  Fleet.node(Other).onHostList(Fleet.now(), {}, {ServerName("server-1")});
  sendReads(MaxDrainDelay);
  const std::size_t Before = Fleet.server("server-1").Calls;
  Fleet.kill(Owner);
  sendReads(10s);
  EXPECT_EQ(Fleet.server("server-1").Calls, Before);
}

TEST_F(FleetScenariosTest, join_newServer_startsWithOneRequestAtATime) {
  sendReads(1s);
  Fleet.applyEverywhere(makeTestConfiguration(7, 2));
  unsigned MaxRunning = 0;
  for (unsigned Step = 0; Step < 50; ++Step) {
    sendReads(10ms);
    MaxRunning = std::max(MaxRunning, Fleet.server("server-7").Running);
  }
  EXPECT_EQ(MaxRunning, 1U);
}

TEST_F(FleetScenariosTest, stop_planned_answersAllRequestsAndKeepsClaims) {
  const std::string Token = Fleet.token("host-a");
  const std::size_t Done = sendBooking("host-a", "done", Token);
  Fleet.run(1s);
  ASSERT_EQ(Fleet.outcome(Done), "answered");
  auto Sent = sendReads(500ms);
  Fleet.stop("host-a");
  for (unsigned Step = 0; Step < 200; ++Step) {
    const auto Reads = sendReads(50ms);
    Sent.insert(Sent.end(), Reads.begin(), Reads.end());
  }
  Fleet.run(10s);
  EXPECT_FALSE(Fleet.isRunning("host-a"));
  EXPECT_EQ(countOutcome(Sent, "answered"), Sent.size());
  const std::size_t Again = sendBooking("host-c", "done", Token);
  const std::size_t Never = sendBooking("host-c", "never", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(Again), "answered");
  EXPECT_EQ(Fleet.outcome(Never), "not-run");
  EXPECT_EQ(Fleet.executionsOf("key-done"), 1U);
}

TEST_F(FleetScenariosTest, stop_handoverLost_isUnknownAndRunsOnce) {
  // During a platform outage the journal is not written, so that only the
  // handover could transfer the result.
  Fleet.PlatformUp = false;
  const std::string Token = Fleet.token("host-a");
  sendBooking("host-a", "1", Token);
  Fleet.run(1s);
  Fleet.Network = [](const std::string &, const std::string &,
                     const PeerMessage &Message) {
    if (std::holds_alternative<Handover>(Message.Body))
      return Delivery{};
    return Delivery{{1ms}};
  };
  Fleet.stop("host-a");
  Fleet.run(90s);
  EXPECT_FALSE(Fleet.isRunning("host-a"));
  const std::size_t Again = sendBooking("host-c", "1", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(Again), "unknown");
  EXPECT_EQ(Fleet.executionsOf("key-1"), 1U);
}

TEST_F(FleetScenariosTest, entries_hostKilled_omitsHostWithin5s) {
  Fleet.kill("host-b");
  Fleet.run(MaxConvergenceTime);
  for (const char *Name : {"host-a", "host-c", "host-d", "host-e"})
    EXPECT_FALSE(listEntryHosts(Name).contains("host-b")) << Name;
}

TEST_F(FleetScenariosTest, entries_allOthersKilled_isNeverEmpty) {
  for (const char *Name : {"host-b", "host-c", "host-d", "host-e"})
    Fleet.kill(Name);
  for (unsigned Step = 0; Step < 100; ++Step) {
    Fleet.run(100ms);
    ASSERT_TRUE(listEntryHosts("host-a").contains("host-a"));
  }
  EXPECT_EQ(listEntryHosts("host-a").size(), 1U);
}

TEST_F(FleetScenariosTest, entries_twoHostsKilledTogether_omitsBoth) {
  Fleet.kill("host-b");
  Fleet.kill("host-d");
  Fleet.run(MaxConvergenceTime);
  for (const char *Name : {"host-a", "host-c", "host-e"})
    EXPECT_EQ(listEntryHosts(Name),
              (std::set<std::string>{"host-a", "host-c", "host-e"}));
}

TEST(FleetStartTest, start_fleetDuringPlatformOutage_formsFromSeedAddresses) {
  NodeFleet Fleet(makeTestConfiguration(6, 2));
  Fleet.PlatformUp = false;
  for (const char *Suffix : {"a", "b", "c"})
    Fleet.addHost(fmt::format("host-{}", Suffix), fmt::format("dc-{}", Suffix));
  Fleet.run(MaxConvergenceTime);
  for (const char *Name : {"host-a", "host-b", "host-c"}) {
    EXPECT_EQ(Fleet.node(Name).entries(Fleet.now()).Hosts.size(), 3U);
    EXPECT_FALSE(Fleet.node(Name).ready());
  }
  Fleet.PlatformUp = true;
  Fleet.run(MaxConvergenceTime);
  for (const char *Name : {"host-a", "host-b", "host-c"})
    EXPECT_TRUE(Fleet.node(Name).ready());
}

TEST_F(FleetScenariosTest, entries_hostFrozenAndResumed_listsHostAgain) {
  freeze("host-b");
  Fleet.run(MaxConvergenceTime);
  EXPECT_FALSE(listEntryHosts("host-a").contains("host-b"));
  thaw("host-b");
  Fleet.run(MaxConvergenceTime);
  for (const std::string &Name : Names)
    EXPECT_EQ(listEntryHosts(Name).size(), 5U) << Name;
}

TEST_F(FleetScenariosTest, entries_partitionHealed_listsAllHosts) {
  const std::set<std::string> Partition = {"host-a", "host-b"};
  Fleet.Network = [&Partition](const std::string &From, const std::string &To,
                               const PeerMessage &) {
    return Partition.contains(From) == Partition.contains(To) ? Delivery{{1ms}}
                                                              : Delivery{};
  };
  Fleet.run(60s);
  EXPECT_EQ(listEntryHosts("host-a"), Partition);
  Fleet.Network = [](const std::string &, const std::string &,
                     const PeerMessage &) { return Delivery{{1ms}}; };
  Fleet.run(10s);
  for (const std::string &Name : Names)
    EXPECT_EQ(listEntryHosts(Name).size(), 5U) << Name;
}

TEST_F(FleetScenariosTest, entries_30PercentMessageLoss_rarelyOmitsHosts) {
  std::mt19937_64 Random(7);
  Fleet.Network = [&Random](const std::string &, const std::string &,
                            const PeerMessage &) {
    return std::bernoulli_distribution(0.3)(Random) ? Delivery{}
                                                    : Delivery{{1ms}};
  };
  unsigned StepsWithMissingHosts = 0;
  for (unsigned Step = 0; Step < 600; ++Step) {
    Fleet.run(100ms);
    StepsWithMissingHosts += listEntryHosts("host-a").size() < 4 ? 1 : 0;
  }
  Fleet.Network = [](const std::string &, const std::string &,
                     const PeerMessage &) { return Delivery{{1ms}}; };
  Fleet.run(MaxConvergenceTime);
  EXPECT_EQ(listEntryHosts("host-a").size(), 5U);
  // If two hosts were missing at once for more than a tenth of the time,
  // callers would lose capacity without need.
  EXPECT_LE(StepsWithMissingHosts, 60U);
}

TEST_F(FleetScenariosTest, read_hostKilled_allReadsAnswered) {
  sendReads(1s);
  Fleet.kill("host-b");
  const auto Sent = sendReads(5s);
  Fleet.run(5s);
  EXPECT_EQ(countOutcome(Sent, "answered"), Sent.size());
}

TEST_F(FleetScenariosTest,
       apply_hostFrozenDuringThreeChanges_neverRevertsAndCatchesUp) {
  freeze("host-c");
  for (unsigned Count = 7; Count <= 9; ++Count) {
    Fleet.applyToPlatform(makeTestConfiguration(Count, 2));
    Fleet.run(2s);
  }
  thaw("host-c");
  Generation Highest(0);
  for (unsigned Step = 0; Step < 50; ++Step) {
    Fleet.run(100ms);
    const Generation Current = Fleet.node("host-c").configuration()->Number;
    ASSERT_GE(Current, Highest);
    Highest = Current;
  }
  for (const std::string &Name : Names)
    EXPECT_EQ(Fleet.node(Name).configuration()->Number, Generation(4)) << Name;
}

TEST_F(FleetScenariosTest, apply_platformDownAfterwards_isInForceOnAllHosts) {
  Fleet.applyToPlatform(makeTestConfiguration(7, 2));
  // Hosts poll the head row once before the platform goes down.
  Fleet.run(1s);
  Fleet.PlatformUp = false;
  Fleet.run(MaxConvergenceTime);
  for (const std::string &Name : Names)
    EXPECT_EQ(Fleet.node(Name).configuration()->Number, Generation(2)) << Name;
}

TEST_F(FleetScenariosTest, start_duringPlatformOutage_takesPeersConfiguration) {
  Fleet.PlatformUp = false;
  Fleet.addHost("host-f", "dc-c");
  const std::size_t Early = sendRead("host-f", "1");
  EXPECT_EQ(Fleet.outcome(Early), "not-run");
  Fleet.run(MaxConvergenceTime);
  ASSERT_TRUE(Fleet.node("host-f").ready());
  const std::size_t Later = sendRead("host-f", "2");
  Fleet.run(1s);
  EXPECT_EQ(Fleet.outcome(Later), "answered");
  EXPECT_TRUE(listEntryHosts("host-a").contains("host-f"));
}

TEST_F(FleetScenariosTest, crash_sameRequestRepeated_runsAtMostTwice) {
  std::set<std::string> CrashedServers;
  for (unsigned Try = 0; Try < 50; ++Try) {
    const std::string &Host = Names[Try % Names.size()];
    // Each request has a new key and the same target and body.
    Fleet.send(Host, {"POST", "/book/x", "CRASH", fmt::format("k{}", Try),
                      Fleet.token(Host)});
    Fleet.run(200ms);
  }
  for (const Execution &Run : Fleet.executions())
    CrashedServers.insert(Run.Server);
  EXPECT_LE(Fleet.executions().size(), 2U);
}

TEST_F(FleetScenariosTest,
       crash_resentImmediatelyOverSlowNetwork_runsAtMostTwice) {
  std::mt19937_64 Random(3);
  Fleet.Network = [&Random](const std::string &, const std::string &,
                            const PeerMessage &) {
    const auto Microseconds =
        std::uniform_int_distribution<long>(1'000, 50'000)(Random);
    return Delivery{{Duration(Microseconds)}};
  };
  Fleet.run(2s);
  for (unsigned Try = 0; Try < 30; ++Try) {
    const std::string &Host = Names[Try % Names.size()];
    const std::size_t Sent =
        Fleet.send(Host, {"POST", "/book/x", "CRASH", fmt::format("k{}", Try),
                          Fleet.token(Host)});
    // The next request is sent as soon as this one is answered.
    while (Fleet.outcome(Sent) == "none")
      Fleet.run(100us);
  }
  EXPECT_LE(Fleet.executions().size(), 2U);
}

TEST_F(FleetScenariosTest, crash_idempotentRequest_isRetriedOnce) {
  const std::size_t Sent =
      Fleet.send("host-a", {"GET", "/read/x", "CRASH", "", ""});
  Fleet.run(5s);
  EXPECT_EQ(Fleet.executions().size(), 2U);
  EXPECT_NE(Fleet.outcome(Sent), "answered");
  const auto Others = sendReads(2s);
  Fleet.run(5s);
  EXPECT_EQ(countOutcome(Others, "answered"), Others.size());
}

} // namespace
} // namespace mimosacart
