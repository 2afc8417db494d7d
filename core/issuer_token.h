/// \file
/// The token that binds an idempotency key to one incarnation of a host.
#pragma once

#include "core/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace mimosacart {

/// Names the only process that may run requests sent with it.
struct IssuerToken {
  HostName Host;
  IncarnationId Incarnation;
  /// Counts from the start of the incarnation; bounds how long claims live.
  std::uint64_t Epoch = 0;

  friend bool operator==(const IssuerToken &, const IssuerToken &) = default;
};

/// Writes `host.incarnation.epoch`, both numbers in hexadecimal.
std::string format(const IssuerToken &Token);

/// Reads what format() wrote; nothing if \p Text is anything else.
std::optional<IssuerToken> parseIssuerToken(std::string_view Text);

} // namespace mimosacart
