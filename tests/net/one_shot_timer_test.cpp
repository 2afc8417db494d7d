/// \file
/// Handlers of timers that are already queued when the timer is cancelled or
/// started again.
#include "net/one_shot_timer.h"

#include "net/asio.h"
#include "net/http_server.h"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <thread>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Expired timers are handled in the order of their expiry, and their handlers
/// are queued together: that of Timer is queued while that of Earlier runs.
class OneShotTimerTest : public testing::Test {
protected:
  void runWithEarlier(const std::function<void()> &Action) {
    asio::steady_timer Earlier(Context, 1ms);
    Earlier.async_wait([&](boost::system::error_code) { Action(); });
    Timer->start(2ms, [this] { ++FirstCalls; });
    std::this_thread::sleep_for(5ms);
    Context.run();
  }

  asio::io_context Context;
  std::unique_ptr<OneShotTimer> Timer = std::make_unique<OneShotTimer>(Context);
  unsigned FirstCalls = 0;
  unsigned SecondCalls = 0;
};

TEST_F(OneShotTimerTest, start_expires_callsHookOnce) {
  runWithEarlier([] {});
  EXPECT_EQ(FirstCalls, 1U);
}

TEST_F(OneShotTimerTest, cancel_handlerIsQueued_callsNoHook) {
  runWithEarlier([this] { Timer->cancel(); });
  EXPECT_EQ(FirstCalls, 0U);
}

TEST_F(OneShotTimerTest, start_handlerIsQueued_callsLaterHookOnly) {
  runWithEarlier([this] { Timer->start(1ms, [this] { ++SecondCalls; }); });
  EXPECT_EQ(FirstCalls, 0U);
  EXPECT_EQ(SecondCalls, 1U);
}

TEST_F(OneShotTimerTest, destructor_handlerIsQueued_callsNoHook) {
  runWithEarlier([this] { Timer.reset(); });
  EXPECT_EQ(FirstCalls, 0U);
}

TEST_F(OneShotTimerTest, start_insideHook_callsBoth) {
  Timer->start(1ms, [this] {
    ++FirstCalls;
    Timer->start(1ms, [this] { ++SecondCalls; });
  });
  Context.run();
  EXPECT_EQ(FirstCalls, 1U);
  EXPECT_EQ(SecondCalls, 1U);
}

constexpr auto ReadTimeout = 400ms;

/// A server and its client on one thread. The last byte of a request arrives
/// while nothing runs, and then the read timer expires: both are noticed at
/// once.
class HttpServerReadTimerTest : public testing::Test {
protected:
  HttpServerReadTimerTest() {
    HttpServerLimits Limits;
    Limits.ReadTimeout = ReadTimeout;
    Server = std::make_unique<HttpServer>(
        Context, Limits,
        [this](const HttpRequest & /*Request*/,
               const std::shared_ptr<HttpExchange> &Exchange) {
          onRequest(Exchange);
        },
        [](NetError) {
          return HttpResponse{408, {}, ""};
        });
    std::string Address;
    for (unsigned Port = 9'000; Port < 9'900; ++Port) {
      Address = fmt::format("127.0.0.1:{}", Port);
      if (Server->listen(Address).has_value())
        break;
    }
    Client.connect(*parseEndpoint(Address));
    send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n");
    Context.run_for(ReadTimeout / 8);
    send("a");
    std::this_thread::sleep_for(ReadTimeout);
  }

  void send(const std::string &Text) {
    asio::write(Client, asio::buffer(Text));
  }

  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
    ++Requests;
    Exchange->onGone([this] { CallerIsGone = true; });
    Open = Exchange;
  }

  asio::io_context Context;
  std::unique_ptr<HttpServer> Server;
  asio::io_context ClientContext;
  tcp::socket Client{ClientContext};
  std::shared_ptr<HttpExchange> Open;
  bool CallerIsGone = false;
  unsigned Requests = 0;
};

// Guards against a caller whose leaving is never noticed, since the timer that
// had limited reading the request ended the watch for it.
TEST_F(HttpServerReadTimerTest, requestComplete_timerExpired_leavingIsNoticed) {
  Context.run_for(ReadTimeout / 8);
  EXPECT_EQ(Requests, 1U);
  EXPECT_FALSE(CallerIsGone);
  Client.close();
  Context.run_for(ReadTimeout / 8);
  EXPECT_TRUE(CallerIsGone);
}

} // namespace
} // namespace mimosacart
