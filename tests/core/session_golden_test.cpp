/// \file
/// Golden files of whole sessions: events in, actions out.
///
/// `UPDATE_GOLDEN=1` writes the files again; the change is then reviewed like
/// code.
#include "tests/support/describe.h"
#include "tests/support/node_fleet.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// One core whose events and actions are written down.
class SessionGoldenTest : public testing::Test {
protected:
  SessionGoldenTest() : Now(1h) {
    NodeSettings Settings;
    Settings.Self.Host = HostName("host-a");
    Settings.Self.Incarnation = IncarnationId(7);
    Settings.Self.DataCentre = "dc-a";
    Settings.Self.PeerAddress = "peer:host-a";
    Settings.Self.CallerAddress = "caller:host-a";
    Core = std::make_unique<Node>(Now, Settings);
  }

  void event(const std::string &Text) {
    Lines << fmt::format("@{}ms {}\n", toMilliseconds(Now - Instant(1h)), Text);
  }

  void actions() {
    for (const Action &Next : Core->takeActions())
      Lines << "  -> " << describe(Next) << '\n';
  }

  void advance(Duration Span) {
    const Instant Until = Now + Span;
    while (Now < Until) {
      Now += 5ms;
      Core->onTick(Now);
      auto Taken = Core->takeActions();
      if (Taken.empty())
        continue;
      event("tick");
      for (const Action &Next : Taken)
        Lines << "  -> " << describe(Next) << '\n';
    }
  }

  void configure(std::uint64_t Number, Configuration Content) {
    event(fmt::format("configuration generation={}", Number));
    VersionedConfiguration Next{Generation(Number), "digest", "bytes",
                                std::move(Content)};
    Core->onConfiguration(
        Now, std::make_shared<const VersionedConfiguration>(std::move(Next)));
    actions();
  }

  void request(std::uint64_t Id, const std::string &Method,
               const std::string &Target, const std::string &Key = "",
               const std::string &Token = "") {
    event(fmt::format("request id={} {} {} key={}", Id, Method, Target, Key));
    CallerRequest Request;
    Request.Method = Method;
    Request.Target = Target;
    if (!Key.empty())
      Request.Key = Key;
    if (!Token.empty())
      Request.Token = Token;
    Core->onCallerRequest(
        Now, RequestId(Id),
        std::make_shared<const CallerRequest>(std::move(Request)));
    actions();
  }

  void result(std::uint64_t Call, CallEnd End, Answer Reply = {}) {
    event(fmt::format("call_result call={} end={} status={}", Call,
                      static_cast<int>(End), Reply.Status));
    Core->onCallResult(Now, CallId(Call),
                       {End, End == CallEnd::Answered
                                 ? std::make_shared<const Answer>(Reply)
                                 : nullptr});
    actions();
  }

  std::string ask() {
    event("entries");
    std::string Token;
    for (const EntryHost &Host : Core->entries(Now).Hosts) {
      Lines << fmt::format("  -> entry host={} address={} share={} token={}\n",
                           Host.Host.value(), Host.Address, Host.Share,
                           Host.Token);
      Token = Host.Token;
    }
    return Token;
  }

  void compare(const std::string &Name) {
    const std::string Path = std::string(GOLDEN_DIR) + "/" + Name;
    if (std::getenv("UPDATE_GOLDEN") != nullptr)
      std::ofstream(Path) << Lines.str();
    std::ifstream File(Path);
    std::ostringstream Expected;
    Expected << File.rdbuf();
    EXPECT_EQ(Lines.str(), Expected.str());
  }

  Instant Now;
  std::unique_ptr<Node> Core;
  std::ostringstream Lines;
};

TEST_F(SessionGoldenTest, session_wholeLife_matchesGoldenFile) {
  request(1, "GET", "/read/1");
  configure(1, makeTestConfiguration(2, 1));
  const std::string Token = ask();
  request(2, "GET", "/read/2");
  request(3, "POST", "/book/3", "key-3", Token);
  request(4, "POST", "/book/3", "key-3", Token);
  request(5, "GET", "/read/5");
  request(6, "POST", "/book/6");
  request(7, "GET", "/nowhere");
  advance(10ms);
  result(1, CallEnd::Answered, {200, {}, "two"});
  result(2, CallEnd::Answered, {200, {}, "three"});
  request(8, "POST", "/book/3", "key-3", Token);
  result(3, CallEnd::Answered, {200, {{"Backend-State", "draining"}}, "five"});
  request(9, "GET", "/read/9");
  result(4, CallEnd::Answered, {200, {}, "nine"});
  configure(2, makeTestConfiguration(3, 1));
  configure(1, makeTestConfiguration(1, 1));
  event("stop");
  Core->onStop(Now);
  actions();
  advance(6s);
  compare("whole_life.txt");
}

TEST_F(SessionGoldenTest, session_serverFailures_matchesGoldenFile) {
  configure(1, makeTestConfiguration(3, 1));
  const std::string Token = ask();
  request(1, "GET", "/read/1");
  result(1, CallEnd::Broken);
  result(2, CallEnd::Answered, {200, {}, "one"});
  request(2, "POST", "/book/2", "key-2", Token);
  result(3, CallEnd::NotSent);
  result(4, CallEnd::Broken);
  request(3, "POST", "/book/2", "key-2", Token);
  request(4, "POST", "/book/4", "key-4", Token);
  result(5, CallEnd::Answered, {503, {{"Backend-Outcome", "not-run"}}, ""});
  result(6, CallEnd::Answered, {200, {}, "four"});
  request(5, "GET", "/read/5");
  result(7, CallEnd::Answered, {500, {}, "error"});
  result(8, CallEnd::Answered, {500, {}, "error"});
  result(9, CallEnd::Answered, {500, {}, "error"});
  compare("server_failures.txt");
}

} // namespace
} // namespace mimosacart
