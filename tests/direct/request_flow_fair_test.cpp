/// \file
/// Which waiting requests RequestFlow serves when servers are short.
#include "tests/direct/flow_simulation.h"
#include "tests/direct/request_flow_fixture.h"

#include <iostream>
#include <set>

namespace mimosacart {
namespace {

WorkspacePtr makeWorkspace(const std::string &Name, unsigned Priority = 1) {
  Workspace Result;
  Result.Name = Name;
  Result.Priority = Priority;
  return std::make_shared<const Workspace>(std::move(Result));
}

/// Requests of several workspaces to servers that are too few.
class Contention {
public:
  explicit Contention(SimulatedServers Servers) : Simulation(Servers, {}) {
    Simulation.Harness.Route.Objective = 600ms;
    Simulation.Harness.Route.Timeout = 1200ms;
  }
  void addCallers(const WorkspacePtr &Owner, double PerSecond, Duration From,
                  Duration Until) {
    Simulation.addArrivals(PerSecond, From, Until, [this, Owner] {
      Simulation.Harness.Owner = HasWorkspaces ? Owner : nullptr;
      Simulation.Harness.Route.Priority = *Owner->Priority;
      Started[Owner->Name].push_back(Simulation.Harness.start());
    });
  }
  void run(Duration Span) { Simulation.run(Span); }
  /// Part of the requests of the workspaces with names that begin with
  /// \p Prefix that were answered.
  double answered(const std::string &Prefix) const {
    double Count = 0;
    double Answered = 0;
    for (const auto &[Name, Ids] : Started)
      if (Name.starts_with(Prefix))
        for (const RequestId Id : Ids) {
          ++Count;
          Answered += Simulation.Harness.result(Id).Reply ? 1 : 0;
        }
    return Answered / Count;
  }

  bool HasWorkspaces = true;
  FlowSimulation Simulation;
  std::map<std::string, std::vector<RequestId>> Started;
};

constexpr SimulatedServers FewServers{.Count = 6};

double runBurst(bool HasWorkspaces) {
  Contention Load(FewServers);
  Load.HasWorkspaces = HasWorkspaces;
  for (unsigned Index = 0; Index < 20; ++Index)
    Load.addCallers(makeWorkspace("other" + std::to_string(Index)), 4, 0s,
                    6500ms);
  Load.addCallers(makeWorkspace("burst"), 75, 0s, 6500ms);
  Load.run(9s);
  std::cout << "workspaces " << HasWorkspaces << ": answered of others "
            << Load.answered("other") << ", of the burst "
            << Load.answered("burst") << '\n';
  return Load.answered("other");
}

// One workspace sends 7.5 times its usual 10 requests a second for 6.5 s beside
// 20 others on full servers. Guards against others that lose their share.
TEST(RequestFlowFairTest, start_burstOfOneWorkspace_othersKeepTheirShare) {
  const double Before = runBurst(false);
  const double Now = runBurst(true);
  EXPECT_GE(Now, 0.97);
  EXPECT_GT(Now, Before);
}

// Less urgent requests rise to 2.5 times for 6 s. Guards against urgent ones
// that are refused meanwhile.
TEST(RequestFlowFairTest, start_burstOfLessUrgentKind_urgentIsServed) {
  Contention Load(FewServers);
  Load.addCallers(makeWorkspace("urgent", 1), 50, 0s, 10s);
  Load.addCallers(makeWorkspace("bulk", 3), 60, 0s, 2s);
  Load.addCallers(makeWorkspace("bulk", 3), 150, 2s, 8s);
  Load.addCallers(makeWorkspace("bulk", 3), 60, 8s, 10s);
  Load.run(12s);
  std::cout << "answered of urgent " << Load.answered("urgent")
            << ", of less urgent " << Load.answered("bulk") << '\n';
  EXPECT_GE(Load.answered("urgent"), 0.98);
}

class RequestFlowTurnTest : public RequestFlowTest {
protected:
  /// Starts a request of \p Owner that finds all servers full and waits.
  RequestId startWaiting(const WorkspacePtr &Owner) {
    Harness.Owner = Owner;
    const RequestId Id = Harness.start();
    for (unsigned Round = 0; Round < 3; ++Round) {
      Harness.answerProbes(FullLoad);
      Harness.advance(1ms);
    }
    return Id;
  }
  /// Sends a request of \p Owner that is answered at once.
  void serve(const WorkspacePtr &Owner) {
    Harness.reportLoad("a");
    Harness.Owner = Owner;
    Harness.start();
    // An answer without any latency would make the baseline 0.
    Harness.advance(50ms);
    ServerCallResult Result{CallEnd::Answered, {}};
    Result.Answer.Reply = std::make_shared<const Answer>(Answer{200, {}, ""});
    Result.Answer.Signed = true;
    Result.Answer.Load = IdleLoad;
    Harness.Flow.onCallResult(Harness.Now, Harness.Calls.at(0).Id, Result);
    Harness.Calls.clear();
  }
};

// Guards against a new request that takes the slot for which another waits.
TEST_F(RequestFlowTurnTest, start_betterRequestWaits_getsSlotFirst) {
  const WorkspacePtr Light = makeWorkspace("light");
  const WorkspacePtr Heavy = makeWorkspace("heavy");
  startWaiting(Light);
  ASSERT_TRUE(Harness.openCalls().empty());
  Harness.reportLoad("a", 1);
  Harness.Owner = Heavy;
  Harness.start("new");
  EXPECT_TRUE(Harness.openCalls().empty());
  Harness.advance(0ms);
  ASSERT_EQ(Harness.openCalls(), Strings{"a"});
  EXPECT_EQ(Harness.Calls.front().Workspace, Light);
}

// Guards against a change for deployments without workspaces.
TEST_F(RequestFlowTurnTest, start_noWorkspaces_isSentAtOnceAsBefore) {
  startWaiting(nullptr);
  ASSERT_TRUE(Harness.openCalls().empty());
  Harness.reportLoad("a", 1);
  Harness.start("new");
  EXPECT_EQ(Harness.openCalls(), Strings{"a"});
}

// Guards against callers that return at the same moment, and against a large
// workspace that is told to return as soon as the others.
TEST_F(RequestFlowTurnTest, finish_refused_retryAfterGrowsAndSpreads) {
  const WorkspacePtr Light = makeWorkspace("light");
  const WorkspacePtr Heavy = makeWorkspace("heavy");
  for (unsigned Index = 0; Index < 20; ++Index)
    serve(Heavy);
  serve(Light);
  Harness.advance(500ms);
  std::vector<RequestId> Refused;
  for (unsigned Index = 0; Index < 21; ++Index)
    Refused.push_back(startWaiting(Index == 20 ? Light : Heavy));
  for (unsigned Step = 0; Step < 80; ++Step) {
    Harness.advance(10ms);
    Harness.answerProbes(FullLoad);
  }
  std::set<Duration> Times;
  for (const RequestId Id : Refused) {
    ASSERT_EQ(Harness.result(Id).Refused.Outcome, RefusalOutcome::NotRun);
    Times.insert(Harness.result(Id).Refused.RetryAfter);
  }
  EXPECT_GE(Times.size(), 15U);
  EXPECT_GE(*Times.rbegin() - *Times.begin(), 80ms);
  EXPECT_LT(Harness.result(Refused.back()).Refused.RetryAfter, 160ms);
  EXPECT_GE(Harness.result(Refused.front()).Refused.RetryAfter, 150ms);
}

} // namespace
} // namespace mimosacart
