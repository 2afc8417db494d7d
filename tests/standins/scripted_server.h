/// \file
/// A server within a test's process; the test decides which bytes it writes,
/// on which connection and when.
#pragma once

#include "net/asio.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mimosacart {

/// Accepts connections on a loopback address and reads requests without bodies;
/// all in the thread of its context.
class ScriptedServer {
public:
  /// Called with the number of the connection, from 0, and the request's head.
  using RequestHook =
      std::function<void(std::size_t Connection, const std::string &Head)>;

  ScriptedServer(asio::io_context &Context, RequestHook OnRequest)
      : Context(Context), OnRequest(std::move(OnRequest)),
        Acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  /// Number of connections accepted.
  std::size_t connections() const { return Connections.size(); }

  void write(std::size_t Connection, const std::string &Bytes) {
    boost::system::error_code Ignored;
    asio::write(Connections.at(Connection)->Socket, asio::buffer(Bytes),
                Ignored);
  }

  void writeAfter(std::chrono::milliseconds Delay, std::size_t Connection,
                  const std::string &Bytes) {
    const auto Timer = std::make_shared<asio::steady_timer>(Context, Delay);
    Timer->async_wait(
        [this, Timer, Connection, Bytes](boost::system::error_code Error) {
          if (!Error)
            write(Connection, Bytes);
        });
  }

private:
  struct Accepted {
    tcp::socket Socket;
    std::string Received;
  };

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          Connections.push_back(
              std::make_shared<Accepted>(Accepted{std::move(Socket), ""}));
          read(Connections.size() - 1);
          accept();
        });
  }

  void read(std::size_t Connection) {
    const std::shared_ptr<Accepted> From = Connections.at(Connection);
    asio::async_read_until(
        From->Socket, asio::dynamic_buffer(From->Received), "\r\n\r\n",
        [this, From, Connection](boost::system::error_code Error,
                                 std::size_t End) {
          if (Error)
            return;
          const std::string Head = From->Received.substr(0, End);
          From->Received.erase(0, End);
          OnRequest(Connection, Head);
          read(Connection);
        });
  }

  asio::io_context &Context;
  const RequestHook OnRequest;
  tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<Accepted>> Connections;
};

} // namespace mimosacart
