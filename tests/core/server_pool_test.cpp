#include "core/server_pool.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};
const ServerName NoServer;

class ServerPoolTest : public testing::Test {
protected:
  ServerPoolTest() : Pool(PoolPolicy()) {
    Pool.assign(Start, makeServers(3),
                [](const ServerName &) { return false; });
  }

  static std::vector<BackendServer> makeServers(unsigned Count) {
    std::vector<BackendServer> Servers;
    for (unsigned Index = 0; Index < Count; ++Index)
      Servers.push_back({ServerName("s" + std::to_string(Index)),
                         "10.0.0.1:" + std::to_string(Index + 1), "dc", 2, 10});
    return Servers;
  }

  void call(Instant Now, const std::string &Server, CallOutcome Outcome,
            Duration ServiceTime = 10ms) {
    Pool.beginCall(ServerName(Server));
    Pool.finishCall(Now, ServerName(Server), Outcome, ServiceTime);
  }

  ServerState stateOf(Instant Now, const std::string &Server) {
    for (const ServerView &View : Pool.view(Now))
      if (View.Server.Name.value() == Server)
        return View.State;
    return ServerState::Ready;
  }

  ServerPool Pool;
};

TEST_F(ServerPoolTest, pick_allSlotsTaken_returnsNone) {
  for (unsigned Slot = 0; Slot < 6; ++Slot) {
    const auto Server = Pool.pick(Start, NoServer, false);
    ASSERT_TRUE(Server);
    Pool.beginCall(Server->Name);
  }
  EXPECT_FALSE(Pool.pick(Start, NoServer, false));
  EXPECT_EQ(Pool.freeSlots(Start), 0U);
}

TEST_F(ServerPoolTest, pick_serverToAvoid_isChosenOnlyIfNoOtherIsFree) {
  EXPECT_NE(Pool.pick(Start, ServerName("s0"), false)->Name.value(), "s0");
  Pool.setDraining(ServerName("s1"), true);
  Pool.setDraining(ServerName("s2"), true);
  EXPECT_EQ(Pool.pick(Start, ServerName("s0"), false)->Name.value(), "s0");
}

TEST_F(ServerPoolTest, finishCall_threeConsecutiveFailures_ejectsTemporarily) {
  for (unsigned Call = 0; Call < 3; ++Call)
    call(Start, "s0", CallOutcome::Failed);
  EXPECT_EQ(stateOf(Start, "s0"), ServerState::Ejected);
  EXPECT_EQ(Pool.usableSlots(Start), 4U);
  EXPECT_NE(stateOf(Start + 1s, "s0"), ServerState::Ejected);
}

TEST_F(ServerPoolTest, finishCall_failureAfterEjection_ejectsAtOnceAndLonger) {
  for (unsigned Call = 0; Call < 3; ++Call)
    call(Start, "s0", CallOutcome::Failed);
  call(Start + 600ms, "s0", CallOutcome::Failed);
  EXPECT_EQ(stateOf(Start + 1500ms, "s0"), ServerState::Ejected);
}

TEST_F(ServerPoolTest, finishCall_fastErrors_leaveMeanServiceTimeUnchanged) {
  for (const char *Server : {"s0", "s1", "s2"})
    call(Start, Server, CallOutcome::Succeeded, 10ms);
  call(Start, "s0", CallOutcome::Failed, 1ms);
  call(Start, "s0", CallOutcome::Failed, 1ms);
  for (const ServerView &View : Pool.view(Start))
    EXPECT_EQ(View.MeanServiceTime, Duration(10ms));
}

TEST_F(ServerPoolTest, pick_everyServerEjected_returnsServerOnlyIfAllowed) {
  for (const char *Server : {"s0", "s1", "s2"})
    for (unsigned Call = 0; Call < 3; ++Call)
      call(Start, Server, CallOutcome::Failed);
  EXPECT_FALSE(Pool.pick(Start, NoServer, false));
  EXPECT_TRUE(Pool.pick(Start, NoServer, true));
}

TEST_F(ServerPoolTest, usableSlots_slowServer_countsOneSlot) {
  for (unsigned Call = 0; Call < 60; ++Call) {
    call(Start, "s0", CallOutcome::Succeeded, 100ms);
    call(Start, "s1", CallOutcome::Succeeded, 10ms);
    call(Start, "s2", CallOutcome::Succeeded, 10ms);
  }
  EXPECT_EQ(stateOf(Start, "s0"), ServerState::Slow);
  EXPECT_EQ(Pool.usableSlots(Start), 5U);
}

TEST_F(ServerPoolTest, finishCall_oneStraggler_doesNotMarkServerSlow) {
  for (unsigned Call = 0; Call < 20; ++Call)
    for (const char *Server : {"s0", "s1", "s2"})
      call(Start, Server, CallOutcome::Succeeded, 10ms);
  call(Start, "s0", CallOutcome::Succeeded, 1s);
  EXPECT_EQ(stateOf(Start, "s0"), ServerState::Ready);
}

TEST_F(ServerPoolTest, assign_newServer_rampsUp) {
  Pool.assign(Start, makeServers(4),
              [](const ServerName &Name) { return Name.value() == "s3"; });
  EXPECT_EQ(stateOf(Start, "s3"), ServerState::Ramping);
  EXPECT_EQ(Pool.freeSlots(Start), 7U);
  EXPECT_EQ(Pool.freeSlots(Start + 4s), 8U);
}

TEST_F(ServerPoolTest, assign_removedServer_isKeptUntilItsCallsEnd) {
  Pool.beginCall(ServerName("s2"));
  Pool.assign(Start, makeServers(2), [](const ServerName &) { return false; });
  EXPECT_EQ(Pool.freeSlots(Start), 4U);
  EXPECT_EQ(Pool.view(Start).size(), 3U);
  Pool.finishCall(Start, ServerName("s2"), CallOutcome::Succeeded, 10ms);
  EXPECT_EQ(Pool.view(Start).size(), 2U);
}

} // namespace
} // namespace mimosacart
