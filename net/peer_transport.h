/// \file
/// Carries peer messages over ZeroMQ.
#pragma once

#include <boost/outcome/result.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace mimosacart {

/// What the transport has carried so far.
struct PeerTransportCounters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Messages to peers without a connection, or with a full queue.
  std::uint64_t MessagesNotSent = 0;
};

/// One socket that receives and one per peer that sends.
///
/// Messages may be lost, never duplicated or reordered between two
/// processes. Messages wait a moment for a peer's first connection; nothing
/// waits for one that was lost, so that no message arrives long after it was
/// sent only because a connection came back. Sockets to peers that are sent
/// nothing for a while are closed.
class PeerTransport {
public:
  using ReceiveHook = std::function<void(std::string_view Bytes)>;

  PeerTransport(boost::asio::io_context &Context, ReceiveHook Received);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Binds to \p Address and starts to receive.
  boost::outcome_v2::result<void, std::error_code>
  listen(const std::string &Address);

  /// Sends \p Bytes to the peer that listens on \p Address, or drops them.
  void send(const std::string &Address, std::string_view Bytes);

  PeerTransportCounters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> Hidden;
};

} // namespace mimosacart
