/// \file
/// HTTP messages and errors of the transport layer, without any transport.
#pragma once

#include "core/request.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace mimosacart {

/// A request as it crosses a socket.
struct HttpRequest {
  std::string Method;
  std::string Target;
  std::vector<HeaderField> Headers;
  std::string Body;
  /// IP address of the other end, without its port.
  std::string RemoteAddress;
};

/// A response as it crosses a socket.
struct HttpResponse {
  unsigned Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;
};

/// Whether \p Name belongs to one connection only (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view Name);

/// How an exchange over a socket failed.
enum class NetError : std::uint8_t {
  /// No connection; not a byte was sent.
  ConnectFailed = 1,
  /// The connection failed after the first byte was sent.
  Broken,
  /// The answer did not arrive whole in time.
  TimedOut,
  /// The other end did not keep to HTTP.
  Malformed,
  /// Header larger than the limit.
  HeaderTooLarge,
  /// Body larger than the limit.
  BodyTooLarge,
  /// The address is not an IP address and port, or is taken.
  BadAddress,
};

/// Category of NetError.
const std::error_category &netCategory();
std::error_code make_error_code(NetError Error); // NOLINT: found by name.

} // namespace mimosacart

template <>
struct std::is_error_code_enum<mimosacart::NetError> : std::true_type {};
