#include "direct/baseline_latency.h"
#include "direct/server_ranking.h"
#include "direct/traffic_split.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class ServerRankingTest : public testing::Test {
protected:
  const DiscoveredServer &add(const std::string &Id,
                              const std::string &DataCentre = "here") {
    DiscoveredServer Server;
    Server.Id = ServerName(Id);
    Server.DataCentre = DataCentre;
    Server.Slots = 2;
    Servers.push_back(std::make_unique<DiscoveredServer>(Server));
    ServerLoads.reset(Now, Server);
    return *Servers.back();
  }

  std::string best() {
    std::vector<const DiscoveredServer *> Candidates;
    for (const auto &Server : Servers)
      Candidates.push_back(Server.get());
    Ranked = Ranking.rank(Now, Candidates, ServerLoads, 100ms);
    return Ranked.front().Server->Id.value();
  }

  void tell(const std::string &Id, unsigned Running, unsigned Slowness) {
    ServerLoads.recordLoad(Now, ServerName(Id),
                           ServerLoad{Running, 0, 2, Slowness});
  }

  Instant Now{1h};
  ServerLoadTable ServerLoads;
  ServerRanking Ranking{RankingPolicy{}, "here", 1};
  std::vector<std::unique_ptr<DiscoveredServer>> Servers;
  std::vector<RankedServer> Ranked;
};

TEST_F(ServerRankingTest, rank_slowedServer_comesLast) {
  add("slow");
  add("fast");
  tell("slow", 0, 700);
  tell("fast", 1, 100);
  EXPECT_EQ(best(), "fast");
  EXPECT_TRUE(Ranked.front().IsNominal);
  EXPECT_FALSE(Ranked.back().IsNominal);
}

TEST_F(ServerRankingTest, rank_equalServers_prefersTheOwnDataCentre) {
  add("far", "there");
  add("near");
  tell("far", 0, 100);
  tell("near", 0, 100);
  EXPECT_EQ(best(), "near");
  tell("near", 0, 700);
  EXPECT_EQ(best(), "far");
}

TEST_F(ServerRankingTest, rank_failedLately_isPassedOverForAWhile) {
  add("failing");
  add("sound", "there");
  tell("failing", 0, 100);
  tell("sound", 0, 100);
  ServerLoads.recordFailure(Now, ServerName("failing"), 1);
  EXPECT_EQ(best(), "sound");
  Now += 30s;
  tell("failing", 0, 100);
  tell("sound", 0, 100);
  EXPECT_EQ(best(), "failing");
}

TEST_F(ServerRankingTest, rank_mostServersFail_theyAreGoodAllTheSame) {
  for (const char *Id : {"a", "b", "c"}) {
    add(Id);
    tell(Id, 0, 100);
    ServerLoads.recordFailure(Now, ServerName(Id), 2);
  }
  ServerLoads.recordFailure(Now, ServerName("c"), 1);
  EXPECT_NE(best(), "c");
  EXPECT_TRUE(Ranked.front().IsNominal);
  EXPECT_FALSE(Ranked.back().IsNominal);
}

TEST_F(ServerRankingTest, rank_callsStartedSinceTheFigures_countAsBusy) {
  add("a");
  tell("a", 1, 100);
  best();
  EXPECT_TRUE(Ranked.front().IsNominal);
  ServerLoads.recordStart(ServerName("a"));
  best();
  EXPECT_FALSE(Ranked.front().IsNominal);
}

TEST_F(ServerRankingTest, rank_oldFigures_sayNothing) {
  add("a");
  tell("a", 0, 700);
  Now += 1s;
  best();
  EXPECT_FALSE(Ranked.front().HasFreshLoad);
  EXPECT_LT(Ranked.front().ExpectedLatency, 200ms);
}

TEST_F(ServerRankingTest, rank_serverWithoutFigures_needsNoProbe) {
  add("a");
  ServerLoads.recordLoad(Now, ServerName("a"), std::nullopt);
  best();
  EXPECT_TRUE(Ranked.front().HasFreshLoad);
  EXPECT_TRUE(Ranked.front().IsNominal);
}

TEST_F(ServerRankingTest, rank_oneAnswerWithoutFigures_stillNeedsAProbe) {
  add("a");
  tell("a", 0, 100);
  Now += 1s;
  ServerLoads.recordLoad(Now, ServerName("a"), std::nullopt);
  best();
  EXPECT_FALSE(Ranked.front().HasFreshLoad);
}

TEST_F(ServerRankingTest, rank_anotherIncarnation_startsWithoutHistory) {
  const DiscoveredServer &Server = add("a");
  ServerLoads.recordFailure(Now, Server.Id, 3);
  ServerLoads.reset(Now, Server);
  EXPECT_EQ(
      ServerLoadTable::decayedFailureScore(Now, *ServerLoads.find(Server.Id)),
      0);
}

TEST(TrafficSplitTest, next_anyStretch_keepsTheWeights) {
  HostRoute Route;
  Route.Name = "r";
  Route.Services = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  TrafficSplit Split;
  unsigned Second = 0;
  for (unsigned Count = 0; Count < 50; ++Count)
    Second += Split.next(Route) == ServiceName("b") ? 1 : 0;
  EXPECT_EQ(Second, 5U);
}

TEST(TrafficSplitTest, next_weightsChange_followsTheNewOnes) {
  HostRoute Route;
  Route.Name = "r";
  Route.Services = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  TrafficSplit Split;
  Split.next(Route);
  Route.Services = {{ServiceName("b"), 1}};
  EXPECT_EQ(Split.next(Route), ServiceName("b"));
}

TEST(BaselineLatencyTest, note_slowedServer_isCountedAsIfItWereNot) {
  BaselineLatency Times;
  Times.record("r", 700ms, 7);
  EXPECT_EQ(Times.baseline("r", 1s), 100ms);
  EXPECT_EQ(Times.baseline("unknown", 1s), 350ms);
}

} // namespace
} // namespace mimosacart
