/// \file
/// Invalid and malicious requests over a real socket: each is refused with a
/// status, or only its own connection is closed.
#include "net/http_server.h"

#include "daemon/caller_protocol.h"
#include "net/asio.h"
#include "tests/support/loopback_addresses.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// A server that echoes request bodies and runs in its own thread.
class HttpServerTest : public testing::Test {
protected:
  HttpServerTest() {
    HttpServerLimits Limits;
    Limits.HeaderBytes = 2048;
    Limits.BodyBytes = 1000;
    Limits.ReadTimeout = 300ms;
    Limits.ConnectionsPerAddress = 20;
    Server = std::make_unique<HttpServer>(
        Context, Limits,
        [](const HttpRequest &Request,
           const std::shared_ptr<HttpExchange> &Exchange) {
          Exchange->respond({200, {}, "echo:" + Request.Body.bytes()});
        },
        toRefusal);
    for (unsigned Port = 9'000; Port < 9'900; ++Port) {
      Address = fmt::format("127.0.0.1:{}", Port);
      if (Server->listen(Address).has_value())
        break;
    }
    Worker = std::thread([this] {
      const auto Guard = asio::make_work_guard(Context);
      Context.run();
    });
  }

  ~HttpServerTest() override {
    Context.stop();
    Worker.join();
  }

  tcp::socket connect() {
    tcp::socket Socket(Client);
    Socket.connect(*parseEndpoint(Address));
    return Socket;
  }

  static std::string readAll(tcp::socket &Socket) {
    std::string Text;
    boost::system::error_code Error;
    asio::read(Socket, asio::dynamic_buffer(Text), Error);
    return Text;
  }

  /// Sends \p Text and returns everything up to the end of the connection.
  std::string exchange(const std::string &Text) {
    tcp::socket Socket = connect();
    boost::system::error_code Error;
    asio::write(Socket, asio::buffer(Text), Error);
    return readAll(Socket);
  }

  void expectStatus(const std::string &Text, unsigned Status) {
    const std::string Reply = exchange(Text);
    EXPECT_EQ(Reply.substr(0, 12), fmt::format("HTTP/1.1 {}", Status))
        << Text << '\n'
        << Reply;
  }

  asio::io_context Context;
  asio::io_context Client;
  std::unique_ptr<HttpServer> Server;
  std::string Address;
  std::thread Worker;
};

TEST_F(HttpServerTest, request_valid_isHandled) {
  expectStatus("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 200);
}

TEST_F(HttpServerTest, request_malformed_isRefusedAsNotRun) {
  const std::string Reply = exchange("NONSENSE\r\n\r\n");
  EXPECT_EQ(Reply.substr(0, 12), "HTTP/1.1 400");
  EXPECT_NE(Reply.find("Mimosacart-Outcome: not-run"), std::string::npos);
}

TEST_F(HttpServerTest, request_bothLengthHeaders_isRefused) {
  expectStatus("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
               400);
  expectStatus("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
               "Content-Length: 5\r\n\r\n0\r\n\r\n",
               400);
}

TEST_F(HttpServerTest, request_twoContentLengths_isRefused) {
  expectStatus("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
               "Content-Length: 6\r\n\r\nabcde",
               400);
}

TEST_F(HttpServerTest, request_bareLineFeeds_isRefused) {
  expectStatus("GET / HTTP/1.1\nHost: x\n\n", 400);
  expectStatus("GET / HTTP/1.1\r\nHost: x\nEvil: y\r\n\r\n", 400);
}

TEST_F(HttpServerTest, request_badChunking_isRefused) {
  expectStatus("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
               "\r\nZZ\r\nabc\r\n0\r\n\r\n",
               400);
}

TEST_F(HttpServerTest, request_twoHosts_isRefused) {
  expectStatus("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400);
}

TEST_F(HttpServerTest, request_headerTooLarge_isRefused431) {
  expectStatus("GET / HTTP/1.1\r\nHost: x\r\nLong: " + std::string(4000, 'a') +
                   "\r\n\r\n",
               431);
}

TEST_F(HttpServerTest, request_bodyTooLarge_isRefused413) {
  expectStatus("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n",
               413);
}

TEST_F(HttpServerTest, request_incomplete_isRefused408) {
  expectStatus("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab",
               408);
}

TEST_F(HttpServerTest, request_truncated_closesOnlyItsConnection) {
  tcp::socket Healthy = connect();
  {
    tcp::socket Broken = connect();
    asio::write(Broken, asio::buffer(std::string("POST / HTTP/1.1\r\nHo")));
  }
  asio::write(Healthy, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n"
                                                "Connection: close\r\n\r\n")));
  EXPECT_EQ(readAll(Healthy).substr(0, 12), "HTTP/1.1 200");
}

