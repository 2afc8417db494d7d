/// \file
/// Translates between HTTP messages and the core's requests and answers.
#pragma once

#include "core/node.h"
#include "net/http_message.h"

#include <random>
#include <string>

namespace mimosacart {

/// Path that callers ask for the entry hosts to use.
inline constexpr const char *EntriesPath = "/v1/entries";

/// Makes ids of traces and spans.
class TraceIds {
public:
  explicit TraceIds(std::uint64_t Seed) : Random(Seed) {}

  /// 32 hexadecimal digits.
  std::string traceId();
  /// 16 hexadecimal digits.
  std::string spanId();

private:
  std::mt19937_64 Random;
};

/// Reads the headers of ours off \p Request; the rest travels on unchanged.
/// The trace id comes from `traceparent` if that is valid (W3C Trace
/// Context), else from \p Ids.
RequestPtr toCallerRequest(HttpRequest Request, TraceIds &Ids);

/// The request as sent to a backend server.
HttpRequest toServerRequest(const ServerCall &Call, TraceIds &Ids);

/// A backend server's response as an answer, without headers that only an
/// entry host may send.
AnswerPtr toServerAnswer(HttpResponse Response);

/// The answer as sent to a caller.
HttpResponse toResponse(const Answer &Reply);

/// JSON answer to `GET /v1/entries`.
HttpResponse toResponse(const EntriesAnswer &Entries);

/// Refusal of a request that could not be read.
HttpResponse toRefusal(NetError Error);

} // namespace mimosacart
