/// \file
/// Messages on which the HTTP library throws: only their own exchange ends, and
/// its reason is reported.
#include "net/asio.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <limits>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Longer than the longest field that the library can store.
constexpr std::size_t LongFieldBytes = 70'000;

std::string makeChunked(const std::string &Head, const std::string &Trailer) {
  return Head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + Trailer +
         "\r\n\r\n";
}

/// A server with a neighbour's request in progress while invalid requests
/// arrive. Runs in the thread of the test.
class InvalidRequestTest : public testing::Test {
protected:
  InvalidRequestTest() : Neighbour(Context) {}

  void start(const HttpServerLimits &Limits) {
    Server = std::make_unique<HttpServer>(
        Context, Limits,
        [this](const HttpRequest &Request,
               const std::shared_ptr<HttpExchange> &Exchange) {
          if (Request.Target == "/held")
            Held = Exchange;
          else
            Exchange->respond(Reply);
        },
        [](NetError) {
          return HttpResponse{400, {}, ""};
        },
        [this](const std::string &, const MessageError &Error) {
          Reasons.push_back(Error.Reason);
        });
    for (unsigned Port = 9'300; Port < 9'400; ++Port) {
      Address = "127.0.0.1:" + std::to_string(Port);
      if (Server->listen(Address).has_value())
        break;
    }
    Neighbour.connect(*parseEndpoint(Address));
    asio::write(Neighbour, asio::buffer(std::string_view(
                               "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")));
    Context.run_for(50ms);
  }

  /// Sends \p Text on a connection of its own; returns what comes back until
  /// the server closes it, or "open" if it does not.
  std::string exchange(const std::string &Text) {
    tcp::socket Socket(Context);
    Socket.connect(*parseEndpoint(Address));
    boost::system::error_code Error;
    asio::write(Socket, asio::buffer(Text), Error);
    Context.restart();
    Context.run_for(200ms);
    Socket.non_blocking(true);
    std::string Answer;
    asio::read(Socket, asio::dynamic_buffer(Answer), Error);
    return Error == asio::error::would_block ? "open" : Answer;
  }

  void expectRefused(const std::string &Text) {
    EXPECT_EQ(exchange(Text).substr(0, 12), "HTTP/1.1 400")
        << Text.substr(0, 80);
    EXPECT_EQ(Reasons.size(), 1U);
    EXPECT_TRUE(isNeighbourServed());
  }

  bool isNeighbourServed() {
    Held->respond({200, {}, "served"});
    Context.restart();
    Context.run_for(50ms);
    std::string Answer;
    boost::system::error_code Error;
    Neighbour.non_blocking(true);
    asio::read(Neighbour, asio::dynamic_buffer(Answer), Error);
    return Answer.find("served") != std::string::npos;
  }

  asio::io_context Context;
  std::unique_ptr<HttpServer> Server;
  tcp::socket Neighbour;
  std::shared_ptr<HttpExchange> Held;
  HttpResponse Reply{200, {{"Connection", "close"}}, "ok"};
  std::vector<std::string> Reasons;
  std::string Address;
};

// Guards against a process that ends with all its requests because one caller
// sends a long trailer field.
TEST_F(InvalidRequestTest, request_longTrailerField_onlyItIsRefused) {
  start({});
  expectRefused(makeChunked("POST / HTTP/1.1\r\nHost: a\r\n",
                            "A: " + std::string(LongFieldBytes, 'a')));
}

TEST_F(InvalidRequestTest,
       request_longTrailerFieldWithinLimit_onlyItIsRefused) {
  HttpServerLimits Limits;
  Limits.HeaderBytes = 4 * LongFieldBytes;
  start(Limits);
  expectRefused(makeChunked("POST / HTTP/1.1\r\nHost: a\r\n",
                            "A: " + std::string(LongFieldBytes, 'a')));
}

TEST_F(InvalidRequestTest, request_longHeaderFieldWithinLimit_onlyItIsRefused) {
  HttpServerLimits Limits;
  Limits.HeaderBytes = 4 * LongFieldBytes;
  start(Limits);
  expectRefused("GET / HTTP/1.1\r\nHost: a\r\nA: " +
                std::string(LongFieldBytes, 'a') + "\r\n\r\n");
}

