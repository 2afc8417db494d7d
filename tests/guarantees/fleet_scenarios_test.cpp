/// \file
/// Checks the guarantees of the fleet under one failure at a time, with nodes
/// in virtual time.
#include "tests/support/node_fleet.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Time within which a draining server must stop receiving new work: "a few
/// seconds" in the requirements.
constexpr Duration MaxDrainDelay = 3s;
/// Time within which the fleet must adapt to a failure or a change: "within
/// seconds" in the requirements.
constexpr Duration MaxConvergenceTime = 5s;

/// A fleet of five hosts in three data centres that has run for 2 s.
class FleetScenariosTest : public testing::Test {
protected:
  FleetScenariosTest() : Fleet(makeTestConfiguration(6, 2)) {
    const std::vector<std::string> DataCentres = {"dc-a", "dc-a", "dc-b",
                                                  "dc-b", "dc-c"};
    for (std::size_t Index = 0; Index < DataCentres.size(); ++Index) {
      Names.push_back(fmt::format("host-{}", "abcde"[Index]));
      Fleet.addHost(Names.back(), DataCentres[Index]);
    }
    Fleet.run(2s);
  }

  std::size_t sendBooking(const std::string &Host, const std::string &Id,
                          const std::string &Token,
                          const std::string &Body = "") {
    return Fleet.send(Host, {"POST", "/book/" + Id, Body, "key-" + Id, Token});
  }

  std::size_t sendRead(const std::string &Host, const std::string &Id) {
    return Fleet.send(Host, {"GET", "/read/" + Id, "", "", ""});
  }

  /// Sends one read to every running host every 10 ms for \p Span.
  std::vector<std::size_t> sendReads(Duration Span) {
    std::vector<std::size_t> Sent;
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += 10ms) {
      for (const std::string &Name : Names)
        if (Fleet.isRunning(Name) && !Frozen.contains(Name))
          Sent.push_back(sendRead(Name, std::to_string(++LastId)));
      Fleet.run(10ms);
    }
    return Sent;
  }

  std::size_t countOutcome(const std::vector<std::size_t> &Sent,
                           const std::string &Outcome) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [&](std::size_t Index) {
          return Fleet.outcome(Index) == Outcome;
        }));
  }

  std::set<std::string> listEntryHosts(const std::string &Name) {
    std::set<std::string> Result;
    for (const EntryHost &Listed : Fleet.node(Name).entries(Fleet.now()).Hosts)
      Result.insert(Listed.Host.value());
    return Result;
  }

  void freeze(const std::string &Name) {
    Frozen.insert(Name);
    Fleet.freeze(Name);
  }
  void thaw(const std::string &Name) {
    Frozen.erase(Name);
    Fleet.thaw(Name);
  }

  std::vector<std::string> Names;
  std::set<std::string> Frozen;
  NodeFleet Fleet;
  unsigned LastId = 0;
};

TEST_F(FleetScenariosTest, book_resentToOtherHost_runsOnceWithSameAnswer) {
  const std::string Token = Fleet.token("host-a");
  const std::size_t First = sendBooking("host-a", "1", Token, "x");
  const std::size_t Second = sendBooking("host-c", "1", Token, "x");
  Fleet.run(1s);
  EXPECT_EQ(Fleet.executionsOf("key-1"), 1U);
  ASSERT_EQ(Fleet.outcome(First), "answered");
  ASSERT_EQ(Fleet.outcome(Second), "answered");
  EXPECT_EQ(*Fleet.sent(First).Reply, *Fleet.sent(Second).Reply);
}

TEST_F(FleetScenariosTest, book_issuerKilledWhileRunning_staysUnknown) {
  const std::string Token = Fleet.token("host-a");
  sendBooking("host-a", "1", Token);
  Fleet.run(2ms);
  Fleet.kill("host-a");
  Fleet.run(5s);
  const std::size_t Again = sendBooking("host-b", "1", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(Again), "unknown");
  Fleet.restart("host-a");
  Fleet.run(5s);
  const std::size_t AfterRestart = sendBooking("host-a", "1", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(AfterRestart), "unknown");
  EXPECT_EQ(Fleet.executionsOf("key-1"), 1U);
}

