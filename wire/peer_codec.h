/// \file
/// Encodes and decodes messages of the peer protocol. Only the codecs use the
/// generated code.
#pragma once

#include "core/peer_messages.h"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>
#include <system_error>

namespace mimosacart {

/// Reasons to reject bytes from a peer.
enum class WireError : std::uint8_t {
  /// The bytes are not a message of the peer protocol.
  Malformed = 1,
  /// A field of the message is missing or has an invalid value.
  BadField,
};

/// Category of WireError.
const std::error_category &wireCategory();
std::error_code make_error_code(WireError Error); // NOLINT: required by std.

/// Encodes \p Message.
std::string encode(const PeerMessage &Message);

/// Decodes a message encoded by encode().
boost::outcome_v2::result<PeerMessage, std::error_code>
decode(std::string_view Bytes);

/// Encodes claims for the object store.
std::string encodeClaims(const std::vector<TransferredClaim> &Claims);

/// Decodes claims encoded by encodeClaims().
boost::outcome_v2::result<std::vector<TransferredClaim>, std::error_code>
decodeClaims(std::string_view Bytes);

} // namespace mimosacart

template <>
struct std::is_error_code_enum<mimosacart::WireError> : std::true_type {};