TEST_F(HttpServerTest, requests_pipelined_areAnsweredInOrder) {
  const std::string One =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1";
  const std::string Two = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                          "Connection: close\r\n\r\n2";
  const std::string Reply = exchange(One + Two);
  EXPECT_LT(Reply.find("echo:1"), Reply.find("echo:2"));
  EXPECT_NE(Reply.find("echo:2"), std::string::npos);
}

TEST_F(HttpServerTest, connections_tooManyFromOneAddress_areClosed) {
  std::vector<tcp::socket> Open;
  for (unsigned Index = 0; Index < 20; ++Index) {
    Open.push_back(connect());
    // Waits until the server has accepted the connection.
    asio::write(Open.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    char Byte = 0;
    asio::read(Open.back(), asio::buffer(&Byte, 1));
  }
  EXPECT_EQ(exchange("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), "");
}

TEST_F(HttpServerTest, drain_openConnection_isServedThenClosed) {
  tcp::socket Socket = connect();
  asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x")));
  std::this_thread::sleep_for(50ms);
  asio::post(Context, [this] { Server->drain(); });
  std::this_thread::sleep_for(50ms);
  asio::write(Socket, asio::buffer(std::string("\r\n\r\n")));
  const std::string Reply = readAll(Socket);
  EXPECT_EQ(Reply.substr(0, 12), "HTTP/1.1 200");
  EXPECT_NE(Reply.find("Connection: close"), std::string::npos);
  // New connections are still served: some callers do not know yet that the
  // host drains.
  expectStatus("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 200);
}

TEST_F(HttpServerTest, drain_idleConnection_isClosed) {
  tcp::socket Socket = connect();
  std::this_thread::sleep_for(50ms);
  asio::post(Context, [this] { Server->drain(); });
  EXPECT_EQ(readAll(Socket), "");
}

TEST_F(HttpServerTest, setLimits_laterRequests_areLimited) {
  HttpServerLimits Limits;
  Limits.BodyBytes = 2;
  asio::post(Context, [this, Limits] { Server->setLimits(Limits); });
  std::this_thread::sleep_for(50ms);
  expectStatus("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
               413);
}

// Guards against memory that grows for as long as a caller writes a line of a
// chunked body.
TEST_F(HttpServerTest, request_endlessChunkExtension_connectionIsClosed) {
  constexpr std::size_t MaxBytes = 32U << 20U;
  tcp::socket Socket = connect();
  boost::system::error_code Error;
  asio::write(Socket,
              asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n4;")),
              Error);
  const std::string Block(64U << 10U, 'x');
  std::size_t Written = 0;
  while (!Error && Written < MaxBytes)
    Written += asio::write(Socket, asio::buffer(Block), Error);
  EXPECT_LT(Written, MaxBytes);
}

/// A server in a process that has no file descriptors left while a client
/// connects. Runs in the thread of the test.
class HttpServerDescriptorTest : public testing::Test {
protected:
  HttpServerDescriptorTest()
      : Server(
            Context, {},
            [](const HttpRequest &,
               const std::shared_ptr<HttpExchange> &Exchange) {
              Exchange->respond({200, {}, "served"});
            },
            toRefusal),
        Caller(Context) {
    for (unsigned Port = 9'900; Port < 9'990; ++Port) {
      const std::string Address = fmt::format("127.0.0.1:{}", Port);
      if (!Server.listen(Address).has_value())
        continue;
      Caller.connect(*parseEndpoint(Address));
      break;
    }
    getrlimit(RLIMIT_NOFILE, &OldLimit);
    rlimit FewDescriptors = OldLimit;
    FewDescriptors.rlim_cur = 128;
    setrlimit(RLIMIT_NOFILE, &FewDescriptors);
    for (int Copy = dup(0); Copy >= 0; Copy = dup(0))
      Copies.push_back(Copy);
  }
  ~HttpServerDescriptorTest() override {
    freeDescriptors();
    setrlimit(RLIMIT_NOFILE, &OldLimit);
  }
  void freeDescriptors() {
    for (const int Copy : Copies)
      close(Copy);
    Copies.clear();
  }

  asio::io_context Context;
  HttpServer Server;
  tcp::socket Caller;
  rlimit OldLimit{};
  std::vector<int> Copies;
};

// Guards against a process that does nothing but fail to accept, so that open
// connections starve.
TEST_F(HttpServerDescriptorTest, accept_noDescriptorsLeft_isNotRepeatedAtOnce) {
  constexpr std::size_t FewHandlers = 50;
  EXPECT_LE(Context.run_for(300ms), FewHandlers);
}

TEST_F(HttpServerDescriptorTest, accept_descriptorsAreFreeAgain_servesCaller) {
  Context.run_for(100ms);
  freeDescriptors();
  asio::write(Caller, asio::buffer(std::string_view(
                          "GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  Context.run_for(500ms);
  boost::system::error_code Error;
  EXPECT_GT(Caller.available(Error), 0U);
}

/// A server that stops while it has not read a request that has arrived. Runs
/// in the thread of the test.
class HttpServerStopTest : public testing::Test {
protected:
  HttpServerStopTest()
      : Server(
            Context, {},
            [](const HttpRequest &,
               const std::shared_ptr<HttpExchange> &Exchange) {
              Exchange->respond({200, {}, "served"});
            },
            toRefusal),
        Caller(Context) {
    for (unsigned Port = 9'900; Port < 9'990; ++Port) {
      const std::string Address = fmt::format("127.0.0.1:{}", Port);
      if (!Server.listen(Address).has_value())
        continue;
      Caller.connect(*parseEndpoint(Address));
      break;
    }
  }

  void sendRequest() {
    asio::write(Caller, asio::buffer(std::string_view(
                            "GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  }
  /// Runs the server and returns what the caller got, up to the end of its
  /// connection.
  std::string runAndRead() {
    Context.restart();
    Context.run_for(700ms);
    std::string Text;
    boost::system::error_code Error;
    Caller.non_blocking(true);
    asio::read(Caller, asio::dynamic_buffer(Text), Error);
    IsClosed = Error == asio::error::eof;
    return Text;
  }

  asio::io_context Context;
  HttpServer Server;
  tcp::socket Caller;
  bool IsClosed = false;
};

// Guards against a planned stop that cuts requests that have just arrived.
TEST_F(HttpServerStopTest, stop_connectionNotAcceptedYet_requestIsAnswered) {
  sendRequest();
  Server.stop();
  EXPECT_NE(runAndRead().find("served"), std::string::npos);
  EXPECT_TRUE(IsClosed);
}

TEST_F(HttpServerStopTest, stop_requestNotReadYet_isAnswered) {
  Context.run_for(50ms);
  sendRequest();
  Server.stop();
  EXPECT_NE(runAndRead().find("served"), std::string::npos);
  EXPECT_TRUE(IsClosed);
}

TEST_F(HttpServerStopTest, drain_requestNotReadYet_isAnswered) {
  Context.run_for(50ms);
  sendRequest();
  Context.run_for(50ms);
  sendRequest();
  Server.drain();
  const std::string Answers = runAndRead();
  const std::size_t First = Answers.find("served");
  EXPECT_NE(Answers.find("served", First + 1), std::string::npos);
  EXPECT_TRUE(IsClosed);
}

// Guards against a session that passes its request to the handler of a server
// that is gone: the soak crashed in a stand-in that had ended.
TEST(HttpServerLifetimeTest, destructor_requestNotReadYet_callsNoHook) {
  asio::io_context Context;
  tcp::socket Caller(Context);
  unsigned Calls = 0;
  auto Server = std::make_unique<HttpServer>(
      Context, HttpServerLimits{},
      [&Calls](const HttpRequest &, const std::shared_ptr<HttpExchange> &) {
        ++Calls;
      },
      [&Calls](NetError) {
        ++Calls;
        return HttpResponse{400, {}, ""};
      });
  for (unsigned Port = 9'900; Port < 9'990; ++Port) {
    const std::string Address = "127.0.0.1:" + std::to_string(Port);
    if (!Server->listen(Address).has_value())
      continue;
    Caller.connect(*parseEndpoint(Address));
    break;
  }
  Context.run_for(50ms);
  asio::write(Caller, asio::buffer(std::string_view(
                          "GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  Server.reset();
  Context.restart();
  Context.run_for(100ms);
  EXPECT_EQ(Calls, 0U);
}

// Guards against a request that is sent to a server although its caller left
// while the event loop was busy: no event has told of it yet.
TEST(HttpServerLifetimeTest, isGone_eventNotHandledYet_followsTheSocket) {
  asio::io_context Context;
  std::shared_ptr<HttpExchange> Open;
  HttpServer Server(
      Context, HttpServerLimits{},
      [&Open](const HttpRequest &,
              const std::shared_ptr<HttpExchange> &Exchange) {
        Open = Exchange;
      },
      toRefusal);
  const std::string Address = newLoopbackAddress();
  ASSERT_TRUE(Server.listen(Address).has_value());
  for (const bool Resets : {false, true}) {
    tcp::socket Caller(Context);
    Caller.connect(*parseEndpoint(Address));
    asio::write(Caller, asio::buffer(std::string_view(
                            "GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    Context.restart();
    Context.run_for(50ms);
    ASSERT_TRUE(Open);
    EXPECT_FALSE(Open->isGone());
    Caller.set_option(asio::socket_base::linger(Resets, 0));
    Caller.close();
    // Time for the system to pass the end on; the event loop does not run.
    std::this_thread::sleep_for(20ms);
    EXPECT_TRUE(Open->isGone()) << Resets;
    Open.reset();
  }
}

// Guards against a caller that leaves after the server has ended: the hook for
// it may refer to what ended with the server.
TEST(HttpServerLifetimeTest, destructor_requestInProgress_callsNoHook) {
  asio::io_context Context;
  tcp::socket Caller(Context);
  std::shared_ptr<HttpExchange> Open;
  unsigned Departures = 0;
  auto Server = std::make_unique<HttpServer>(
      Context, HttpServerLimits{},
      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &Exchange) {
        Open = Exchange;
        Exchange->onGone([&Departures] { ++Departures; });
      },
      toRefusal);
  for (unsigned Port = 9'900; Port < 9'990; ++Port) {
    const std::string Address = "127.0.0.1:" + std::to_string(Port);
    if (!Server->listen(Address).has_value())
      continue;
    Caller.connect(*parseEndpoint(Address));
    break;
  }
  asio::write(Caller, asio::buffer(std::string_view(
                          "GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  Context.run_for(50ms);
  ASSERT_TRUE(Open);
  Server.reset();
  Caller.close();
  Context.restart();
  Context.run_for(50ms);
  EXPECT_EQ(Departures, 0U);
}

/// A planned stop after some handlers have run since the second request of a
/// connection arrived.
class HttpServerStopStepTest : public HttpServerStopTest,
                               public testing::WithParamInterface<unsigned> {
protected:
  void arriveAndRunSteps() {
    Context.run_for(50ms);
    sendRequest();
    Context.restart();
    Context.run_for(50ms);
    sendRequest();
    Context.restart();
    for (unsigned Step = 0; Step < GetParam(); ++Step)
      Context.poll_one();
  }
  void expectBothAnswered() {
    const std::string Answers = runAndRead();
    const std::size_t First = Answers.find("served");
    EXPECT_NE(Answers.find("served", First + 1), std::string::npos);
    EXPECT_TRUE(IsClosed);
  }
};

// Guards against a planned stop that closes a connection whose request has been
// read from the socket, but not handled yet, and is then run without an answer.
TEST_P(HttpServerStopStepTest, drain_requestArrived_isAnswered) {
  arriveAndRunSteps();
  Server.drain();
  expectBothAnswered();
}

TEST_P(HttpServerStopStepTest, stop_requestArrived_isAnswered) {
  arriveAndRunSteps();
  Server.stop();
  expectBothAnswered();
}

INSTANTIATE_TEST_SUITE_P(EveryStep, HttpServerStopStepTest,
                         testing::Range(0U, 6U));

TEST_F(HttpServerStopTest, stop_connectionIdle_isClosed) {
  Context.run_for(50ms);
  sendRequest();
  Context.run_for(50ms);
  Server.stop();
  EXPECT_NE(runAndRead().find("served"), std::string::npos);
  EXPECT_TRUE(IsClosed);
  EXPECT_EQ(Server.connections(), 0U);
}

TEST_F(HttpServerStopTest, stop_noRequestFollows_connectionIsClosedSoon) {
  Context.run_for(50ms);
  Server.stop();
  EXPECT_EQ(runAndRead(), "");
  EXPECT_TRUE(IsClosed);
  EXPECT_EQ(Server.connections(), 0U);
}

} // namespace
} // namespace mimosacart
