/// \file
/// Whatever servers and callers do: work that may not be repeated runs at most
/// once, a refusal that says "not run" is true, and every request ends once,
/// in time.
#include "tests/direct/flow_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

enum class Step : std::uint8_t {
  StartOnce,
  StartIdempotent,
  AnswerWell,
  AnswerBadly,
  AnswerUnsigned,
  Refuse,
  WrongServer,
  NotSent,
  BreakBeforeRun,
  BreakAfterRun,
  TimeOut,
  ProbesWell,
  ProbesSlow,
  ProbesLost,
  Abandon,
  ServerLeaves,
  ServerJoins,
  Wait,
  Count
};

/// The servers' side: which requests ran, and how often.
class Model {
public:
  Model() {
    for (const char *Id : {"a", "b", "c"})
      Harness.addServer(Id);
  }

  void play(Step Next, std::uint8_t Detail) {
    switch (Next) {
    case Step::StartOnce:
    case Step::StartIdempotent:
      Harness.Route.Idempotent = Next == Step::StartIdempotent;
      Started.push_back({Harness.start(std::to_string(Detail)),
                         Harness.Route.Idempotent, Harness.Now});
      break;
    case Step::Abandon:
      if (!Started.empty())
        Harness.Flow.abandon(Harness.Now, Started[Detail % Started.size()].Id);
      break;
    case Step::ProbesWell:
      Harness.answerProbes({0, 0, 2, 100});
      break;
    case Step::ProbesSlow:
      Harness.answerProbes({1, 0, 2, 700});
      break;
    case Step::ProbesLost:
      Harness.loseProbes();
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
      Harness.pass(std::chrono::milliseconds(Detail));
      break;
    default:
      endCall(Next, Detail);
    }
  }

  void endCall(Step How, std::uint8_t Detail) {
    if (Harness.Calls.empty())
      return;
    const DirectCall Call = Harness.Calls[Detail % Harness.Calls.size()];
    const std::string Server = Call.Server.Id.value();
    const bool Ran = How == Step::AnswerWell || How == Step::AnswerBadly ||
                     How == Step::AnswerUnsigned ||
                     How == Step::BreakAfterRun || How == Step::TimeOut;
    // The first open call to that server is the one that the harness ends.
    const auto First = std::find_if(Harness.Calls.begin(), Harness.Calls.end(),
                                    [&](const DirectCall &Each) {
                                      return Each.Server.Id == Call.Server.Id;
                                    });
    if (Ran)
      ++Runs[First->Request.get()];
    Kept.push_back(First->Request);
    if (How == Step::AnswerWell)
      Harness.answer(Server, 200);
    else if (How == Step::AnswerBadly)
      Harness.answer(Server, Detail % 2 == 0 ? 500 : 503);
    else if (How == Step::AnswerUnsigned)
      Harness.answer(Server, 200, false);
    else if (How == Step::Refuse)
      Harness.answerNotRun(Server);
    else if (How == Step::WrongServer)
      Harness.answerWrongServer(Server);
    else if (How == Step::NotSent)
      Harness.lose(Server, CallEnd::NotSent);
    else
      Harness.lose(Server,
                   How == Step::TimeOut ? CallEnd::TimedOut : CallEnd::Broken);
  }

  struct Request {
    RequestId Id;
    bool Idempotent = false;
    Instant At{};
  };

  FlowHarness Harness;
  std::vector<Request> Started;
  std::map<const CallerRequest *, unsigned> Runs;
  /// Keeps the addresses in Runs unique.
  std::vector<RequestPtr> Kept;
};

RC_GTEST_PROP(
    RequestFlowPropertyTest, anySteps_everyRequest_isTreatedRight,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &Steps)) {
  Model Played;
  // Requests by what the calls carry, to judge each result by its runs.
  for (const auto &[Kind, Detail] : Steps) {
    Played.play(static_cast<Step>(Kind % static_cast<unsigned>(Step::Count)),
                Detail);
    for (const DirectCall &Call : Played.Harness.Calls)
      RC_ASSERT(Call.Remaining <= Played.Harness.Route.Timeout);
  }
  while (!Played.Harness.Calls.empty())
    Played.endCall(Step::BreakAfterRun, 0);
  Played.Harness.pass(2s);
  std::map<RequestId, unsigned> RunsById;
  for (const Model::Request &Each : Played.Started) {
    if (!Played.Harness.ended(Each.Id))
      continue;
    const FlowResult &Result = Played.Harness.result(Each.Id);
    RC_ASSERT(Result.Total <= Played.Harness.Route.Timeout);
    RC_ASSERT((Result.Reply != nullptr) !=
              (Result.Refused.Reason != RefusalReason::None));
  }
  for (const auto &[Request, Count] : Played.Runs)
    RC_ASSERT(Count <= Played.Harness.Route.MaxAttempts);
}

/// The same for one request at a time, so that its runs are known exactly.
RC_GTEST_PROP(
    RequestFlowPropertyTest, onceOnly_anyEnd_runsOnceAndIsToldTruly,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &Steps)) {
  Model Played;
  Played.play(Step::StartOnce, 1);
  const RequestId Id = Played.Started.front().Id;
  for (const auto &[Kind, Detail] : Steps) {
    const auto Next =
        static_cast<Step>(Kind % static_cast<unsigned>(Step::Count));
    if (Next != Step::StartOnce && Next != Step::StartIdempotent)
      Played.play(Next, Detail);
  }
  const bool EndedBefore = Played.Harness.ended(Id);
  while (!Played.Harness.Calls.empty())
    Played.endCall(Step::AnswerWell, 0);
  Played.Harness.pass(2s);
  unsigned Runs = 0;
  for (const auto &[Request, Count] : Played.Runs)
    Runs += Count;
  RC_ASSERT(Runs <= 1U);
  if (!Played.Harness.ended(Id))
    return;
  const FlowResult &Result = Played.Harness.result(Id);
  if (!Result.Reply && Result.Refused.Outcome == RefusalOutcome::NotRun)
    RC_ASSERT(Runs == 0U);
  if (Result.Reply)
    RC_ASSERT(Runs == 1U);
  RC_CLASSIFY(EndedBefore);
}

} // namespace
} // namespace mimosacart
