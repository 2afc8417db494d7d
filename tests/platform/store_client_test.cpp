#include "platform/store_client.h"

#include "net/asio.h"
#include "net/http_server.h"
#include "tests/standins/scripted_server.h"

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <map>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// A client of a store whose responses the test sets.
class StoreClientTest : public testing::Test {
protected:
  /// Takes the first free port, since several test processes may run at once.
  std::string listenOnFreePort() {
    unsigned Port = 23100;
    std::string ServerAddress = "127.0.0.1:" + std::to_string(Port);
    while (Server.listen(ServerAddress).has_error())
      ServerAddress = "127.0.0.1:" + std::to_string(++Port);
    return ServerAddress;
  }

  StoreResult<StoreRows> awaitChanges(HttpResponse Response) {
    return awaitChanges(Store, std::move(Response));
  }
  StoreResult<StoreRows> awaitChanges(StoreClient &Client,
                                      HttpResponse Response) {
    NextResponse = std::move(Response);
    StoreResult<StoreRows> Received = StoreError::Unavailable;
    Client.awaitChanges("t", 5, 1s, [&](StoreResult<StoreRows> Result) {
      Received = std::move(Result);
      Context.stop();
    });
    Context.restart();
    Context.run_for(5s);
    return Received;
  }

  asio::io_context Context;
  HttpResponse NextResponse;
  HttpRequest LastRequest;
  HttpServer Server{Context,
                    {},
                    [this](HttpRequest Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
                      LastRequest = std::move(Request);
                      Exchange->respond(NextResponse);
                    },
                    [](NetError) {
                      return HttpResponse{400, {}, ""};
                    }};
  HttpClient Http{Context, 1U << 20U};
  // The server listens before the client is built, which needs its address.
  const std::string Address = listenOnFreePort();
  StoreClient Store{Http, Address, 1s};
};

TEST_F(StoreClientTest, awaitChanges_rowsAndRemovals_areRead) {
  const auto Received = awaitChanges(
      {200,
       {},
       R"({"rows":[{"table":"t","part":"","key":"a","value":"aGk=","ver":6},
           {"table":"t","part":"","key":"b","ver":7,"tombstone":true}],
           "ver":9,"now":"1ms"})"});
  ASSERT_TRUE(Received.has_value());
  EXPECT_EQ(Received.value().Version, 9U);
  EXPECT_EQ(Received.value().Rows,
            (std::vector<TableRow>{{"a", 6, false, "hi"}, {"b", 7, true, ""}}));
  EXPECT_EQ(LastRequest.Target, "/v1/rows-feed?table=t&after=5&waitMs=1000");
}

// Guards against one unreadable row that hides the others, so that a host stops
// following the table.
TEST_F(StoreClientTest, awaitChanges_unreadableValue_otherRowsAreRead) {
  for (const char *Value : {"\"====\"", "\"a\"", "7", "null", "\"aGk?\""}) {
    const auto Received = awaitChanges(
        {200,
         {},
         std::string(R"({"rows":[{"key":"a","ver":6,"value":)") + Value +
             R"(},{"key":"b","value":"aGk=","ver":7}],"ver":8})"});
    ASSERT_TRUE(Received.has_value()) << Value;
    ASSERT_EQ(Received.value().Rows.size(), 2U);
    EXPECT_EQ(Received.value().Rows[0].Value, "") << Value;
    EXPECT_EQ(Received.value().Rows[1].Value, "hi") << Value;
  }
}

TEST_F(StoreClientTest, awaitChanges_failures_areReported) {
  EXPECT_EQ(awaitChanges({410, {}, ""}).error(), StoreError::HistoryGone);
  EXPECT_EQ(awaitChanges({503, {}, ""}).error(), StoreError::Refused);
  EXPECT_EQ(awaitChanges({429, {}, ""}).error(), StoreError::Refused);
  EXPECT_EQ(awaitChanges({200, {}, "nonsense"}).error(), StoreError::Malformed);
  EXPECT_EQ(awaitChanges({200, {}, R"({"rows":[{"value":"aGk=","ver":1}],
                                  "ver":1})"})
                .error(),
            StoreError::Malformed);
}

