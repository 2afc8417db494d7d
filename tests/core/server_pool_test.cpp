#include "core/server_pool.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};
const ServerName None;

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

  void call(Instant Now, const std::string &Server, CallVerdict Verdict,
            Duration Time = 10ms) {
    Pool.begin(ServerName(Server));
    Pool.finish(Now, ServerName(Server), Verdict, Time);
  }

  ServerState stateOf(Instant Now, const std::string &Server) {
    for (const ServerView &View : Pool.view(Now))
      if (View.Server.Name.value() == Server)
        return View.State;
    return ServerState::Ready;
  }

  ServerPool Pool;
};

TEST_F(ServerPoolTest, pick_allSlotsTaken_findsNone) {
  for (unsigned Taken = 0; Taken < 6; ++Taken) {
    const auto Server = Pool.pick(Start, None, false);
    ASSERT_TRUE(Server);
    Pool.begin(Server->Name);
  }
  EXPECT_FALSE(Pool.pick(Start, None, false));
  EXPECT_EQ(Pool.freeSlots(Start), 0U);
}

TEST_F(ServerPoolTest, pick_serverToAvoid_isTakenOnlyIfAlone) {
  EXPECT_NE(Pool.pick(Start, ServerName("s0"), false)->Name.value(), "s0");
  Pool.setDraining(ServerName("s1"), true);
  Pool.setDraining(ServerName("s2"), true);
  EXPECT_EQ(Pool.pick(Start, ServerName("s0"), false)->Name.value(), "s0");
}

TEST_F(ServerPoolTest, finish_threeFailuresInRow_ejectsForAWhile) {
  for (unsigned Time = 0; Time < 3; ++Time)
    call(Start, "s0", CallVerdict::Bad);
  EXPECT_EQ(stateOf(Start, "s0"), ServerState::Ejected);
  EXPECT_EQ(Pool.usableSlots(Start), 4U);
  EXPECT_NE(stateOf(Start + 1s, "s0"), ServerState::Ejected);
}

TEST_F(ServerPoolTest, finish_failureAfterReturn_ejectsAtOnceAndLonger) {
  for (unsigned Time = 0; Time < 3; ++Time)
    call(Start, "s0", CallVerdict::Bad);
  call(Start + 600ms, "s0", CallVerdict::Bad);
  EXPECT_EQ(stateOf(Start + 1500ms, "s0"), ServerState::Ejected);
}

TEST_F(ServerPoolTest, finish_fastErrors_earnNoPreference) {
  for (const char *Server : {"s0", "s1", "s2"})
    call(Start, Server, CallVerdict::Good, 10ms);
  call(Start, "s0", CallVerdict::Bad, 1ms);
  call(Start, "s0", CallVerdict::Bad, 1ms);
  for (const ServerView &View : Pool.view(Start))
    EXPECT_EQ(View.MeanServiceTime, Duration(10ms));
}

TEST_F(ServerPoolTest, pick_everyServerEjected_onlyIfAllowed) {
  for (const char *Server : {"s0", "s1", "s2"})
    for (unsigned Time = 0; Time < 3; ++Time)
      call(Start, Server, CallVerdict::Bad);
  EXPECT_FALSE(Pool.pick(Start, None, false));
  EXPECT_TRUE(Pool.pick(Start, None, true));
}

TEST_F(ServerPoolTest, limit_slowServer_getsOneRequestAtATime) {
  for (unsigned Time = 0; Time < 60; ++Time) {
    call(Start, "s0", CallVerdict::Good, 100ms);
    call(Start, "s1", CallVerdict::Good, 10ms);
    call(Start, "s2", CallVerdict::Good, 10ms);
  }
  EXPECT_EQ(stateOf(Start, "s0"), ServerState::Slow);
  EXPECT_EQ(Pool.usableSlots(Start), 5U);
}

TEST_F(ServerPoolTest, limit_oneStraggler_doesNotMarkTheServer) {
  for (unsigned Time = 0; Time < 20; ++Time)
    for (const char *Server : {"s0", "s1", "s2"})
      call(Start, Server, CallVerdict::Good, 10ms);
  call(Start, "s0", CallVerdict::Good, 1s);
  EXPECT_EQ(stateOf(Start, "s0"), ServerState::Ready);
}

TEST_F(ServerPoolTest, assign_newServer_rampsUp) {
  Pool.assign(Start, makeServers(4),
              [](const ServerName &Name) { return Name.value() == "s3"; });
  EXPECT_EQ(stateOf(Start, "s3"), ServerState::Ramping);
  EXPECT_EQ(Pool.freeSlots(Start), 7U);
  EXPECT_EQ(Pool.freeSlots(Start + 4s), 8U);
}

TEST_F(ServerPoolTest, assign_serverTakenAway_countsItsCallsOff) {
  Pool.begin(ServerName("s2"));
  Pool.assign(Start, makeServers(2), [](const ServerName &) { return false; });
  EXPECT_EQ(Pool.freeSlots(Start), 4U);
  EXPECT_EQ(Pool.view(Start).size(), 3U);
  Pool.finish(Start, ServerName("s2"), CallVerdict::Good, 10ms);
  EXPECT_EQ(Pool.view(Start).size(), 2U);
}

} // namespace
} // namespace mimosacart
