/// \file
/// HTTP messages and network errors, independent of the socket library.
#pragma once

#include "core/request.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace mimosacart {

/// An HTTP request as sent or received.
struct HttpRequest {
  std::string Method;
  std::string Target;
  std::vector<HeaderField> Headers;
  Payload Body;
  /// IP address of the client, without the port; empty in outgoing requests.
  std::string RemoteAddress;
};

/// An HTTP response as sent or received.
struct HttpResponse {
  unsigned Status = 0;
  std::vector<HeaderField> Headers;
  Payload Body;
  /// The connection that a received response came on.
  ConnectionUse Use{};
};

/// Whether the header field \p Name is not forwarded: it applies to a single
/// connection (RFC 9110, section 7.6.1), or is Content-Length, which is set
/// anew for each message.
bool isHopByHop(std::string_view Name);

/// How an HTTP exchange or a bind to an address failed.
enum class NetError : std::uint8_t {
  /// The connection could not be established; no byte was sent.
  ConnectFailed = 1,
  /// The connection failed after it was established; bytes may have been sent.
  Broken,
  /// The message did not arrive completely in time.
  TimedOut,
  /// The peer sent an invalid HTTP message.
  Malformed,
  /// The header exceeds its size limit.
  HeaderTooLarge,
  /// The body exceeds its size limit.
  BodyTooLarge,
  /// Other messages hold the memory that this one needs.
  NoMemory,
  /// The address is not an IP address and port, or cannot be bound.
  BadAddress,
};

/// Why a message could not be read or written.
struct MessageError {
  NetError Kind;
  /// For the log.
  std::string Reason;

  friend bool operator==(const MessageError &, const MessageError &) = default;
};

/// Called with the address of the peer for each message that ends its exchange
/// because the message is invalid, not because its connection failed.
using InvalidMessageHook =
    std::function<void(const std::string &Peer, const MessageError &)>;

/// Category of NetError.
const std::error_category &netCategory();
std::error_code make_error_code(NetError Error); // NOLINT: found by ADL.

} // namespace mimosacart

template <>
struct std::is_error_code_enum<mimosacart::NetError> : std::true_type {};
