/// \file
/// Properties of RequestFlow under random sequences of events from servers and
/// callers: a request that is not idempotent runs at most once, a refusal as
/// "not run" is true, and every request ends once and before its timeout.
#include "tests/direct/flow_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

enum class Step : std::uint8_t {
  StartNonIdempotent,
  StartIdempotent,
  AnswerSuccess,
  AnswerError,
  AnswerUnsigned,
  AnswerNotRun,
  WrongServer,
  NotSent,
  BreakBeforeRun,
  BreakAfterRun,
  TimeOut,
  ProbesIdle,
  ProbesSlow,
  ProbesFail,
  Abandon,
  ServerLeaves,
  ServerJoins,
  Wait,
  Count
};

/// Plays the servers and callers, and counts how often each request runs.
class FlowSimulation {
public:
  FlowSimulation() {
    for (const char *Id : {"a", "b", "c"})
      Harness.addServer(Id);
  }

  void perform(Step Event, std::uint8_t Detail) {
    switch (Event) {
    case Step::StartNonIdempotent:
    case Step::StartIdempotent:
      Harness.Route.Idempotent = Event == Step::StartIdempotent;
      Started.push_back({Harness.start(std::to_string(Detail)),
                         Harness.Route.Idempotent, Harness.Now});
      break;
    case Step::Abandon:
      if (!Started.empty())
        Harness.Flow.abandon(Harness.Now, Started[Detail % Started.size()].Id);
      break;
    case Step::ProbesIdle:
      Harness.answerProbes({0, 0, 2, 100});
      break;
    case Step::ProbesSlow:
      Harness.answerProbes({1, 0, 2, 700});
      break;
    case Step::ProbesFail:
      Harness.failProbes();
      break;
    case Step::ServerLeaves:
      Harness.Registry.remove(Harness.Now,
                              ServerName(Detail % 2 == 0 ? "a" : "b"),
                              Detail % 3 == 0);
      break;
    case Step::ServerJoins:
      Harness.addServer(Detail % 2 == 0 ? "a" : "d");
      break;
    case Step::Wait:
      Harness.advance(std::chrono::milliseconds(Detail));
      break;
    default:
      endCall(Event, Detail);
    }
  }

  void endCall(Step Event, std::uint8_t Detail) {
    if (Harness.Calls.empty())
      return;
    const DirectCall Call = Harness.Calls[Detail % Harness.Calls.size()];
    const std::string Server = Call.Server.Id.value();
    const bool Ran = Event == Step::AnswerSuccess ||
                     Event == Step::AnswerError ||
                     Event == Step::AnswerUnsigned ||
                     Event == Step::BreakAfterRun || Event == Step::TimeOut;
    // The harness ends the first open call to the server.
    const auto First = std::find_if(Harness.Calls.begin(), Harness.Calls.end(),
                                    [&](const DirectCall &Open) {
                                      return Open.Server.Id == Call.Server.Id;
                                    });
    if (Ran)
      ++RunCounts[First->Request.get()];
    EndedRequests.push_back(First->Request);
    if (Event == Step::AnswerSuccess)
      Harness.answer(Server, 200);
    else if (Event == Step::AnswerError)
      Harness.answer(Server, Detail % 2 == 0 ? 500 : 503);
    else if (Event == Step::AnswerUnsigned)
      Harness.answer(Server, 200, false);
    else if (Event == Step::AnswerNotRun)
      Harness.answerNotRun(Server);
    else if (Event == Step::WrongServer)
      Harness.answerWrongServer(Server);
    else if (Event == Step::NotSent)
      Harness.failCall(Server, CallEnd::NotSent);
    else
      Harness.failCall(Server, Event == Step::TimeOut ? CallEnd::TimedOut
                                                      : CallEnd::Broken);
  }

  struct StartedRequest {
    RequestId Id;
    bool Idempotent = false;
    Instant At{};
  };

  FlowHarness Harness;
  std::vector<StartedRequest> Started;
  std::map<const CallerRequest *, unsigned> RunCounts;
  /// Keeps ended requests alive, so that the addresses in RunCounts stay
  /// unique.
  std::vector<RequestPtr> EndedRequests;
};

RC_GTEST_PROP(
    RequestFlowPropertyTest, anySteps_everyRequest_keepsItsLimits,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &Steps)) {
  FlowSimulation Simulation;
  for (const auto &[Kind, Detail] : Steps) {
    Simulation.perform(
        static_cast<Step>(Kind % static_cast<unsigned>(Step::Count)), Detail);
    for (const DirectCall &Call : Simulation.Harness.Calls)
      RC_ASSERT(Call.Remaining <= Simulation.Harness.Route.Timeout);
  }
  while (!Simulation.Harness.Calls.empty())
    Simulation.endCall(Step::BreakAfterRun, 0);
  Simulation.Harness.advance(2s);
  std::map<RequestId, unsigned> RunsById;
  for (const FlowSimulation::StartedRequest &Request : Simulation.Started) {
    if (!Simulation.Harness.ended(Request.Id))
      continue;
    const FlowResult &Result = Simulation.Harness.result(Request.Id);
    RC_ASSERT(Result.Total <= Simulation.Harness.Route.Timeout);
    RC_ASSERT((Result.Reply != nullptr) !=
              (Result.Refused.Reason != RefusalReason::None));
  }
  for (const auto &[Request, Count] : Simulation.RunCounts)
    RC_ASSERT(Count <= Simulation.Harness.Route.MaxAttempts);
}

/// A single request, so that its result can be compared with how often it ran.
RC_GTEST_PROP(
    RequestFlowPropertyTest,
    nonIdempotent_anySteps_runsAtMostOnceAndResultIsTrue,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &Steps)) {
  FlowSimulation Simulation;
  Simulation.perform(Step::StartNonIdempotent, 1);
  const RequestId Id = Simulation.Started.front().Id;
  for (const auto &[Kind, Detail] : Steps) {
    const auto Event =
        static_cast<Step>(Kind % static_cast<unsigned>(Step::Count));
    if (Event != Step::StartNonIdempotent && Event != Step::StartIdempotent)
      Simulation.perform(Event, Detail);
  }
  const bool EndedBefore = Simulation.Harness.ended(Id);
  while (!Simulation.Harness.Calls.empty())
    Simulation.endCall(Step::AnswerSuccess, 0);
  Simulation.Harness.advance(2s);
  unsigned Runs = 0;
  for (const auto &[Request, Count] : Simulation.RunCounts)
    Runs += Count;
  RC_ASSERT(Runs <= 1U);
  if (!Simulation.Harness.ended(Id))
    return;
  const FlowResult &Result = Simulation.Harness.result(Id);
  if (!Result.Reply && Result.Refused.Outcome == RefusalOutcome::NotRun)
    RC_ASSERT(Runs == 0U);
  if (Result.Reply)
    RC_ASSERT(Runs == 1U);
  RC_CLASSIFY(EndedBefore);
}

} // namespace
} // namespace mimosacart
