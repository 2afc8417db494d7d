/// \file
/// Converts between HTTP messages and the requests and answers of the core.
#pragma once

#include "core/node.h"
#include "net/http_message.h"

#include <random>
#include <string>

namespace mimosacart {

/// Path at which callers fetch the list of entry hosts.
inline constexpr const char *EntriesPath = "/v1/entries";

/// Generates random ids of traces and spans.
class TraceIds {
public:
  explicit TraceIds(std::uint64_t Seed) : Generator(Seed) {}

  /// Returns 32 hexadecimal digits.
  std::string makeTraceId();
  /// Returns 16 hexadecimal digits.
  std::string makeSpanId();

private:
  std::mt19937_64 Generator;
};

/// Parses a caller's request. Removes hop-by-hop headers and those that are set
/// by entry hosts or meant only for them; all others are forwarded unchanged.
/// The trace id comes from `traceparent` if that is valid (W3C Trace Context),
/// otherwise from \p Ids.
RequestPtr toCallerRequest(HttpRequest Request, TraceIds &Ids);

/// Builds the request that is sent to a backend server.
HttpRequest toServerRequest(const ServerCall &Call, TraceIds &Ids);

/// Converts a backend server's response, without hop-by-hop headers and headers
/// that only an entry host may set.
AnswerPtr toServerAnswer(HttpResponse Response);

/// Builds the response that is sent to a caller.
HttpResponse toResponse(const Answer &Reply);

/// Builds the JSON response to `GET /v1/entries`.
HttpResponse toResponse(const EntriesAnswer &Entries);

/// Builds the response to a request that could not be read.
HttpResponse toRefusal(NetError Error);

} // namespace mimosacart
