/// \file
/// Requests that may run once only, under one failure at a time.
#include "tests/guarantees/fleet_scenarios.h"

namespace mimosacart {
namespace {

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

} // namespace
} // namespace mimosacart
