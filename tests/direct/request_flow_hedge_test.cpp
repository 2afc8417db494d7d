/// \file
/// Hedges of RequestFlow within an operator's limit.
#include "tests/direct/flow_simulation.h"
#include "tests/direct/request_flow_fixture.h"

#include <iostream>

namespace mimosacart {
namespace {

FlowPolicy withShare(std::optional<double> Share) {
  FlowPolicy Policy;
  Policy.HedgeShare = Share;
  return Policy;
}

std::uint64_t refusals(const FlowHarness &Harness, HedgeRefusal Reason) {
  return Harness.Flow.counters().HedgesRefused.at(
      static_cast<std::size_t>(Reason));
}

/// Starts a request whose first server answers nothing for 220 ms.
RequestId startSlowRequest(FlowHarness &Harness) {
  Harness.addServer("a");
  Harness.addServer("b");
  Harness.reportLoad("a");
  Harness.reportLoad("b", 2);
  const RequestId Id = Harness.start();
  Harness.advance(220ms);
  Harness.answerProbes(IdleLoad);
  return Id;
}

// Guards against a change for deployments without the setting: the hedge starts
// by the objective, and the slower call goes on.
TEST(RequestFlowHedgeTest, startHedge_shareNotSet_isAsBefore) {
  FlowHarness Harness;
  const RequestId Id = startSlowRequest(Harness);
  EXPECT_EQ(Harness.openCalls(), (Strings{"a", "b"}));
  Harness.answer("b", 200);
  EXPECT_TRUE(Harness.ended(Id));
  EXPECT_TRUE(Harness.Cancelled.empty());
  EXPECT_EQ(Harness.Flow.counters().Hedges, 1U);
}

TEST(RequestFlowHedgeTest, startHedge_shareIsZero_neverHedgesOrProbes) {
  FlowHarness Harness(withShare(0));
  startSlowRequest(Harness);
  Harness.advance(700ms);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
  EXPECT_TRUE(Harness.Probes.empty());
}

// Guards against a reloaded limit that does not take effect.
TEST(RequestFlowHedgeTest, setHedgeShare_toZero_endsHedges) {
  FlowHarness Harness;
  Harness.Flow.setHedgeShare(0);
  startSlowRequest(Harness);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
}

// Guards against slower calls that keep slots busy after the answer.
TEST(RequestFlowHedgeTest, onAnswer_hedgeWins_cancelsSlowerCall) {
  FlowHarness Harness(withShare(1));
  const RequestId Id = startSlowRequest(Harness);
  ASSERT_EQ(Harness.openCalls(), (Strings{"a", "b"}));
  Harness.answer("b", 200);
  EXPECT_EQ(Harness.result(Id).Reply->Body, "b");
  EXPECT_EQ(Harness.Cancelled.size(), 1U);
  EXPECT_TRUE(Harness.Calls.empty());
  EXPECT_EQ(Harness.Flow.counters().HedgesSent, 1U);
  EXPECT_EQ(Harness.Flow.counters().HedgesWon, 1U);
}

TEST(RequestFlowHedgeTest, startHedge_overShare_isRefusedAndCounted) {
  FlowHarness Harness(withShare(0.5));
  startSlowRequest(Harness);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
  EXPECT_EQ(refusals(Harness, HedgeRefusal::OverShare), 1U);
}

// Guards against hedges on full servers.
TEST(RequestFlowHedgeTest, startHedge_serversFull_isRefusedAndCounted) {
  FlowHarness Harness(withShare(1));
  Harness.addServer("a");
  Harness.addServer("b");
  Harness.reportLoad("a");
  Harness.reportLoad("b", 2);
  Harness.start();
  Harness.advance(220ms);
  Harness.answerProbes(FullLoad);
  Harness.advance(100ms);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
  EXPECT_EQ(refusals(Harness, HedgeRefusal::ServersShort), 1U);
}

// Guards against hedges that use up the budget of retries after failures.
TEST(RequestFlowHedgeTest, startHedge_budgetUsedUp_isRefusedAndCounted) {
  RetryLimits Limits;
  Limits.Slack = 0;
  FlowHarness Harness(withShare(1), Limits);
  startSlowRequest(Harness);
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
  EXPECT_EQ(refusals(Harness, HedgeRefusal::RetriesFirst), 1U);
}

struct Outcome {
  SimulatedLatencies Latencies;
  double ExtraWork = 0;
  std::uint64_t Won = 0;
};

Outcome runLoad(const SimulatedServers &Servers, double PerSecond,
                std::optional<double> Share) {
  FlowSimulation Simulation(Servers, withShare(Share));
  Simulation.Harness.Route.Objective = 500ms;
  Simulation.Harness.Route.Timeout = 1500ms;
  std::size_t Requests = 0;
  Simulation.addArrivals(PerSecond, 0s, 200s, [&] {
    Simulation.Harness.start();
    ++Requests;
  });
  Simulation.run(205s);
  const FlowCounters &Counters = Simulation.Harness.Flow.counters();
  const Outcome Result{Simulation.latencies(),
                       static_cast<double>(Counters.HedgesSent) /
                           static_cast<double>(Requests),
                       Counters.HedgesWon};
  std::cout << "share "
            << (Share ? std::to_string(*Share) : std::string("not set"))
            << ": requests " << Requests << ", answered "
            << Simulation.Harness.Results.size() << ", p50 "
            << Result.Latencies.P50 << " ms, p99 " << Result.Latencies.P99
            << " ms, p99.9 " << Result.Latencies.P999 << " ms, hedges "
            << Counters.HedgesSent << ", won " << Counters.HedgesWon
            << ", extra work " << Result.ExtraWork << ", refused";
  for (std::size_t Index = 1; Index < Counters.HedgesRefused.size(); ++Index)
    std::cout << ' ' << toString(static_cast<HedgeRefusal>(Index)) << ' '
              << Counters.HedgesRefused.at(Index);
  std::cout << '\n';
  return Result;
}

// One request in 33 takes seven times as long. Guards against hedges that cost
// more than the share or do not shorten the tail.
TEST(RequestFlowHedgeLoadTest, hedges_oneIn33Long_shortenTailWithinShare) {
  SimulatedServers Servers;
  Servers.StragglerShare = 1.0 / 33;
  runLoad(Servers, 60, std::nullopt);
  const Outcome Without = runLoad(Servers, 60, 0);
  const Outcome With = runLoad(Servers, 60, 0.05);
  EXPECT_EQ(Without.ExtraWork, 0);
  EXPECT_LE(With.ExtraWork, 0.05);
  EXPECT_LT(With.Latencies.P99, 0.6 * Without.Latencies.P99);
  EXPECT_LE(With.Latencies.P50, 1.05 * Without.Latencies.P50);
}

// A quarter of the servers run seven times slower, others every 500 ms.
TEST(RequestFlowHedgeLoadTest, hedges_quarterOfServersSlow_staysWithinShare) {
  SimulatedServers Servers;
  Servers.SlowShare = 0.25;
  runLoad(Servers, 60, std::nullopt);
  const Outcome Without = runLoad(Servers, 60, 0);
  const Outcome With = runLoad(Servers, 60, 0.05);
  EXPECT_LE(With.ExtraWork, 0.05);
  EXPECT_LE(With.Latencies.P99, Without.Latencies.P99);
}

// Twice what the servers can do. Guards against hedges that take slots from
// requests that wait.
TEST(RequestFlowHedgeLoadTest, hedges_serversShort_areGivenUpFirst) {
  SimulatedServers Servers;
  Servers.Count = 6;
  Servers.StragglerShare = 1.0 / 33;
  const Outcome With = runLoad(Servers, 230, 0.05);
  EXPECT_LE(With.ExtraWork, 0.005);
}

} // namespace
} // namespace mimosacart
