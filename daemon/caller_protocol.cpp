#include "daemon/caller_protocol.h"

#include "core/text.h"
#include "platform/json_text.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace mimosacart {

namespace {

constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";
constexpr const char *IssuerTokenHeader = "Mimosacart-Issuer";
constexpr const char *DeadlineHeader = "Mimosacart-Deadline-Ms";
constexpr const char *AttemptsHeader = "Mimosacart-Attempts";
constexpr const char *OutcomeHeader = "Mimosacart-Outcome";
constexpr const char *TraceParentHeader = "traceparent";

/// Layout of a `traceparent` header, `00-<trace id>-<span id>-<flags>`: digits
/// of the trace id, length of the whole header, and position of the trace id.
constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t TraceParentLength = 55;
constexpr std::size_t TraceIdOffset = 3;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusBodyTooLarge = 413;
constexpr unsigned StatusHeaderTooLarge = 431;
constexpr unsigned StatusUnavailable = 503;

/// Parses a non-negative decimal integer.
std::optional<std::int64_t> parseInteger(const std::string *Text) {
  if (Text == nullptr)
    return std::nullopt;
  std::int64_t Value = 0;
  const char *End = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Value < 0)
    return std::nullopt;
  return Value;
}

/// Parses the value of Idempotency-Key. Quotes around the key belong to the
/// syntax of the header (a structured field string) and are removed.
std::optional<std::string> parseIdempotencyKey(const std::string *Text) {
  if (Text == nullptr || Text->empty())
    return std::nullopt;
  const bool Quoted =
      Text->size() > 2 && Text->front() == '"' && Text->back() == '"';
  return Quoted ? Text->substr(1, Text->size() - 2) : *Text;
}

/// Extracts the trace id from a `traceparent` header.
std::optional<std::string> parseTraceId(const std::string *TraceParent) {
  if (TraceParent == nullptr || TraceParent->size() != TraceParentLength)
    return std::nullopt;
  const std::string Id = TraceParent->substr(TraceIdOffset, TraceIdDigits);
  const bool Valid =
      Id.find_first_not_of("0123456789abcdef") == std::string::npos &&
      Id.find_first_not_of('0') != std::string::npos;
  return Valid ? std::optional(Id) : std::nullopt;
}

/// Whether entry hosts set this header themselves or are its only readers. Such
/// headers are not forwarded.
bool isReservedHeader(std::string_view Name) {
  static constexpr std::array<std::string_view, 6> Names = {
      DeadlineHeader, AttemptsHeader,    IssuerTokenHeader,
      OutcomeHeader,  TraceParentHeader, "Host"};
  for (const std::string_view Reserved : Names)
    if (equalsIgnoringCase(Name, Reserved))
      return true;
  return false;
}

} // namespace

// Trace and span ids of only zeros are invalid, so the last bit is always set.
std::string TraceIds::makeTraceId() {
  return fmt::format("{:016x}{:016x}", Generator(), Generator() | 1U);
}

std::string TraceIds::makeSpanId() {
  return fmt::format("{:016x}", Generator() | 1U);
}

RequestPtr toCallerRequest(HttpRequest Request, TraceIds &Ids) {
  CallerRequest Result;
  Result.Key =
      parseIdempotencyKey(findField(Request.Headers, IdempotencyKeyHeader));
  if (const std::string *Token = findField(Request.Headers, IssuerTokenHeader))
    Result.Token = *Token;
  if (const auto Deadline =
          parseInteger(findField(Request.Headers, DeadlineHeader)))
    Result.Timeout = std::chrono::milliseconds(*Deadline);
  if (const auto Attempts =
          parseInteger(findField(Request.Headers, AttemptsHeader)))
    Result.AttemptsLeft = static_cast<unsigned>(*Attempts);
  const auto TraceId =
      parseTraceId(findField(Request.Headers, TraceParentHeader));
  Result.TraceId = TraceId ? *TraceId : Ids.makeTraceId();
  Result.Method = std::move(Request.Method);
  Result.Target = std::move(Request.Target);
  Result.Body = std::move(Request.Body);
  for (HeaderField &Field : Request.Headers)
    if (!isReservedHeader(Field.Name) && !isHopByHop(Field.Name))
      Result.Headers.push_back(std::move(Field));
  return std::make_shared<const CallerRequest>(std::move(Result));
}

