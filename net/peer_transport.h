/// \file
/// Sends and receives peer messages over ZeroMQ.
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

/// Messages and bytes of a PeerTransport since its start.
struct PeerTransportCounters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Messages dropped because the peer had no connection or its queue was full,
  /// or because its address cannot be used.
  std::uint64_t MessagesNotSent = 0;
};

/// Receives on one socket and sends on one socket per peer.
///
/// Messages may be lost, but are never duplicated or reordered between two
/// processes. Messages wait briefly for the first connection to a peer. They do
/// not wait for a lost connection to be restored, so that no message arrives
/// long after it was sent. Sockets that have not been used for a while are
/// closed.
class PeerTransport {
public:
  using ReceiveHook = std::function<void(std::string_view Bytes)>;

  /// Called with an address from the fleet or the store that cannot be used.
  using BadAddressHook =
      std::function<void(const std::string &Address, const std::string &Why)>;

  /// Limit on a message: a request body plus its headers.
  static constexpr std::size_t DefaultMaxMessageBytes = 80U << 20U;

  /// \p ReportBadAddress may be empty. A peer that sends a message of more than
  /// \p MaxMessageBytes is disconnected. Connections to peers come from the IP
  /// address \p Source, or from one that the system chooses if it is empty.
  PeerTransport(boost::asio::io_context &Context, ReceiveHook HandleMessage,
                BadAddressHook ReportBadAddress = {},
                std::size_t MaxMessageBytes = DefaultMaxMessageBytes,
                const std::string &Source = {});
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Binds to \p Address and starts to receive messages.
  boost::outcome_v2::result<void, std::error_code>
  listen(const std::string &Address);

  /// Sends a message to the peer that listens on \p Address, or drops it.
  void send(const std::string &Address, std::string_view Bytes);

  PeerTransportCounters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace mimosacart