TEST_F(InvalidRequestTest, request_traceWithBody_onlyItIsRefused) {
  start({});
  expectRefused("TRACE / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
}

// The operator may configure any limits.
TEST_F(InvalidRequestTest, request_hugeLengthWithinLimit_onlyItIsRefused) {
  HttpServerLimits Limits;
  Limits.BodyBytes = std::numeric_limits<std::size_t>::max();
  start(Limits);
  expectRefused("POST / HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 9223372036854775800\r\n\r\nok");
}

TEST_F(InvalidRequestTest, request_headerLimitHuge_isServed) {
  HttpServerLimits Limits;
  Limits.HeaderBytes = std::numeric_limits<std::size_t>::max();
  start(Limits);
  EXPECT_EQ(exchange("GET / HTTP/1.1\r\nHost: a\r\n"
                     "Connection: close\r\n\r\n")
                .substr(0, 12),
            "HTTP/1.1 200");
}

// Responses may carry what another process has written.
TEST_F(InvalidRequestTest, response_invalid_onlyItsExchangeFails) {
  start({});
  for (const HttpResponse &Invalid :
       {HttpResponse{204, {}, "a body"}, HttpResponse{5000, {}, ""},
        HttpResponse{200, {{"A", std::string(LongFieldBytes, 'a')}}, ""}}) {
    Reply = Invalid;
    Reasons.clear();
    EXPECT_EQ(exchange("GET / HTTP/1.1\r\nHost: a\r\n"
                       "Connection: close\r\n\r\n")
                  .substr(0, 12),
              "HTTP/1.1 502");
    EXPECT_EQ(Reasons.size(), 1U);
  }
  EXPECT_TRUE(isNeighbourServed());
}

// RFC 9110, section 6.5.1: a trailer field must not count as a header field.
TEST_F(InvalidRequestTest, request_trailerFields_areDropped) {
  HttpRequest Received;
  HttpServer Recorder(
      Context, {},
      [&Received](HttpRequest Request,
                  const std::shared_ptr<HttpExchange> &Exchange) {
        Received = std::move(Request);
        Exchange->respond({200, {}, ""});
      },
      [](NetError) {
        return HttpResponse{400, {}, ""};
      });
  for (unsigned Port = 9'400; Port < 9'500; ++Port) {
    Address = "127.0.0.1:" + std::to_string(Port);
    if (Recorder.listen(Address).has_value())
      break;
  }
  exchange(makeChunked("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n",
                       "X-Request-Id: other"));
  EXPECT_EQ(Received.Body, "ok");
  EXPECT_EQ(findField(Received.Headers, "X-Request-Id"), nullptr);
}

/// Values of Transfer-Encoding, after which the length of a message cannot be
/// known or its body cannot be passed on as it is.
class TransferEncodingTest : public InvalidRequestTest,
                             public testing::WithParamInterface<const char *> {
};

// Guards against a request that is smuggled in the body of another (RFC 9112,
// section 6.3).
TEST_P(TransferEncodingTest, request_unsupportedCoding_isRefusedAndClosed) {
  start({});
  const std::string Inner = "POST /inner HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const std::string Length : {"", "Content-Length: 40\r\n"}) {
    Reasons.clear();
    const std::string Answers =
        exchange(fmt::format("POST / HTTP/1.1\r\nHost: a\r\n{}"
                             "Transfer-Encoding: {}\r\n\r\n{}",
                             Length, GetParam(), Inner));
    EXPECT_EQ(Answers.substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(Answers.find("HTTP/1.1", 1), std::string::npos);
    EXPECT_EQ(Reasons.size(), 1U);
  }
  EXPECT_TRUE(isNeighbourServed());
}

INSTANTIATE_TEST_SUITE_P(
    Codings, TransferEncodingTest,
    testing::Values("identity", "xchunked", "gzip", "chunked, gzip",
                    "gzip, chunked", "chunked;q=1", "\"chunked\"", "",
                    "identity\r\nTransfer-Encoding: chunked",
                    "chunked\r\nTransfer-Encoding: identity"));

TEST_F(InvalidRequestTest, request_chunkedInHttp10_isRefused) {
  start({});
  expectRefused("POST / HTTP/1.0\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
}

TEST_F(InvalidRequestTest, request_chunkedInAnyCase_isServed) {
  start({});
  EXPECT_EQ(exchange("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                     "transfer-encoding:  Chunked \r\n\r\n0\r\n\r\n")
                .substr(0, 12),
            "HTTP/1.1 200");
}

/// A client that calls a server with a set response, and a neighbour's call in
/// progress at another server.
class InvalidResponseTest : public testing::Test {
protected:
  InvalidResponseTest()
      : Http(Context, 1U << 20U, nullptr,
             [this](const std::string &, const MessageError &Error) {
               Reasons.push_back(Error.Reason);
             }) {}

  /// Starts a call of a server that writes \p Response when it has accepted.
  void call(HttpRequest Request, const std::string &Response,
            std::optional<HttpResult> &Result) {
    Acceptors.push_back(std::make_unique<tcp::acceptor>(
        Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
    tcp::acceptor &Acceptor = *Acceptors.back();
    Acceptor.async_accept(
        [this, Response](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          Sockets.push_back(std::move(Socket));
          boost::system::error_code Ignored;
          asio::write(Sockets.back(), asio::buffer(Response), Ignored);
        });
    HttpCall Call;
    Call.Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    Call.Request = std::move(Request);
    Call.Timeout = 1s;
    Http.call(std::move(Call),
              [&Result](HttpResult Value) { Result = std::move(Value); });
  }

  void expectBroken(const HttpRequest &Request, const std::string &Response) {
    const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::optional<HttpResult> Neighbour;
    std::optional<HttpResult> Result;
    call({"GET", "/", {}, "", ""}, Whole.substr(0, Whole.size() - 1),
         Neighbour);
    call(Request, Response, Result);
    Context.run_for(200ms);
    ASSERT_TRUE(Result.has_value());
    ASSERT_TRUE(Result->has_error());
    EXPECT_EQ(Result->error(), NetError::Broken);
    EXPECT_EQ(Reasons.size(), 1U);
    asio::write(Sockets.front(), asio::buffer(std::string_view("k")));
    Context.restart();
    Context.run_for(50ms);
    ASSERT_TRUE(Neighbour.has_value());
    EXPECT_TRUE(Neighbour->has_value());
  }

  asio::io_context Context;
  std::vector<std::string> Reasons;
  HttpClient Http;
  std::vector<std::unique_ptr<tcp::acceptor>> Acceptors;
  std::vector<tcp::socket> Sockets;
};

// Guards against a process that ends with all its requests because one server
// sends a long trailer field.
TEST_F(InvalidResponseTest, response_longTrailerField_onlyItsCallIsBroken) {
  expectBroken({"GET", "/", {}, "", ""},
               makeChunked("HTTP/1.1 200 OK\r\n",
                           "A: " + std::string(LongFieldBytes, 'a')));
}

TEST_F(InvalidResponseTest, response_longHeaderField_onlyItsCallIsBroken) {
  expectBroken({"GET", "/", {}, "", ""},
               "HTTP/1.1 200 OK\r\nA: " + std::string(LongFieldBytes, 'a') +
                   "\r\n\r\n");
}

// The body would be passed on without its coding.
TEST_F(InvalidResponseTest, response_unsupportedCoding_onlyItsCallIsBroken) {
  expectBroken(
      {"GET", "/", {}, "", ""},
      makeChunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n", "A: b"));
}

TEST_F(InvalidResponseTest, request_cannotBeWritten_onlyItsCallIsBroken) {
  expectBroken({"TRACE", "/", {}, "a body", ""}, "");
}

TEST_F(InvalidResponseTest, request_longField_onlyItsCallIsBroken) {
  expectBroken({"GET", "/", {{"A", std::string(LongFieldBytes, 'a')}}, "", ""},
               "");
}

} // namespace
} // namespace mimosacart
