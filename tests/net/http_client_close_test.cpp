/// \file
/// How a client ends the connections of its calls.
#include "net/http_client.h"

#include "net/asio.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// A server that accepts one connection and writes \p Answer at once to it.
class HttpClientCloseTest : public testing::Test {
protected:
  std::shared_ptr<HttpCallHandle> startCall(const std::string &Answer,
                                            Duration Timeout,
                                            Duration MaxIdle = {}) {
    Accepted.emplace(Context);
    Acceptor.async_accept(
        *Accepted, [this, Answer](boost::system::error_code Error) {
          boost::system::error_code Ignored;
          if (!Error && !Answer.empty())
            asio::write(*Accepted, asio::buffer(Answer), Ignored);
        });
    HttpCall Call;
    Call.Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    Call.Request = {"GET", "/", {}, "", ""};
    Call.Timeout = Timeout;
    Call.MaxIdle = MaxIdle;
    auto Handle = Http.call(std::move(Call), [this](HttpResult Value) {
      Result.emplace(std::move(Value));
    });
    Context.restart();
    Context.run_for(100ms);
    return Handle;
  }

  /// How the client ended its connection \p Socket.
  static boost::system::error_code endOf(tcp::socket &Socket) {
    char Byte = 0;
    boost::system::error_code Error;
    Socket.non_blocking(false);
    while (!Error)
      Socket.read_some(asio::buffer(&Byte, 1), Error);
    return Error;
  }

  asio::io_context Context;
  tcp::acceptor Acceptor{Context, {asio::ip::address_v4::loopback(), 0}};
  HttpClient Http{Context, 1000};
  std::optional<tcp::socket> Accepted;
  std::optional<HttpResult> Result;
};

// Bytes that the system had taken arrived when a cut link was back, long after
// the call had been given up.
TEST_F(HttpClientCloseTest, connection_ofTimedOutCall_isReset) {
  startCall("", 50ms);
  ASSERT_TRUE(Result && Result->has_error());
  EXPECT_EQ(endOf(*Accepted), asio::error::connection_reset);
}

TEST_F(HttpClientCloseTest, connection_ofCancelledCall_isReset) {
  startCall("", 5s)->cancel();
  EXPECT_EQ(endOf(*Accepted), asio::error::connection_reset);
}

TEST_F(HttpClientCloseTest, connection_ofAnsweredCall_isClosedInOrder) {
  startCall("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
            "ok",
            500ms);
  ASSERT_TRUE(Result && Result->has_value());
  EXPECT_EQ(endOf(*Accepted), asio::error::eof);
}

TEST_F(HttpClientCloseTest, connection_idleTooLong_isClosedInOrder) {
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  startCall(Answer, 500ms, 20ms);
  ASSERT_TRUE(Result && Result->has_value());
  std::this_thread::sleep_for(40ms);
  tcp::socket First = std::move(*Accepted);
  startCall(Answer, 500ms, 20ms);
  EXPECT_EQ(endOf(First), asio::error::eof);
}

} // namespace
} // namespace mimosacart
