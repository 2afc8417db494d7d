/// \file
/// Cuts of a proxy of the soak.
#include "soak/fault_proxy.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class FaultProxyTest : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(listenOn(Target, "127.0.0.1:0"));
    Proxy = std::make_unique<FaultProxy>(
        Context, "127.0.0.1:" + std::to_string(Target.local_endpoint().port()));
    // Draws a free port for the proxy.
    tcp::acceptor Probe(Context);
    ASSERT_TRUE(listenOn(Probe, "127.0.0.1:0"));
    ProxyEndpoint = Probe.local_endpoint();
    Probe.close();
    ASSERT_TRUE(
        Proxy->listen("127.0.0.1:" + std::to_string(ProxyEndpoint.port())));
  }

  /// Connects from \p Source through the proxy and returns both ends.
  std::pair<tcp::socket, tcp::socket> connect(const std::string &Source) {
    tcp::socket Client(Context, {asio::ip::make_address(Source), 0});
    Client.connect(ProxyEndpoint);
    tcp::socket Server(Context);
    Target.async_accept(Server, [](boost::system::error_code) {});
    run();
    return {std::move(Client), std::move(Server)};
  }
  void run() {
    Context.restart();
    Context.run_for(50ms);
  }
  static std::string received(tcp::socket &Socket) {
    std::string Result(Socket.available(), ' ');
    if (!Result.empty())
      Socket.receive(asio::buffer(Result));
    return Result;
  }
  void sendOver(tcp::socket &Socket, const std::string &Text) {
    Socket.send(asio::buffer(Text));
    run();
  }

  asio::io_context Context;
  tcp::acceptor Target{Context};
  std::unique_ptr<FaultProxy> Proxy;
  tcp::endpoint ProxyEndpoint;
};

TEST_F(FaultProxyTest, cutOff_oneSource_othersStillReachTarget) {
  auto [CutClient, CutServer] = connect("127.0.0.5");
  auto [Client, Server] = connect("127.0.0.6");
  Proxy->cutOff("127.0.0.5");
  sendOver(CutClient, "cut");
  sendOver(Client, "open");
  EXPECT_EQ(received(CutServer), "");
  EXPECT_EQ(received(Server), "open");
}

TEST_F(FaultProxyTest, cutOff_overlappingCuts_endWithTheLast) {
  auto [Client, Server] = connect("127.0.0.5");
  Proxy->cutOff("127.0.0.5");
  Proxy->cutOff("127.0.0.5");
  sendOver(Client, "late");
  Proxy->reconnect("127.0.0.5");
  run();
  EXPECT_EQ(received(Server), "");
  Proxy->reconnect("127.0.0.5");
  run();
  EXPECT_EQ(received(Server), "late");
}

TEST_F(FaultProxyTest, reconnect_clientResetWhileCut_bytesAreLost) {
  auto [Client, Server] = connect("127.0.0.5");
  Proxy->cutOff("127.0.0.5");
  sendOver(Client, "late");
  Client.set_option(asio::socket_base::linger(true, 0));
  Client.close();
  run();
  Proxy->reconnect("127.0.0.5");
  run();
  EXPECT_EQ(received(Server), "");
}

TEST_F(FaultProxyTest, reconnect_connectedWhileCut_isReset) {
  Proxy->cutOff("127.0.0.5");
  bool IsAccepted = false;
  Target.async_accept(
      [&IsAccepted](boost::system::error_code Error, const tcp::socket &) {
        IsAccepted = !Error;
      });
  tcp::socket Client(Context, {asio::ip::make_address("127.0.0.5"), 0});
  Client.connect(ProxyEndpoint);
  sendOver(Client, "late");
  Proxy->reconnect("127.0.0.5");
  run();
  EXPECT_FALSE(IsAccepted);
  char Byte = 0;
  boost::system::error_code Error;
  Client.receive(asio::buffer(&Byte, 1), 0, Error);
  EXPECT_EQ(Error, asio::error::connection_reset);
}

} // namespace
} // namespace mimosacart
