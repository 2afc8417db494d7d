/// \file
/// Answers of hosts and of the platform that have another form than expected:
/// a verb reports them and goes on.
#include "ctl/verbs.h"

#include "net/asio.h"
#include "net/http_server.h"

#include <gtest/gtest.h>

#include <thread>

namespace mimosacart {
namespace {

/// A platform and one host that answer every request with the same text. They
/// run in their own thread.
class VerbsTest : public testing::Test {
protected:
  VerbsTest()
      : Server(
            Context, {},
            [this](const HttpRequest &,
                   const std::shared_ptr<HttpExchange> &Exchange) {
              Exchange->respond({200, {{"ETag", "1"}}, Text});
            },
            [](NetError) {
              return HttpResponse{400, {}, ""};
            }) {
    for (unsigned Port = 9'500; Port < 9'600; ++Port) {
      Settings.PlatformAddress = "127.0.0.1:" + std::to_string(Port);
      if (Server.listen(Settings.PlatformAddress).has_value())
        break;
    }
    Settings.AdminAddresses = {Settings.PlatformAddress};
  }

  ~VerbsTest() override {
    Context.stop();
    Worker.join();
  }

  /// Must be called before a verb; \p Answer is the text of every answer.
  void answerWith(std::string Answer) {
    Text = std::move(Answer);
    Worker = std::thread([this] { Context.run(); });
  }

  asio::io_context Context;
  std::string Text;
  HttpServer Server;
  OperatorSettings Settings;
  std::thread Worker;
};

TEST_F(VerbsTest, status_fieldOfOtherType_hostCountsAsUnreachable) {
  answerWith(R"({"host": "a", "open_requests": "many"})");
  OperatorClient Client(Settings);
  EXPECT_EQ(runStatus(Client, {}), ExitStatus::Unreachable);
}

TEST_F(VerbsTest, status_answerIsNoObject_hostCountsAsUnreachable) {
  answerWith("[1]");
  OperatorClient Client(Settings);
  EXPECT_EQ(runStatus(Client, {}), ExitStatus::Unreachable);
}

TEST_F(VerbsTest, status_textNotUtf8_isPrinted) {
  answerWith("{\"host\": \"\xff\"}");
  OperatorClient Client(Settings);
  EXPECT_EQ(runStatus(Client, {OutputFormat::Json, {}, {}}),
            ExitStatus::Unreachable);
}

// Copying or printing such a value would take more stack than there is.
TEST_F(VerbsTest, status_deeplyNestedAnswer_isPrinted) {
  constexpr std::size_t Depth = 1'000'000;
  answerWith("{\"a\": " + std::string(Depth, '[') + std::string(Depth, ']') +
             "}");
  OperatorClient Client(Settings);
  EXPECT_EQ(runStatus(Client, {OutputFormat::Json, {}, {}}), ExitStatus::Done);
}

TEST_F(VerbsTest, explain_fieldOfOtherType_hostIsLeftOut) {
  answerWith(R"({"host": "a", "spans": [{"name": "x", "fields": {"y": 1}}]})");
  OperatorClient Client(Settings);
  EXPECT_EQ(runExplain(Client, "t", {}), ExitStatus::Unreachable);
}

TEST_F(VerbsTest, history_timeOutOfRange_isPrinted) {
  answerWith(R"({"current": {"generation": 1, "digest": "d",
    "submission": "s", "submitted_by": "o",
    "submitted_at": 9223372036854775807}, "earlier": []})");
  OperatorClient Client(Settings);
  EXPECT_EQ(runHistory(Client, {}), ExitStatus::Done);
}

} // namespace
} // namespace mimosacart