TEST_F(FleetScenariosTest,
       book_issuerKilledAfterJournalWrite_isAnsweredByOtherHosts) {
  const std::string Token = Fleet.token("host-a");
  sendBooking("host-a", "1", Token, "x");
  Fleet.run(1s);
  Fleet.kill("host-a");
  Fleet.run(5s);
  const std::size_t Elsewhere = sendBooking("host-c", "1", Token, "x");
  Fleet.restart("host-a");
  Fleet.run(2s);
  const std::size_t SameName = sendBooking("host-a", "1", Token, "x");
  Fleet.run(2s);
  EXPECT_EQ(Fleet.outcome(Elsewhere), "answered");
  EXPECT_EQ(Fleet.outcome(SameName), "answered");
  EXPECT_EQ(Fleet.executionsOf("key-1"), 1U);
}

TEST_F(FleetScenariosTest, book_issuerKilledDuringOutage_staysUnknown) {
  Fleet.PlatformUp = false;
  const std::string Token = Fleet.token("host-a");
  sendBooking("host-a", "1", Token);
  Fleet.run(1s);
  Fleet.kill("host-a");
  Fleet.run(5s);
  Fleet.PlatformUp = true;
  const std::size_t Again = sendBooking("host-c", "1", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(Again), "unknown");
}

TEST_F(FleetScenariosTest,
       book_issuerFrozenAndResumed_runsOnceAndIsAnsweredLater) {
  const std::string Token = Fleet.token("host-a");
  sendBooking("host-a", "1", Token);
  Fleet.run(2ms);
  freeze("host-a");
  Fleet.run(10s);
  const std::size_t During = sendBooking("host-b", "1", Token);
  Fleet.run(10s);
  EXPECT_EQ(Fleet.outcome(During), "unknown");
  thaw("host-a");
  Fleet.run(5s);
  const std::size_t After = sendBooking("host-b", "1", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(After), "answered");
  EXPECT_EQ(Fleet.executionsOf("key-1"), 1U);
}

TEST_F(FleetScenariosTest, book_issuerFrozenWithWorkQueuedElsewhere_isSettled) {
  const std::string Token = Fleet.token("host-a");
  for (unsigned Index = 0; Index < 100; ++Index)
    sendBooking("host-a", std::to_string(Index), Token);
  Fleet.run(25ms);
  freeze("host-a");
  Fleet.run(10s);
  thaw("host-a");
  Fleet.run(MaxConvergenceTime);
  std::vector<std::size_t> Again;
  for (unsigned Index = 0; Index < 100; ++Index)
    Again.push_back(sendBooking("host-c", std::to_string(Index), Token));
  Fleet.run(5s);
  EXPECT_EQ(countOutcome(Again, "unknown"), 0U);
  EXPECT_EQ(countOutcome(Again, "in-progress"), 0U);
}

TEST_F(FleetScenariosTest,
       book_originPartitionedWhileRunningElsewhere_isSettledLater) {
  const std::string Token = Fleet.token("host-a");
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).ServiceTime =
        [](const CallerRequest &) { return Duration(500ms); };
  for (unsigned Index = 0; Index < 20; ++Index)
    sendBooking("host-a", std::to_string(Index), Token);
  Fleet.run(100ms);
  Fleet.Network = [](const std::string &From, const std::string &To,
                     const PeerMessage &) {
    return (From == "host-a") != (To == "host-a") ? Delivery{}
                                                  : Delivery{{1ms}};
  };
  Fleet.run(8s);
  Fleet.Network = [](const std::string &, const std::string &,
                     const PeerMessage &) { return Delivery{{1ms}}; };
  Fleet.run(10s);
  std::vector<std::size_t> Again;
  for (unsigned Index = 0; Index < 20; ++Index)
    Again.push_back(sendBooking("host-a", std::to_string(Index), Token));
  Fleet.run(5s);
  EXPECT_EQ(countOutcome(Again, "unknown"), 0U);
  EXPECT_EQ(countOutcome(Again, "in-progress"), 0U);
}

TEST_F(FleetScenariosTest, book_refusedNotRunThenDelayedCopy_staysNotRun) {
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).Mode = "draining";
  const std::string Token = Fleet.token("host-a");
  const std::size_t First = sendBooking("host-a", "1", Token);
  Fleet.run(5s);
  ASSERT_EQ(Fleet.outcome(First), "not-run");
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).Mode = "";
  Fleet.run(40s);
  const std::size_t Delayed = sendBooking("host-d", "1", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(Delayed), "not-run");
  EXPECT_EQ(Fleet.executionsOf("key-1"), 0U);
}