HttpRequest toServerRequest(const ServerCall &Call, TraceIds &Ids) {
  const CallerRequest &Source = *Call.Request;
  HttpRequest Result;
  Result.Method = Source.Method;
  Result.Target = Source.Target;
  Result.Headers = Source.Headers;
  Result.Body = Source.Body;
  const auto RemainingMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.Remaining);
  Result.Headers.push_back(
      {DeadlineHeader, std::to_string(RemainingMs.count())});
  Result.Headers.push_back({AttemptsHeader, std::to_string(Call.AttemptsLeft)});
  Result.Headers.push_back(
      {TraceParentHeader,
       fmt::format("00-{}-{}-01", Source.TraceId, Ids.makeSpanId())});
  return Result;
}

AnswerPtr toServerAnswer(HttpResponse Response) {
  Answer Result;
  Result.Status = Response.Status;
  // Claims keep answers for long, which must not take the memory of messages.
  Result.Body = Payload(Response.Body.bytes());
  for (HeaderField &Field : Response.Headers)
    if (!isReservedHeader(Field.Name) && !isHopByHop(Field.Name))
      Result.Headers.push_back(std::move(Field));
  return std::make_shared<const Answer>(std::move(Result));
}

HttpResponse toResponse(const Answer &Reply) {
  HttpResponse Result;
  Result.Status = Reply.Status;
  Result.Body = Reply.Body;
  // The headers in which a server reports its state and the outcome of a call
  // are meant only for entry hosts.
  for (const HeaderField &Field : Reply.Headers)
    if (!equalsIgnoringCase(Field.Name, ServerStateHeader) &&
        !equalsIgnoringCase(Field.Name, ServerOutcomeHeader))
      Result.Headers.push_back(Field);
  return Result;
}

HttpResponse toResponse(const EntriesAnswer &Entries) {
  nlohmann::json Hosts = nlohmann::json::array();
  for (const EntryHost &Host : Entries.Hosts)
    Hosts.push_back({{"host", Host.Host.value()},
                     {"address", Host.Address},
                     {"data_centre", Host.DataCentre},
                     {"share", Host.Share},
                     {"issuer_token", Host.Token}});
  const auto KeepForMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Entries.KeepFor);
  const nlohmann::json Body = {{"keep_for_ms", KeepForMs.count()},
                               {"entries", Hosts}};
  return {StatusOk, {{"Content-Type", "application/json"}}, toJsonText(Body)};
}

HttpResponse toRefusal(NetError Error) {
  unsigned Status = StatusBadRequest;
  std::string Title = "malformed-request";
  if (Error == NetError::HeaderTooLarge) {
    Status = StatusHeaderTooLarge;
    Title = "header-too-large";
  }
  if (Error == NetError::BodyTooLarge) {
    Status = StatusBodyTooLarge;
    Title = "body-too-large";
  }
  if (Error == NetError::TimedOut) {
    Status = StatusRequestTimeout;
    Title = "request-too-slow";
  }
  if (Error == NetError::NoMemory) {
    Status = StatusUnavailable;
    Title = "no-memory";
  }
  const nlohmann::json Body = {{"type", "urn:mimosacart:" + Title},
                               {"title", Title},
                               {"status", Status},
                               {"outcome", toString(RefusalOutcome::NotRun)}};
  return {Status,
          {{"Content-Type", "application/problem+json"},
           {OutcomeHeader, toString(RefusalOutcome::NotRun)}},
          toJsonText(Body)};
}

} // namespace mimosacart
