/// \file
/// Peers that send without end, or keep what they got: a bound ends them, never
/// the exchange of a neighbour.
#include "net/asio.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/message_reader.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t BudgetBytes = 3U << 20U;
constexpr std::size_t LongBodyBytes = 1U << 20U;

/// A reader of requests that the test feeds.
class MessageReaderTest : public testing::Test {
protected:
  std::optional<MessageError> feed(const std::string &Text) {
    asio::buffer_copy(Buffer.prepare(Text.size()), asio::buffer(Text));
    return Reader.parse(Text.size());
  }

  std::shared_ptr<MemoryBudget> Budget =
      std::make_shared<MemoryBudget>(BudgetBytes);
  beast::flat_buffer Buffer;
  MessageReader<true> Reader{Buffer, {16U << 10U, 64U << 20U, Budget}};
};

// Guards against memory for a whole further body because bytes of the next
// request were read with the last ones of a long body.
TEST_F(MessageReaderTest, parse_bytesOfNextMessage_needNoMemory) {
  constexpr std::size_t PieceBytes = 1U << 10U;
  constexpr std::size_t BodyBytes = 1'500 * PieceBytes + 1;
  EXPECT_FALSE(feed("POST / HTTP/1.1\r\nContent-Length: " +
                    std::to_string(BodyBytes) + "\r\n\r\n"));
  for (unsigned Piece = 0; Piece < 1'500; ++Piece)
    ASSERT_FALSE(feed(std::string(PieceBytes, 'b')));
  EXPECT_FALSE(feed("bGET / HTTP/1.1\r\n"));
  EXPECT_TRUE(Reader.isDone());
  EXPECT_EQ(Buffer.size(), 16U);
}

/// A server whose requests share a budget. Runs in the thread of the test.
class RequestMemoryTest : public testing::Test {
protected:
  RequestMemoryTest() {
    HttpServerLimits Limits;
    Limits.BodyBytes = 64U << 20U;
    Server = std::make_unique<HttpServer>(
        Context, Limits,
        [this](HttpRequest Request,
               const std::shared_ptr<HttpExchange> &Exchange) {
          if (Request.Target == "/held")
            Held.push_back({std::move(Request), Exchange});
          else
            Exchange->respond({200, {}, Request.Body});
        },
        [](NetError Error) {
          const bool NoMemory = Error == NetError::NoMemory;
          return HttpResponse{NoMemory ? 503U : 413U, {}, ""};
        },
        InvalidMessageHook(), Budget);
    for (unsigned Port = 9'600; Port < 9'700; ++Port) {
      Address = "127.0.0.1:" + std::to_string(Port);
      if (Server->listen(Address).has_value())
        break;
    }
  }

  tcp::socket connect() {
    tcp::socket Socket(Context);
    Socket.connect(*parseEndpoint(Address));
    Socket.non_blocking(true);
    return Socket;
  }

  /// Sends \p Text, as far as the server reads it, while the server runs.
  void send(tcp::socket &Socket, const std::string &Text) {
    std::size_t Sent = 0;
    boost::system::error_code Error;
    for (unsigned Round = 0; Round < 500 && Sent < Text.size(); ++Round) {
      Sent += Socket.write_some(asio::buffer(Text) + Sent, Error);
      if (Error && Error != asio::error::would_block)
        return;
      run(2ms);
    }
    run(20ms);
  }

  static std::string readArrived(tcp::socket &Socket) {
    std::string Text;
    boost::system::error_code Error;
    asio::read(Socket, asio::dynamic_buffer(Text), Error);
    return Text;
  }

  void run(std::chrono::milliseconds Time) {
    Context.restart();
    Context.run_for(Time);
  }

  static std::string makePost(const std::string &Target, std::size_t Bytes) {
    return "POST " + Target +
           " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(Bytes) +
           "\r\n\r\n" + std::string(Bytes, 'b');
  }

  void expectNeighbourServed() {
    tcp::socket Neighbour = connect();
    send(Neighbour, makePost("/", 7'200));
    EXPECT_EQ(readArrived(Neighbour).substr(0, 12), "HTTP/1.1 200");
  }

  asio::io_context Context;
  std::shared_ptr<MemoryBudget> Budget =
      std::make_shared<MemoryBudget>(BudgetBytes);
  std::unique_ptr<HttpServer> Server;
  std::string Address;
  std::vector<std::pair<HttpRequest, std::shared_ptr<HttpExchange>>> Held;
};

// Guards against idle connections that keep the body of their last request.
TEST_F(RequestMemoryTest, connection_idleAfterLongRequest_holdsNothing) {
  std::vector<tcp::socket> Kept;
  for (unsigned Count = 0; Count < 8; ++Count) {
    Kept.push_back(connect());
    send(Kept.back(), makePost("/", LongBodyBytes));
    EXPECT_EQ(readArrived(Kept.back()).substr(0, 12), "HTTP/1.1 200");
  }
  EXPECT_EQ(Budget->held(), 0U);
}

TEST_F(RequestMemoryTest, requests_pipelinedAfterLongOne_areServed) {
  constexpr std::size_t BodyBytes = 3 * LongBodyBytes / 2;
  tcp::socket Caller = connect();
  send(Caller, makePost("/held", BodyBytes) + makePost("/", 100));
  ASSERT_EQ(Held.size(), 1U);
  EXPECT_LE(Budget->held(), BodyBytes);
  Held.front().second->respond({200, {}, ""});
  run(50ms);
  const std::string Answers = readArrived(Caller);
  EXPECT_NE(Answers.find("HTTP/1.1 200", 1), std::string::npos);
}

TEST_F(RequestMemoryTest, requests_manyFields_areCounted) {
  std::string Head = "GET /held HTTP/1.1\r\nHost: a\r\n";
  for (unsigned Field = 0; Field < 2'000; ++Field)
    Head += "A:\r\n";
  tcp::socket Caller = connect();
  send(Caller, Head + "\r\n");
  ASSERT_EQ(Held.size(), 1U);
  EXPECT_GE(Budget->held(), 2'000 * sizeof(HeaderField));
}

TEST_F(RequestMemoryTest, requests_togetherTooLong_lastIsRefusedAsNotRun) {
  std::vector<tcp::socket> Callers;
  for (unsigned Count = 0; Count < 4; ++Count) {
    Callers.push_back(connect());
    send(Callers.back(), makePost("/held", LongBodyBytes));
  }
  EXPECT_EQ(Held.size(), 2U);
  EXPECT_EQ(readArrived(Callers.back()).substr(0, 12), "HTTP/1.1 503");
  EXPECT_LE(Budget->held(), BudgetBytes);
  expectNeighbourServed();
  for (auto &[Request, Exchange] : Held)
    Exchange->respond({200, {}, ""});
  Held.clear();
  run(50ms);
  EXPECT_EQ(readArrived(Callers.front()).substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(Budget->held(), 0U);
}

// Guards against a neighbour that is refused because callers that stopped in
// the middle of long requests hold the budget.
TEST_F(RequestMemoryTest, requests_stalledLongOnes_giveWayToShorterOnes) {
  std::vector<tcp::socket> Stalled;
  std::size_t Bytes = 2 * LongBodyBytes;
  for (unsigned Count = 0; Count < 12; ++Count) {
    Stalled.push_back(connect());
    send(Stalled.back(), makePost("/", Bytes).substr(0, 100));
    Bytes /= 2;
  }
  tcp::socket Neighbour = connect();
  send(Neighbour, makePost("/", 300'000));
  EXPECT_EQ(readArrived(Neighbour).substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(readArrived(Stalled.front()).substr(0, 12), "HTTP/1.1 503");
}

/// A server whose responses are so long that the sockets cannot take them.
/// Runs in the thread of the test.
class SlowCallerTest : public testing::Test {
protected:
  static constexpr std::size_t ResponseBytes = 12U << 20U;

  SlowCallerTest() {
    Server = std::make_unique<HttpServer>(
        Context, HttpServerLimits{},
        [this](const HttpRequest &,
               const std::shared_ptr<HttpExchange> &Exchange) {
          MemoryReservation Reserved(Budget);
          ASSERT_TRUE(Reserved.resize(ResponseBytes));
          Exchange->respond(
              {200,
               {},
               Payload(std::string(ResponseBytes, 'b'), std::move(Reserved))});
        },
        [](NetError) {
          return HttpResponse{400, {}, ""};
        });
    for (unsigned Port = 9'700; Port < 9'800; ++Port) {
      Address = "127.0.0.1:" + std::to_string(Port);
      if (Server->listen(Address).has_value())
        break;
    }
  }

  /// A caller that sends a request and does not read the response.
  tcp::socket askAndNotRead() {
    tcp::socket Socket(Context);
    Socket.open(tcp::v4());
    Socket.set_option(asio::socket_base::receive_buffer_size(4'096));
    Socket.connect(*parseEndpoint(Address));
    asio::write(Socket, asio::buffer(std::string_view(
                            "GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    run(50ms);
    return Socket;
  }

  void run(std::chrono::milliseconds Time) {
    Context.restart();
    Context.run_for(Time);
  }

  asio::io_context Context;
  std::shared_ptr<MemoryBudget> Budget =
      std::make_shared<MemoryBudget>(std::size_t(30) << 20U);
  std::unique_ptr<HttpServer> Server;
  std::string Address;
};

TEST_F(SlowCallerTest, response_notRead_holdsItsBytesUntilClosed) {
  tcp::socket Slow = askAndNotRead();
  EXPECT_GE(Budget->held(), ResponseBytes - MemoryReservation::UncountedBytes);
  Slow.close();
  run(50ms);
  EXPECT_EQ(Budget->held(), 0U);
}

// Guards against the answer to a neighbour's request that is dropped because
// callers do not read theirs.
TEST_F(SlowCallerTest, responses_notRead_giveWayToShorterOnes) {
  std::vector<tcp::socket> Slow;
  Slow.push_back(askAndNotRead());
  Slow.push_back(askAndNotRead());
  EXPECT_EQ(Server->connections(), 2U);
  MemoryReservation Shorter(Budget);
  EXPECT_TRUE(Shorter.resize(ResponseBytes / 2));
  run(50ms);
  EXPECT_EQ(Server->connections(), 1U);
}

/// Starts of requests and what is repeated after them, without end.
class EndlessRequestTest : public RequestMemoryTest,
                           public testing::WithParamInterface<
                               std::pair<const char *, const char *>> {};

// Guards against memory that grows for as long as callers go on sending.
TEST_P(EndlessRequestTest, requests_withoutEnd_holdNoMoreThanBudget) {
  std::string Endless = GetParam().first;
  while (Endless.size() < 2 * BudgetBytes)
    Endless += GetParam().second;
  std::vector<tcp::socket> Callers;
  for (unsigned Count = 0; Count < 3; ++Count) {
    Callers.push_back(connect());
    send(Callers.back(), Endless);
    EXPECT_LE(Budget->held(), BudgetBytes);
  }
  expectNeighbourServed();
}

INSTANTIATE_TEST_SUITE_P(
    AllParts, EndlessRequestTest,
    testing::Values(std::pair{"GET /", "x"},
                    std::pair{"GET / HTTP/1.1\r\nA: ", "x"},
                    std::pair{"GET / HTTP/1.1\r\n", "A: b\r\n"},
                    std::pair{"POST / HTTP/1.1\r\nHost: a\r\n"
                              "Content-Length: 60000000\r\n\r\n",
                              "x"},
                    std::pair{"POST / HTTP/1.1\r\nHost: a\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n",
                              "4\r\nbody\r\n"},
                    std::pair{"POST / HTTP/1.1\r\nHost: a\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n4;",
                              "x"},
                    std::pair{"POST / HTTP/1.1\r\nHost: a\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                              "A: b\r\n"}));

/// Calls of servers that answer \p Bytes bytes, with a budget for all.
class ResponseMemoryTest : public testing::Test {
protected:
  ResponseMemoryTest() : Http(Context, 64U << 20U, Budget) {}

  std::optional<HttpResult> call(std::size_t Bytes) {
    tcp::acceptor Acceptor(Context, {asio::ip::address_v4::loopback(), 0});
    const std::string Text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Bytes) +
        "\r\n\r\n" + std::string(Bytes, 'b');
    std::optional<tcp::socket> Socket;
    Acceptor.async_accept(
        [&](boost::system::error_code Error, tcp::socket Accepted) {
          if (Error)
            return;
          Socket.emplace(std::move(Accepted));
          asio::async_write(*Socket, asio::buffer(Text),
                            [](boost::system::error_code, std::size_t) {});
        });
    HttpCall Call;
    Call.Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    Call.Request = {"GET", "/", {}, "", ""};
    Call.Timeout = 2s;
    std::optional<HttpResult> Result;
    Http.call(std::move(Call),
              [&Result](HttpResult Value) { Result = std::move(Value); });
    const auto Deadline = std::chrono::steady_clock::now() + 3s;
    while (!Result && std::chrono::steady_clock::now() < Deadline) {
      Context.restart();
      Context.run_one_for(100ms);
    }
    Acceptor.close();
    Context.restart();
    Context.run_for(5ms);
    return Result;
  }

  asio::io_context Context;
  std::shared_ptr<MemoryBudget> Budget =
      std::make_shared<MemoryBudget>(BudgetBytes);
  HttpClient Http;
};

// Guards against the answer to a neighbour's request that is dropped because
// faulty servers have stopped in the middle of long ones.
TEST_F(ResponseMemoryTest, responses_stalledLongOnes_giveWayToShorterOnes) {
  std::vector<std::unique_ptr<tcp::acceptor>> Acceptors;
  std::vector<tcp::socket> Sockets;
  std::vector<HttpResult> Broken;
  std::size_t Bytes = 2 * LongBodyBytes;
  for (unsigned Count = 0; Count < 12; ++Count) {
    Acceptors.push_back(std::make_unique<tcp::acceptor>(
        Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
    const std::string Head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Bytes) +
        "\r\n\r\nb";
    Acceptors.back()->async_accept(
        [&Sockets, Head](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          Sockets.push_back(std::move(Socket));
          asio::write(Sockets.back(), asio::buffer(Head));
        });
    HttpCall Call;
    Call.Address = "127.0.0.1:" +
                   std::to_string(Acceptors.back()->local_endpoint().port());
    Call.Request = {"GET", "/", {}, "", ""};
    Call.Timeout = 10s;
    Http.call(std::move(Call), [&Broken](HttpResult Result) {
      Broken.push_back(std::move(Result));
    });
    Context.restart();
    Context.run_for(10ms);
    Bytes /= 2;
  }
  const auto Shorter = call(300'000);
  ASSERT_TRUE(Shorter.has_value());
  EXPECT_TRUE(Shorter->has_value());
  ASSERT_FALSE(Broken.empty());
  EXPECT_EQ(Broken.front().error(), NetError::Broken);
}

// Guards against the answer to a neighbour's request that is dropped because
// others have filled the budget.
TEST_F(ResponseMemoryTest, responses_togetherTooLong_commonOnesStillFit) {
  std::vector<HttpResult> Kept;
  for (unsigned Count = 0; Count < 6; ++Count) {
    auto Result = call(LongBodyBytes);
    ASSERT_TRUE(Result.has_value());
    Kept.push_back(std::move(*Result));
  }
  EXPECT_TRUE(Kept[1].has_value());
  ASSERT_TRUE(Kept.back().has_error());
  EXPECT_EQ(Kept.back().error(), NetError::Broken);
  const auto Common = call(10'000);
  ASSERT_TRUE(Common.has_value());
  EXPECT_TRUE(Common->has_value());
  Kept.clear();
  const auto Later = call(LongBodyBytes);
  ASSERT_TRUE(Later.has_value());
  EXPECT_TRUE(Later->has_value());
}

} // namespace
} // namespace mimosacart
