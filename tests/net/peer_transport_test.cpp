/// \file
/// Delivery of messages to peers whose connection is not established yet, or
/// which start much later.
#include "net/peer_transport.h"

#include "net/asio.h"
#include "tests/support/loopback_addresses.h"

#include <gtest/gtest.h>

#include <thread>
#include <utility>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class PeerTransportTest : public testing::Test {
protected:
  std::unique_ptr<PeerTransport> makeReceiver() {
    auto Receiver = std::make_unique<PeerTransport>(
        Context,
        [this](std::string_view Bytes) { Received.emplace_back(Bytes); });
    EXPECT_TRUE(Receiver->listen(Address).has_value());
    return Receiver;
  }

  void run(std::chrono::milliseconds Time) { Context.run_for(Time); }

  asio::io_context Context;
  const asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(Context);
  const std::string Address = newLoopbackAddress();
  std::vector<std::string> Received;
  PeerTransport Sender{Context, [](std::string_view) {}};
};

TEST_F(PeerTransportTest, send_firstMessages_arriveInOrder) {
  const auto Receiver = makeReceiver();
  Sender.send(Address, "one");
  Sender.send(Address, "two");
  run(250ms);
  EXPECT_EQ(Received, (std::vector<std::string>{"one", "two"}));
  EXPECT_EQ(Sender.counters().MessagesSent, 2U);
}

// Guards against callers' events that wait for all peer messages of a burst.
TEST_F(PeerTransportTest, receive_slowHandler_otherEventsRunInBetween) {
  std::vector<unsigned> HandledBeforeEvent;
  unsigned Handled = 0;
  unsigned InThisTurn = 0;
  PeerTransport Receiver(Context, [&](std::string_view) {
    std::this_thread::sleep_for(3ms);
    ++Handled;
    if (++InThisTurn == 1)
      asio::post(Context, [&] {
        HandledBeforeEvent.push_back(std::exchange(InThisTurn, 0));
      });
  });
  ASSERT_TRUE(Receiver.listen(Address).has_value());
  for (unsigned Count = 0; Count < 32; ++Count)
    Sender.send(Address, "one");
  run(800ms);
  EXPECT_EQ(Handled, 32U);
  for (const unsigned Count : HandledBeforeEvent)
    EXPECT_LE(Count, 2U);
}

TEST_F(PeerTransportTest, send_sourceIsSet_connectionComesFromIt) {
  tcp::acceptor Acceptor(Context, *parseEndpoint(Address));
  PeerTransport Bound(
      Context, [](std::string_view) {}, {},
      PeerTransport::DefaultMaxMessageBytes, "127.0.0.9");
  std::string From;
  Acceptor.async_accept([&From](boost::system::error_code, tcp::socket Socket) {
    From = Socket.remote_endpoint().address().to_string();
  });
  Bound.send(Address, "one");
  run(250ms);
  EXPECT_EQ(From, "127.0.0.9");
}

// Guards against a process that ends because a row of the store or a message of
// a peer names an address that ZeroMQ throws on.
TEST_F(PeerTransportTest, send_unusableAddress_onlyItsMessageIsDropped) {
  const auto Receiver = makeReceiver();
  std::vector<std::string> Reported;
  PeerTransport Reporting(
      Context, [](std::string_view) {},
      [&Reported](const std::string &Unusable, const std::string &) {
        Reported.push_back(Unusable);
      });
  const std::vector<std::string> Addresses = {"",
                                              "nowhere",
                                              "127.0.0.1",
                                              "127.0.0.1:",
                                              "127.0.0.1:0",
                                              "127.0.0.1:99999",
                                              "name.example:80",
                                              "*:80",
                                              "tcp://127.0.0.1:80",
                                              "127.0.0.1:80;127.0.0.1:81"};
  for (const std::string &Unusable : Addresses)
    Reporting.send(Unusable, "lost");
  Reporting.send(Address, "kept");
  run(250ms);
  EXPECT_EQ(Reported, Addresses);
  EXPECT_EQ(Received, std::vector<std::string>{"kept"});
  EXPECT_EQ(Reporting.counters().MessagesNotSent, Addresses.size());
}

// The library has a limit on its sockets.
TEST_F(PeerTransportTest, send_tooManyPeers_othersAreStillServed) {
  const auto Receiver = makeReceiver();
  Sender.send(Address, "one");
  for (unsigned Peer = 1; Peer <= 1'100; ++Peer)
    Sender.send("127.1." + std::to_string(Peer / 200) + "." +
                    std::to_string(Peer % 200 + 1) + ":9",
                "lost");
  Sender.send(Address, "two");
  run(250ms);
  EXPECT_EQ(Received, (std::vector<std::string>{"one", "two"}));
}

TEST_F(PeerTransportTest, send_peerStartsAfterConnectTime_dropsEarlierMessage) {
  Sender.send(Address, "old");
  run(400ms);
  const auto Receiver = makeReceiver();
  run(700ms);
  Sender.send(Address, "new");
  run(100ms);
  EXPECT_EQ(Received, std::vector<std::string>{"new"});
  EXPECT_EQ(Sender.counters().MessagesNotSent, 1U);
}

} // namespace
} // namespace mimosacart
