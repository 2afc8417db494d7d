#include "platform/store_client.h"

#include "net/asio.h"
#include "net/http_server.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// A store that answers whatever the test wants.
class StoreClientTest : public testing::Test {
protected:
  /// Tests run side by side: takes the first port that nobody listens on.
  std::string listenOnFreePort() {
    unsigned Port = 23100;
    std::string Free = "127.0.0.1:" + std::to_string(Port);
    while (Server.listen(Free).has_error())
      Free = "127.0.0.1:" + std::to_string(++Port);
    return Free;
  }

  StoreResult<StoreRows> changes(HttpResponse Response) {
    Next = std::move(Response);
    StoreResult<StoreRows> Got = StoreError::Unavailable;
    Store.awaitChanges("t", 5, 1s, [&](StoreResult<StoreRows> Result) {
      Got = std::move(Result);
      Context.stop();
    });
    Context.restart();
    Context.run_for(5s);
    return Got;
  }

  asio::io_context Context;
  HttpResponse Next;
  HttpRequest Asked;
  HttpServer Server{Context,
                    {},
                    [this](HttpRequest Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
                      Asked = std::move(Request);
                      Exchange->respond(Next);
                    },
                    [](NetError) {
                      return HttpResponse{400, {}, ""};
                    }};
  HttpClient Http{Context, 1U << 20U};
  // Listens first: the client keeps the address it is built with.
  StoreClient Store{Http, listenOnFreePort(), 1s};
};

TEST_F(StoreClientTest, awaitChanges_rowsAndRemovals_areRead) {
  const auto Got = changes(
      {200,
       {},
       R"({"rows":[{"table":"t","part":"","key":"a","value":"aGk=","ver":6},
           {"table":"t","part":"","key":"b","ver":7,"tombstone":true}],
           "ver":9,"now":"1ms"})"});
  ASSERT_TRUE(Got.has_value());
  EXPECT_EQ(Got.value().Version, 9U);
  EXPECT_EQ(Got.value().Rows,
            (std::vector<TableRow>{{"a", 6, false, "hi"}, {"b", 7, true, ""}}));
  EXPECT_EQ(Asked.Target, "/v1/rows-feed?table=t&after=5&waitMs=1000");
}

TEST_F(StoreClientTest, awaitChanges_failures_areTold) {
  EXPECT_EQ(changes({410, {}, ""}).error(), StoreError::HistoryGone);
  EXPECT_EQ(changes({503, {}, ""}).error(), StoreError::Refused);
  EXPECT_EQ(changes({429, {}, ""}).error(), StoreError::Refused);
  EXPECT_EQ(changes({200, {}, "nonsense"}).error(), StoreError::Malformed);
  EXPECT_EQ(changes({200, {}, R"({"rows":[{"key":"a","value":"?","ver":1}],
                                  "ver":1})"})
                .error(),
            StoreError::Malformed);
}

TEST_F(StoreClientTest, writeRow_value_isSentAsOneTransaction) {
  Next = {200, {}, R"({"ver":3,"now":"1ms"})"};
  StoreResult<void> Got = StoreError::Unavailable;
  Store.writeRow("t", "k", "hi", [&](const StoreResult<void> &Result) {
    Got = Result;
    Context.stop();
  });
  Context.run_for(5s);
  EXPECT_TRUE(Got.has_value());
  EXPECT_EQ(Asked.Target, "/v1/rows-tx");
  EXPECT_NE(Asked.Body.find(R"("value":"aGk=")"), std::string::npos);
}

} // namespace
} // namespace mimosacart
