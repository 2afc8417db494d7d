/// \file
/// Checks under random failures of the network, the entry hosts, the backend
/// servers and the platform that requests with a key run at most once, that
/// refusals state correctly whether a request ran, and that callers get the
/// answers to their own requests.
#include "tests/support/node_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fmt/format.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const std::vector<std::string> &hostNames() {
  static const std::vector<std::string> Names = {"host-a", "host-b", "host-c",
                                                 "host-d"};
  return Names;
}

/// A request that may run at most once, with the copies of it that were sent.
struct KeyedRequest {
  TestRequest Request;
  /// Indexes of the copies for NodeFleet::sent().
  std::vector<std::size_t> Copies;
};

/// Causes random failures and sends requests in between.
class Scenario {
public:
  explicit Scenario(std::uint64_t Seed)
      : Random(Seed), Fleet(makeTestConfiguration(6, 2), Seed) {
    Fleet.Network = [this](const std::string &From, const std::string &To,
                           const PeerMessage &) { return deliver(From, To); };
    for (std::size_t Index = 0; Index < hostNames().size(); ++Index)
      Fleet.addHost(hostNames()[Index], fmt::format("dc-{}", "abc"[Index % 3]));
    Fleet.run(2s);
  }

  void run(unsigned Steps) {
    for (unsigned Step = 0; Step < Steps; ++Step) {
      performRandomStep();
      Fleet.run(Duration(draw(0, 150'000)));
    }
    repairAll();
    Fleet.run(90s);
  }

  /// Sends every keyed request once more to every running host, as a caller
  /// that retries for ever would, and then checks all answers and executions.
  void check() {
    for (KeyedRequest &Entry : KeyedRequests)
      for (const std::string &Host : hostNames())
        if (Fleet.isRunning(Host))
          Entry.Copies.push_back(Fleet.send(Host, Entry.Request));
    Fleet.run(90s);
    for (const KeyedRequest &Entry : KeyedRequests)
      checkKey(Entry);
    for (std::size_t Index = 0; Index < Fleet.sentCount(); ++Index)
      checkAnswerStatus(Index);
  }

private:
  std::uint64_t draw(std::uint64_t Min, std::uint64_t Max) {
    return std::uniform_int_distribution<std::uint64_t>(Min, Max)(Random);
  }
  bool drawBool(double Probability) {
    return std::bernoulli_distribution(Probability)(Random);
  }
  const std::string &drawHost() {
    return hostNames()[draw(0, hostNames().size() - 1)];
  }

  Delivery deliver(const std::string &From, const std::string &To) {
    if (CutLinks.contains({From, To}))
      return {};
    Delivery Planned;
    if (!drawBool(LossProbability))
      Planned.Delays.push_back(Duration(draw(500, 3'000)));
    if (drawBool(DuplicateProbability))
      Planned.Delays.push_back(Duration(draw(500, 4'000'000)));
    if (drawBool(DelayProbability) && !Planned.Delays.empty())
      Planned.Delays.front() = Duration(draw(10'000, 3'000'000));
    return Planned;
  }

  void performRandomStep() {
    switch (draw(0, 13)) {
    case 0:
      kill(drawHost());
      return;
    case 1:
      restart(drawHost());
      return;
    case 2:
      Fleet.freeze(drawHost());
      return;
    case 3:
    case 4:
      Fleet.thaw(drawHost());
      return;
    case 5:
      stop(drawHost());
      return;
    case 6:
      CutLinks.insert({drawHost(), drawHost()});
      return;
    case 7:
      CutLinks.clear();
      return;
    case 8:
      breakServer();
      return;
    case 9:
      LossProbability = drawBool(0.5) ? 0.2 : 0;
      DuplicateProbability = drawBool(0.5) ? 0.3 : 0;
      DelayProbability = drawBool(0.5) ? 0.2 : 0;
      return;
    case 10:
      Fleet.PlatformUp = !Fleet.PlatformUp;
      return;
    case 11:
      sendRead();
      return;
    case 12:
      sendKeyedRequest();
      return;
    default:
      resendKeyedRequest();
      return;
    }
  }

  void kill(const std::string &Host) { Fleet.kill(Host); }

  void restart(const std::string &Host) {
    if (!Fleet.isRunning(Host))
      Fleet.restart(Host);
  }

  void stop(const std::string &Host) {
    if (Fleet.isRunning(Host))
      Fleet.stop(Host);
  }

  void breakServer() {
    static const std::vector<std::string> Modes = {"", "", "draining", "break",
                                                   "silent"};
    Fleet.server(fmt::format("server-{}", draw(1, 6))).Mode =
        Modes[draw(0, Modes.size() - 1)];
  }

  void sendRead() {
    if (Fleet.isRunning(drawHost()))
      Fleet.send(drawHost(),
                 {"GET", fmt::format("/read/{}", ++LastRequestId), "", "", ""});
  }

  void sendKeyedRequest() {
    const std::string Host = drawHost();
    if (!Fleet.isRunning(Host))
      return;
    const std::string Token = Fleet.token(Host);
    if (Token.empty())
      return;
    const std::string Id = std::to_string(++LastRequestId);
    KeyedRequests.push_back(
        {{"POST", "/book/" + Id, "body-" + Id, "key-" + Id, Token}, {}});
    KeyedRequests.back().Copies.push_back(
        Fleet.send(Host, KeyedRequests.back().Request));
    if (drawBool(0.3))
      KeyedRequests.back().Copies.push_back(
          Fleet.send(drawHost(), KeyedRequests.back().Request));
  }

  void resendKeyedRequest() {
    if (KeyedRequests.empty())
      return;
    KeyedRequest &Repeated = KeyedRequests[draw(0, KeyedRequests.size() - 1)];
    Repeated.Copies.push_back(Fleet.send(drawHost(), Repeated.Request));
  }

  void repairAll() {
    CutLinks.clear();
    LossProbability = DuplicateProbability = DelayProbability = 0;
    Fleet.PlatformUp = true;
    for (unsigned Index = 1; Index <= 6; ++Index)
      Fleet.server(fmt::format("server-{}", Index)).Mode = "";
    for (const std::string &Host : hostNames()) {
      Fleet.thaw(Host);
      restart(Host);
    }
  }

  void checkKey(const KeyedRequest &Entry) {
    const std::size_t Runs = Fleet.executionsOf(Entry.Request.Key);
    RC_ASSERT(Runs <= 1U);
    std::optional<std::string> AnsweredBody;
    for (const std::size_t Copy : Entry.Copies) {
      const std::string Outcome = Fleet.outcome(Copy);
      if (Outcome == "not-run")
        RC_ASSERT(Runs == 0U);
      if (Outcome == "ran")
        RC_ASSERT(Runs == 1U);
      if (Outcome != "answered")
        continue;
      RC_ASSERT(Runs == 1U);
      const std::string &Body = Fleet.sent(Copy).Reply->Body;
      RC_ASSERT(Body == AnsweredBody.value_or(Body));
      RC_ASSERT(Body == Entry.Request.Target + ' ' + Entry.Request.Body);
      AnsweredBody = Body;
    }
  }

  void checkAnswerStatus(std::size_t Index) {
    const SentRequest &Request = Fleet.sent(Index);
    // A request has no answer if its host was killed.
    if (Request.Reply && !outcomeOf(*Request.Reply))
      RC_ASSERT(Request.Reply->Status == 200U);
  }

  std::mt19937_64 Random;
  NodeFleet Fleet;
  std::set<std::pair<std::string, std::string>> CutLinks;
  double LossProbability = 0;
  double DuplicateProbability = 0;
  double DelayProbability = 0;
  std::uint64_t LastRequestId = 0;
  std::vector<KeyedRequest> KeyedRequests;
};

RC_GTEST_PROP(AtMostOncePropertyTest, anyFailures_everyKey_runsAtMostOnce, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto Steps = *rc::gen::inRange(20U, 200U);
  Scenario RandomScenario(Seed);
  RandomScenario.run(Steps);
  RandomScenario.check();
}

} // namespace
} // namespace mimosacart
