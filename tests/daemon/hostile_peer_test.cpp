/// \file
/// A whole entry host whose peers of every kind send what libraries throw on:
/// the host goes on, and ends only their exchanges.
#include "daemon/direct_host_process.h"

#include "net/asio.h"
#include "tests/daemon/direct_host_settings.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <zmq.hpp>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Longer than the longest field that the HTTP library can store.
constexpr std::size_t LongFieldBytes = 70'000;

/// What callers may send to any address of a host: in a head, in a body, in a
/// trailer.
std::vector<std::string> makeHostileRequests() {
  const std::string Long(LongFieldBytes, 'a');
  const std::string Post = "POST / HTTP/1.1\r\nHost: a\r\n";
  return {"GET / HTTP/1.1\r\nHost: a\r\nA: " + Long + "\r\n\r\n",
          "GET /" + Long + " HTTP/1.1\r\nHost: a\r\n\r\n",
          Post + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: " + Long +
              "\r\n\r\n",
          Post + "Transfer-Encoding: chunked\r\n\r\n1;" + Long + "\r\n",
          Post + "Transfer-Encoding: gzip\r\n\r\nGET / HTTP/1.1\r\n\r\n",
          Post + "Content-Length: 9223372036854775807\r\n\r\nb",
          "TRACE / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb"};
}

/// Answers of a store, with a fault in a head, in a body, in a trailer.
std::vector<std::string> makeHostileAnswers() {
  const std::string Long(LongFieldBytes, 'a');
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Deep(100'000, '[');
  const auto WithBody = [&Ok](const std::string &Body) {
    return Ok + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  };
  return {Ok + "A: " + Long + "\r\n\r\n",
          Ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: " + Long + "\r\n\r\n",
          Ok + "Content-Length: 9223372036854775807\r\n\r\nb",
          WithBody(Deep),
          WithBody("{\"rows\": 1, \"ver\": \"x\"}"),
          WithBody("{\"ver\": 1, \"rows\": [{\"key\": 1}], \"hasMore\": 3}"),
          WithBody("\xff\xfe")};
}

/// A host that runs in the thread of the test. Its store answers each call
/// with the next of \p StoreAnswers.
class HostilePeerTest : public testing::Test {
protected:
  HostilePeerTest()
      : StoreAcceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
    acceptStoreCall();
    Settings.PlatformAddress =
        "127.0.0.1:" + std::to_string(StoreAcceptor.local_endpoint().port());
    Host = std::make_unique<DirectHostProcess>(Context, Settings, [] {});
  }

  void acceptStoreCall() {
    StoreAcceptor.async_accept(
        [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          StoreSockets.push_back(std::move(Socket));
          const std::string &Answer =
              StoreAnswers[StoreCalls++ % StoreAnswers.size()];
          boost::system::error_code Ignored;
          asio::write(StoreSockets.back(), asio::buffer(Answer), Ignored);
          acceptStoreCall();
        });
  }

  void run(std::chrono::milliseconds Time) {
    Context.restart();
    Context.run_for(Time);
  }

  /// Sends \p Text on a connection of its own; returns what comes back, and
  /// whether the connection was closed in \p Closed.
  std::string exchange(const std::string &Address, const std::string &Text,
                       bool &Closed) {
    tcp::socket Socket(Context);
    Socket.connect(*parseEndpoint(Address));
    boost::system::error_code Error;
    asio::write(Socket, asio::buffer(Text), Error);
    run(100ms);
    Socket.non_blocking(true);
    std::string Answer;
    asio::read(Socket, asio::dynamic_buffer(Answer), Error);
    Closed = Error != asio::error::would_block;
    return Answer;
  }

  bool isAlive() {
    bool Closed = false;
    return exchange(Settings.AdminAddress,
                    "GET /health/live HTTP/1.1\r\nHost: a\r\n"
                    "Connection: close\r\n\r\n",
                    Closed)
               .substr(0, 12) == "HTTP/1.1 200";
  }

  void expectOnlyExchangesEnd(const std::string &Address) {
    ASSERT_TRUE(Host->start().has_value());
    for (const std::string &Request : makeHostileRequests()) {
      bool Closed = false;
      const std::string Answer = exchange(Address, Request, Closed);
      EXPECT_TRUE(Closed) << Request.substr(0, 60);
      EXPECT_EQ(Answer.substr(0, 10), "HTTP/1.1 4") << Request.substr(0, 60);
    }
    EXPECT_TRUE(isAlive());
  }

  asio::io_context Context;
  tcp::acceptor StoreAcceptor;
  std::vector<std::string> StoreAnswers = {"HTTP/1.1 503 Busy\r\n"
                                           "Content-Length: 0\r\n\r\n"};
  std::size_t StoreCalls = 0;
  std::vector<tcp::socket> StoreSockets;
  HostSettings Settings = makeDirectHostSettings();
  std::unique_ptr<DirectHostProcess> Host;
};

// Guards against a host that ends, with all its requests, because of one peer.
TEST_F(HostilePeerTest, callers_hostileRequests_onlyTheyAreRefused) {
  expectOnlyExchangesEnd(Settings.CallerAddress);
}

TEST_F(HostilePeerTest, directory_hostileRequests_onlyTheyAreRefused) {
  expectOnlyExchangesEnd(Settings.Direct->DirectoryAddress);
}

TEST_F(HostilePeerTest, readiness_hostileRequests_onlyTheyAreRefused) {
  expectOnlyExchangesEnd(Settings.Direct->ReadinessAddress);
}

TEST_F(HostilePeerTest, metrics_hostileRequests_onlyTheyAreRefused) {
  expectOnlyExchangesEnd(Settings.AdminAddress);
}

TEST_F(HostilePeerTest, store_hostileAnswers_hostGoesOnAsking) {
  StoreAnswers = makeHostileAnswers();
  ASSERT_TRUE(Host->start().has_value());
  const auto Deadline = std::chrono::steady_clock::now() + 20s;
  while (StoreCalls <= StoreAnswers.size() &&
         std::chrono::steady_clock::now() < Deadline)
    run(100ms);
  EXPECT_GT(StoreCalls, StoreAnswers.size());
  EXPECT_TRUE(isAlive());
}

TEST_F(HostilePeerTest, peers_bytesThatAreNoMessage_hostGoesOn) {
  ASSERT_TRUE(Host->start().has_value());
  bool Closed = false;
  exchange(Settings.PeerAddress, std::string(LongFieldBytes, '\xff'), Closed);
  zmq::context_t Peers;
  zmq::socket_t Peer(Peers, zmq::socket_type::push);
  Peer.set(zmq::sockopt::linger, 0);
  Peer.connect("tcp://" + Settings.PeerAddress);
  for (const std::string &Bytes :
       {std::string(), std::string(LongFieldBytes, '\xff'),
        std::string("\x0a\x02\xff\xfe", 4)})
    Peer.send(zmq::buffer(Bytes), zmq::send_flags::none);
  run(300ms);
  EXPECT_TRUE(isAlive());
}

} // namespace
} // namespace mimosacart
