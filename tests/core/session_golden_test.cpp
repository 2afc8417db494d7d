/// \file
/// Compares the events and actions of whole sessions of a Node with golden
/// files.
///
/// `UPDATE_GOLDEN=1` rewrites the files; their changes are reviewed like code.
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

/// One Node whose events and actions are recorded as text.
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

  void recordEvent(const std::string &Text) {
    Transcript << fmt::format("@{}ms {}\n", toMilliseconds(Now - Instant(1h)),
                              Text);
  }

  void recordActions() {
    for (const Action &Returned : Core->takeActions())
      Transcript << "  -> " << describe(Returned) << '\n';
  }

  void advance(Duration Span) {
    const Instant Until = Now + Span;
    while (Now < Until) {
      Now += 5ms;
      Core->onTick(Now);
      auto Actions = Core->takeActions();
      if (Actions.empty())
        continue;
      recordEvent("tick");
      for (const Action &Returned : Actions)
        Transcript << "  -> " << describe(Returned) << '\n';
    }
  }

  void deliverConfiguration(std::uint64_t Number, Configuration Content) {
    recordEvent(fmt::format("configuration generation={}", Number));
    VersionedConfiguration Delivered{Generation(Number), "digest", "bytes",
                                     std::move(Content)};
    Core->onConfiguration(Now, std::make_shared<const VersionedConfiguration>(
                                   std::move(Delivered)));
    recordActions();
  }

  void sendRequest(std::uint64_t Id, const std::string &Method,
                   const std::string &Target, const std::string &Key = "",
                   const std::string &Token = "") {
    recordEvent(
        fmt::format("request id={} {} {} key={}", Id, Method, Target, Key));
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
    recordActions();
  }

  void finishCall(std::uint64_t Call, CallEnd End, Answer Reply = {}) {
    recordEvent(fmt::format("call_result call={} end={} status={}", Call,
                            static_cast<int>(End), Reply.Status));
    Core->onCallResult(Now, CallId(Call),
                       {End, End == CallEnd::Answered
                                 ? std::make_shared<const Answer>(Reply)
                                 : nullptr});
    recordActions();
  }

  std::string requestEntries() {
    recordEvent("entries");
    std::string Token;
    for (const EntryHost &Host : Core->entries(Now).Hosts) {
      Transcript << fmt::format(
          "  -> entry host={} address={} share={} token={}\n",
          Host.Host.value(), Host.Address, Host.Share, Host.Token);
      Token = Host.Token;
    }
    return Token;
  }

  void expectGoldenFile(const std::string &Name) {
    const std::string Path = std::string(GOLDEN_DIR) + "/" + Name;
    if (std::getenv("UPDATE_GOLDEN") != nullptr)
      std::ofstream(Path) << Transcript.str();
    std::ifstream File(Path);
    std::ostringstream Expected;
    Expected << File.rdbuf();
    EXPECT_EQ(Transcript.str(), Expected.str());
  }

  Instant Now;
  std::unique_ptr<Node> Core;
  std::ostringstream Transcript;
};

TEST_F(SessionGoldenTest, session_startToPlannedStop_matchesGoldenFile) {
  sendRequest(1, "GET", "/read/1");
  deliverConfiguration(1, makeTestConfiguration(2, 1));
  const std::string Token = requestEntries();
  sendRequest(2, "GET", "/read/2");
  sendRequest(3, "POST", "/book/3", "key-3", Token);
  sendRequest(4, "POST", "/book/3", "key-3", Token);
  sendRequest(5, "GET", "/read/5");
  sendRequest(6, "POST", "/book/6");
  sendRequest(7, "GET", "/nowhere");
  advance(10ms);
  finishCall(1, CallEnd::Answered, {200, {}, "two"});
  finishCall(2, CallEnd::Answered, {200, {}, "three"});
  sendRequest(8, "POST", "/book/3", "key-3", Token);
  finishCall(3, CallEnd::Answered,
             {200, {{"Backend-State", "draining"}}, "five"});
  sendRequest(9, "GET", "/read/9");
  finishCall(4, CallEnd::Answered, {200, {}, "nine"});
  deliverConfiguration(2, makeTestConfiguration(3, 1));
  deliverConfiguration(1, makeTestConfiguration(1, 1));
  recordEvent("stop");
  Core->onStop(Now);
  recordActions();
  advance(6s);
  expectGoldenFile("whole_life.txt");
}

TEST_F(SessionGoldenTest, session_serverFailures_matchesGoldenFile) {
  deliverConfiguration(1, makeTestConfiguration(3, 1));
  const std::string Token = requestEntries();
  sendRequest(1, "GET", "/read/1");
  finishCall(1, CallEnd::Broken);
  finishCall(2, CallEnd::Answered, {200, {}, "one"});
  sendRequest(2, "POST", "/book/2", "key-2", Token);
  finishCall(3, CallEnd::NotSent);
  finishCall(4, CallEnd::Broken);
  sendRequest(3, "POST", "/book/2", "key-2", Token);
  sendRequest(4, "POST", "/book/4", "key-4", Token);
  finishCall(5, CallEnd::Answered, {503, {{"Backend-Outcome", "not-run"}}, ""});
  finishCall(6, CallEnd::Answered, {200, {}, "four"});
  sendRequest(5, "GET", "/read/5");
  finishCall(7, CallEnd::Answered, {500, {}, "error"});
  finishCall(8, CallEnd::Answered, {500, {}, "error"});
  finishCall(9, CallEnd::Answered, {500, {}, "error"});
  expectGoldenFile("server_failures.txt");
}

} // namespace
} // namespace mimosacart
