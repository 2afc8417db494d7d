/// \file
/// Bytes of the peer protocol; the only user of the generated code.
#pragma once

#include "core/peer_messages.h"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>
#include <system_error>

namespace mimosacart {

/// Why bytes from a peer were not taken.
enum class WireError : std::uint8_t {
  /// Not a message of this protocol.
  Malformed = 1,
  /// A message of this protocol with a field that cannot be.
  BadField,
};

/// Category of WireError.
const std::error_category &wireCategory();
std::error_code make_error_code(WireError Error); // NOLINT: found by name.

/// Bytes of \p Message.
std::string encode(const PeerMessage &Message);

/// Reads what encode() wrote.
boost::outcome_v2::result<PeerMessage, std::error_code>
decode(std::string_view Bytes);

/// Bytes of claims as they are kept in the object store.
std::string encodeClaims(const std::vector<TransferredClaim> &Claims);

/// Reads what encodeClaims() wrote.
boost::outcome_v2::result<std::vector<TransferredClaim>, std::error_code>
decodeClaims(std::string_view Bytes);

} // namespace mimosacart

template <>
struct std::is_error_code_enum<mimosacart::WireError> : std::true_type {};
