/// \file
/// Peers of the entry hosts that send without end, or do not read what they
/// get: callers on raw connections, and a backend server.
#pragma once

#include "net/asio.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mimosacart {

/// Listens as a backend server that answers each request with one of several
/// answers without an end, until the client closes the connection.
class EndlessServer {
public:
  EndlessServer(asio::io_context &Context, std::uint64_t Seed);

  /// Binds to \p Address; false if that fails.
  bool listen(const std::string &Address);

private:
  void accept();

  tcp::acceptor Acceptor;
  std::mt19937_64 Random;
};

/// Opens connections to entry hosts and sends requests without an end on them.
/// A connection that the host closes is opened again.
class EndlessCallers {
public:
  /// \p Count connections to each of \p HostAddresses.
  EndlessCallers(asio::io_context &Context,
                 std::vector<std::string> HostAddresses, std::size_t Count,
                 std::uint64_t Seed);

  void start();
  void stop() { *IsRunning = false; }

private:
  void connect(const std::string &Address);

  asio::io_context &Context;
  const std::vector<std::string> HostAddresses;
  const std::size_t Count;
  std::mt19937_64 Random;
  /// Outlives this object in pending handlers.
  std::shared_ptr<bool> IsRunning = std::make_shared<bool>(false);
};

} // namespace mimosacart