TEST_F(StoreClientTest, writeRow_value_isSentAsOneTransaction) {
  NextResponse = {200, {}, R"({"ver":3,"now":"1ms"})"};
  StoreResult<void> Received = StoreError::Unavailable;
  Store.writeRow("t", "k", "hi", [&](const StoreResult<void> &Result) {
    Received = Result;
    Context.stop();
  });
  Context.run_for(5s);
  EXPECT_TRUE(Received.has_value());
  EXPECT_EQ(LastRequest.Target, "/v1/rows-tx");
  EXPECT_NE(LastRequest.Body.bytes().find(R"("value":"aGk=")"),
            std::string::npos);
}

TEST_F(StoreClientTest, awaitChanges_laterEra_isEraChanged) {
  const auto Received = awaitChanges(
      {200, {{"Store-Era", "1"}}, R"({"rows":[],"ver":9,"now":"1ms"})"});
  ASSERT_TRUE(Received.has_error());
  EXPECT_EQ(Received.error(), StoreError::EraChanged);
}

TEST_F(StoreClientTest, awaitChanges_earlierEraThanAnotherAnswer_isOldEra) {
  (void)awaitChanges({503, {{"Store-Era", "3"}}, ""});
  const auto Received = awaitChanges(
      {200, {{"Store-Era", "2"}}, R"({"rows":[],"ver":9,"now":"1ms"})"});
  ASSERT_TRUE(Received.has_error());
  EXPECT_EQ(Received.error(), StoreError::OldEra);
}

// Guards against a log that tells of one connection of many only, or of each
// answer.
TEST_F(StoreClientTest, awaitChanges_unusableEras_areReportedOnceAConnection) {
  std::vector<EraFault> Faults;
  StoreClient Client(Http, Address, 1s,
                     {{}, [&Faults](EraFault Fault, const std::string &) {
                        Faults.push_back(Fault);
                      }});
  const auto SendAll = [&](std::uint64_t Era) {
    const std::string Body = R"({"rows":[],"ver":9})";
    const std::string Latest = std::to_string(Era);
    const std::string Earlier = std::to_string(Era - 1);
    (void)awaitChanges(Client, {200, {{"Store-Era", Latest}}, Body});
    for (unsigned Count = 0; Count < 3; ++Count) {
      (void)awaitChanges(Client, {200, {}, Body});
      (void)awaitChanges(Client, {200, {{"Store-Era", "x"}}, Body});
      (void)awaitChanges(Client, {200, {{"Store-Era", Earlier}}, Body});
    }
  };
  const std::vector<EraFault> EachOnce = {
      EraFault::Missing, EraFault::Unreadable, EraFault::Older};
  SendAll(3);
  SendAll(4);
  EXPECT_EQ(Faults, EachOnce);
  Faults.clear();
  // From now on each answer comes on a connection of its own.
  Server.drain();
  (void)awaitChanges(Client, {200, {}, "{}"});
  (void)awaitChanges(Client, {200, {}, "{}"});
  EXPECT_EQ(Faults,
            (std::vector<EraFault>{EraFault::Missing, EraFault::Missing}));
}

TEST_F(StoreClientTest, readRows_rowsAndVersion_areOfTheEra) {
  NextResponse = {200,
                  {{"Store-Era", "4"}},
                  R"({"rows":[{"key":"a","value":"aGk=","ver":6}],"ver":9})"};
  StoreResult<StoreRows> Received = StoreError::Unavailable;
  Store.readRows("t", "", [&](StoreResult<StoreRows> Result) {
    Received = std::move(Result);
    Context.stop();
  });
  Context.run_for(5s);
  ASSERT_TRUE(Received.has_value());
  EXPECT_EQ(Received.value().Version, StoreVersion(4, 9));
  EXPECT_EQ(Received.value().Rows.front().Version, StoreVersion(4, 6));
}

