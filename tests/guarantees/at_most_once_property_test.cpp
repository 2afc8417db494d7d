/// \file
/// At most once, true refusals and own answers under random failures of the
/// network, the entry hosts, the backend servers and the platform.
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

/// A request that may run once only, and the copies of it that were sent.
struct KeyedRequest {
  TestRequest Request;
  std::vector<std::size_t> Copies;
};

/// Draws one failure after the other and sends requests in between.
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
      act();
      Fleet.run(Duration(draw(0, 150'000)));
    }
    heal();
    Fleet.run(90s);
  }

  /// Sends every key once more to every host that runs, as a caller that
  /// never gives up, and then checks what must always hold.
  void check() {
    for (KeyedRequest &Each : Keyed)
      for (const std::string &Host : hostNames())
        if (Fleet.isRunning(Host))
          Each.Copies.push_back(Fleet.send(Host, Each.Request));
    Fleet.run(90s);
    for (const KeyedRequest &Each : Keyed)
      checkKey(Each);
    for (std::size_t Index = 0; Index < Fleet.sentCount(); ++Index)
      checkOwnAnswer(Index);
  }

private:
  std::uint64_t draw(std::uint64_t Least, std::uint64_t Greatest) {
    return std::uniform_int_distribution<std::uint64_t>(Least,
                                                        Greatest)(Random);
  }
  bool chance(double Share) {
    return std::bernoulli_distribution(Share)(Random);
  }
  const std::string &anyHost() {
    return hostNames()[draw(0, hostNames().size() - 1)];
  }

  Delivery deliver(const std::string &From, const std::string &To) {
    if (Cut.contains({From, To}))
      return {};
    Delivery Plan;
    if (!chance(LossShare))
      Plan.Delays.push_back(Duration(draw(500, 3'000)));
    if (chance(DuplicateShare))
      Plan.Delays.push_back(Duration(draw(500, 4'000'000)));
    if (chance(DelayShare) && !Plan.Delays.empty())
      Plan.Delays.front() = Duration(draw(10'000, 3'000'000));
    return Plan;
  }

  void act() {
    switch (draw(0, 13)) {
    case 0:
      kill(anyHost());
      return;
    case 1:
      restart(anyHost());
      return;
    case 2:
      Fleet.freeze(anyHost());
      return;
    case 3:
    case 4:
      Fleet.thaw(anyHost());
      return;
    case 5:
      stop(anyHost());
      return;
    case 6:
      Cut.insert({anyHost(), anyHost()});
      return;
    case 7:
      Cut.clear();
      return;
    case 8:
      breakServer();
      return;
    case 9:
      LossShare = chance(0.5) ? 0.2 : 0;
      DuplicateShare = chance(0.5) ? 0.3 : 0;
      DelayShare = chance(0.5) ? 0.2 : 0;
      return;
    case 10:
      Fleet.PlatformUp = !Fleet.PlatformUp;
      return;
    case 11:
      sendRead();
      return;
    case 12:
      sendNew();
      return;
    default:
      resend();
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
    if (Fleet.isRunning(anyHost()))
      Fleet.send(anyHost(),
                 {"GET", fmt::format("/read/{}", ++LastId), "", "", ""});
  }

  void sendNew() {
    const std::string Host = anyHost();
    if (!Fleet.isRunning(Host))
      return;
    const std::string Token = Fleet.token(Host);
    if (Token.empty())
      return;
    const std::string Id = std::to_string(++LastId);
    Keyed.push_back(
        {{"POST", "/book/" + Id, "body-" + Id, "key-" + Id, Token}, {}});
    Keyed.back().Copies.push_back(Fleet.send(Host, Keyed.back().Request));
    if (chance(0.3))
      Keyed.back().Copies.push_back(
          Fleet.send(anyHost(), Keyed.back().Request));
  }

  void resend() {
    if (Keyed.empty())
      return;
    KeyedRequest &Again = Keyed[draw(0, Keyed.size() - 1)];
    Again.Copies.push_back(Fleet.send(anyHost(), Again.Request));
  }

  void heal() {
    Cut.clear();
    LossShare = DuplicateShare = DelayShare = 0;
    Fleet.PlatformUp = true;
    for (unsigned Index = 1; Index <= 6; ++Index)
      Fleet.server(fmt::format("server-{}", Index)).Mode = "";
    for (const std::string &Host : hostNames()) {
      Fleet.thaw(Host);
      restart(Host);
    }
  }

  void checkKey(const KeyedRequest &Each) {
    const std::size_t Runs = Fleet.executionsOf(Each.Request.Key);
    RC_ASSERT(Runs <= 1U);
    std::optional<std::string> Answered;
    for (const std::size_t Copy : Each.Copies) {
      const std::string Outcome = Fleet.outcome(Copy);
      if (Outcome == "not-run")
        RC_ASSERT(Runs == 0U);
      if (Outcome == "ran")
        RC_ASSERT(Runs == 1U);
      if (Outcome != "answered")
        continue;
      RC_ASSERT(Runs == 1U);
      const std::string &Body = Fleet.sent(Copy).Reply->Body;
      RC_ASSERT(Body == Answered.value_or(Body));
      RC_ASSERT(Body == Each.Request.Target + ' ' + Each.Request.Body);
      Answered = Body;
    }
  }

  void checkOwnAnswer(std::size_t Index) {
    const SentRequest &Of = Fleet.sent(Index);
    // Only hosts that died keep a caller without any answer.
    if (Of.Reply && !outcomeOf(*Of.Reply))
      RC_ASSERT(Of.Reply->Status == 200U);
  }

  std::mt19937_64 Random;
  NodeFleet Fleet;
  std::set<std::pair<std::string, std::string>> Cut;
  double LossShare = 0;
  double DuplicateShare = 0;
  double DelayShare = 0;
  std::uint64_t LastId = 0;
  std::vector<KeyedRequest> Keyed;
};

RC_GTEST_PROP(AtMostOncePropertyTest, anyFailures_everyKey_runsAtMostOnce, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto Steps = *rc::gen::inRange(20U, 200U);
  Scenario Drawn(Seed);
  Drawn.run(Steps);
  Drawn.check();
}

} // namespace
} // namespace mimosacart
