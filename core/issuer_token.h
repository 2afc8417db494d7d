/// \file
/// The token that binds an idempotency key to one incarnation of a host.
#pragma once

#include "core/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace mimosacart {

/// Names the only process that may run requests sent with the token.
struct IssuerToken {
  HostName Host;
  IncarnationId Incarnation;
  /// Number of the epoch since the start of the incarnation; claims are dropped
  /// once their epoch is too old.
  std::uint64_t Epoch = 0;

  friend bool operator==(const IssuerToken &, const IssuerToken &) = default;
};

/// Formats \p Token as `host.incarnation.epoch`, with both numbers in
/// hexadecimal.
std::string format(const IssuerToken &Token);

/// Parses the output of format(); returns nothing if \p Text is malformed.
std::optional<IssuerToken> parseIssuerToken(std::string_view Text);

} // namespace mimosacart