TEST_F(FleetScenariosTest, book_beforeAnyConfiguration_staysNotRun) {
  Fleet.PlatformUp = false;
  Fleet.Network = [](const std::string &, const std::string &,
                     const PeerMessage &) { return Delivery{}; };
  Fleet.addHost("host-f", "dc-c");
  Fleet.run(100ms);
  const std::string Token = Fleet.token("host-f");
  const std::size_t Early = sendBooking("host-f", "1", Token);
  Fleet.run(100ms);
  EXPECT_EQ(Fleet.outcome(Early), "not-run");
  Fleet.PlatformUp = true;
  Fleet.run(3s);
  const std::size_t Delayed = sendBooking("host-f", "1", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(Delayed), "not-run");
  EXPECT_EQ(Fleet.executionsOf("key-1"), 0U);
}

TEST_F(FleetScenariosTest,
       book_connectionBreaksWhileRunning_isUnknownAndNotRepeated) {
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).Mode = "break";
  const std::string Token = Fleet.token("host-a");
  const std::size_t First = sendBooking("host-a", "1", Token);
  Fleet.run(5s);
  EXPECT_EQ(Fleet.outcome(First), "unknown");
  EXPECT_EQ(Fleet.executionsOf("key-1"), 1U);
}

TEST_F(FleetScenariosTest, book_platformDown_isAnswered) {
  Fleet.PlatformUp = false;
  std::vector<std::size_t> Sent;
  for (unsigned Index = 0; Index < 100; ++Index) {
    const std::string &Host = Names[Index % Names.size()];
    Sent.push_back(sendBooking(Host, std::to_string(Index), Fleet.token(Host)));
    Fleet.run(10ms);
  }
  Fleet.run(5s);
  EXPECT_EQ(countOutcome(Sent, "answered"), 100U);
}

TEST_F(FleetScenariosTest, book_forwardedAttemptDelivered30sLate_doesNotRun) {
  // The owners are frozen before the forwarded attempts reach them and resume
  // long after the origin has told its callers that the outcome is unknown.
  const std::string Token = Fleet.token("host-a");
  for (const char *Name : {"host-b", "host-c", "host-d", "host-e"})
    freeze(Name);
  std::vector<std::size_t> Sent;
  for (unsigned Index = 0; Index < 40; ++Index)
    Sent.push_back(sendBooking("host-a", std::to_string(Index), Token));
  Fleet.run(30s);
  const std::size_t RunBefore = Fleet.executions().size();
  for (const char *Name : {"host-b", "host-c", "host-d", "host-e"})
    thaw(Name);
  Fleet.run(10s);
  EXPECT_EQ(Fleet.executions().size(), RunBefore);
  // The owners have reported to the origin that the attempts did not run.
  std::vector<std::size_t> Again;
  for (unsigned Index = 0; Index < 40; ++Index)
    Again.push_back(sendBooking("host-a", std::to_string(Index), Token));
  Fleet.run(5s);
  EXPECT_EQ(countOutcome(Again, "answered"), RunBefore);
  EXPECT_EQ(countOutcome(Again, "not-run"), 40 - RunBefore);
}

TEST_F(FleetScenariosTest,
       book_originFrozenWhileQueuedElsewhere_isSettledLater) {
  const std::string Token = Fleet.token("host-a");
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).ServiceTime =
        [](const CallerRequest &) { return Duration(1500ms); };
  for (unsigned Index = 0; Index < 20; ++Index)
    sendBooking("host-a", std::to_string(Index), Token);
  Fleet.run(20ms);
  freeze("host-a");
  Fleet.run(10s);
  thaw("host-a");
  Fleet.run(MaxConvergenceTime);
  std::vector<std::size_t> Again;
  for (unsigned Index = 0; Index < 20; ++Index)
    Again.push_back(sendBooking("host-a", std::to_string(Index), Token));
  Fleet.run(5s);
  EXPECT_EQ(countOutcome(Again, "unknown"), 0U);
  EXPECT_EQ(countOutcome(Again, "in-progress"), 0U);
}

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