/// A store that writes its first answer on a connection again before the answer
/// to the second call there.
class StoreSurplusAnswerTest : public testing::Test {
protected:
  static std::string makeAnswer(const std::string &Key, unsigned Version) {
    const std::string Body =
        fmt::format(R"({{"rows":[{{"key":"{}","value":"aGk=","ver":{}}}],)"
                    R"("ver":{}}})",
                    Key, Version, Version);
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                       Body.size(), Body);
  }

  void onCall(std::size_t Connection, const std::string &Head) {
    const bool IsOfOther = Head.find("table=other") != std::string::npos;
    const std::string Answer = IsOfOther                  ? makeAnswer("o", 9)
                               : Head.starts_with("POST") ? makeAnswer("w", 7)
                                                          : makeAnswer("k", 6);
    if (RepeatsAnswers && Earlier.contains(Connection))
      Server.write(Connection, Earlier.at(Connection));
    Earlier.emplace(Connection, Answer);
    if (!IsSilent)
      Server.write(Connection, Answer);
  }

  StoreClient::RowsHook keepRows() {
    return [this](StoreResult<StoreRows> Result) { Rows = std::move(Result); };
  }
  void run() {
    Context.restart();
    Context.run_for(100ms);
  }
  void expectRow(const std::string &Key, unsigned Version) {
    ASSERT_TRUE(Rows.has_value());
    EXPECT_EQ(Rows.value().Version, Version);
    ASSERT_EQ(Rows.value().Rows.size(), 1U);
    EXPECT_EQ(Rows.value().Rows[0].Key, Key);
  }

  asio::io_context Context;
  std::map<std::size_t, std::string> Earlier;
  bool RepeatsAnswers = true;
  bool IsSilent = false;
  ScriptedServer Server{
      Context, [this](std::size_t Connection, const std::string &Head) {
        onCall(Connection, Head);
      }};
  HttpClient Http{Context, 1U << 20U};
  StoreClient Store{Http, Server.address(), 1s};
  StoreResult<StoreRows> Rows = StoreError::Unavailable;
};

// Guards against the changes of one table that are taken for those of another,
// whose own changes up to that version are then never asked for.
TEST_F(StoreSurplusAnswerTest, awaitChanges_answerOfOtherTable_isNotTaken) {
  Store.awaitChanges("other", 5, 1s, keepRows());
  run();
  expectRow("o", 9);
  Store.awaitChanges("t", 5, 1s, keepRows());
  run();
  expectRow("k", 6);
}

// Guards against changes that are taken for the whole table.
TEST_F(StoreSurplusAnswerTest, readRows_answerOfOtherCall_isNotTaken) {
  Store.awaitChanges("other", 5, 1s, keepRows());
  run();
  Store.readRows("t", "", keepRows());
  run();
  expectRow("k", 6);
  Store.readRows("other", "", keepRows());
  run();
  expectRow("o", 9);
}

// Guards against a write that counts as done since an earlier one was.
TEST_F(StoreSurplusAnswerTest, writeRow_answerOfEarlierWrite_isNotTaken) {
  StoreResult<void> Written = StoreError::Unavailable;
  const auto Keep = [&Written](StoreResult<void> Result) { Written = Result; };
  Store.writeRow("t", "a", "1", Keep);
  run();
  EXPECT_TRUE(Written.has_value());
  Written = StoreError::Unavailable;
  IsSilent = true;
  Store.writeRow("t", "b", "2", Keep);
  run();
  EXPECT_TRUE(Written.has_error());
}

TEST_F(StoreSurplusAnswerTest, awaitChanges_sameTable_usesOneConnection) {
  RepeatsAnswers = false;
  Store.readRows("t", "", keepRows());
  run();
  for (int Call = 0; Call < 3; ++Call) {
    Store.awaitChanges("t", 5, 1s, keepRows());
    run();
  }
  EXPECT_EQ(Server.connections(), 1U);
}

} // namespace
} // namespace mimosacart
