#include "daemon/caller_protocol.h"

#include "core/text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace mimosacart {

namespace {

constexpr const char *KeyHeader = "Idempotency-Key";
constexpr const char *TokenHeader = "Mimosacart-Issuer";
constexpr const char *DeadlineHeader = "Mimosacart-Deadline-Ms";
constexpr const char *AttemptsHeader = "Mimosacart-Attempts";
constexpr const char *OutcomeHeader = "Mimosacart-Outcome";
constexpr const char *TraceParentHeader = "traceparent";

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t TraceParentLength = 55;
constexpr std::size_t TraceIdOffset = 3;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusBodyTooLarge = 413;
constexpr unsigned StatusHeaderTooLarge = 431;

std::optional<std::int64_t> parseInteger(const std::string *Text) {
  if (Text == nullptr)
    return std::nullopt;
  std::int64_t Value = 0;
  const char *End = Text->data() + Text->size();
  const auto Read = std::from_chars(Text->data(), End, Value);
  if (Read.ec != std::errc() || Read.ptr != End || Value < 0)
    return std::nullopt;
  return Value;
}

/// Quotes round the key are part of the header's syntax (a structured string).
std::optional<std::string> parseKey(const std::string *Text) {
  if (Text == nullptr || Text->empty())
    return std::nullopt;
  const bool Quoted =
      Text->size() > 2 && Text->front() == '"' && Text->back() == '"';
  return Quoted ? Text->substr(1, Text->size() - 2) : *Text;
}

std::optional<std::string> traceIdOf(const std::string *TraceParent) {
  if (TraceParent == nullptr || TraceParent->size() != TraceParentLength)
    return std::nullopt;
  const std::string Id = TraceParent->substr(TraceIdOffset, TraceIdDigits);
  const bool Valid =
      Id.find_first_not_of("0123456789abcdef") == std::string::npos &&
      Id.find_first_not_of('0') != std::string::npos;
  return Valid ? std::optional(Id) : std::nullopt;
}

/// Whether the header is set by entry hosts and must not pass through.
bool isOwnHeader(std::string_view Name) {
  static constexpr std::array<std::string_view, 6> Names = {
      DeadlineHeader, AttemptsHeader,    TokenHeader,
      OutcomeHeader,  TraceParentHeader, "Host"};
  for (const std::string_view Known : Names)
    if (equalsIgnoringCase(Name, Known))
      return true;
  return false;
}

} // namespace

std::string TraceIds::traceId() {
  return fmt::format("{:016x}{:016x}", Random(), Random() | 1U);
}

std::string TraceIds::spanId() { return fmt::format("{:016x}", Random() | 1U); }

RequestPtr toCallerRequest(HttpRequest Request, TraceIds &Ids) {
  CallerRequest Result;
  Result.Key = parseKey(findField(Request.Headers, KeyHeader));
  if (const std::string *Token = findField(Request.Headers, TokenHeader))
    Result.Token = *Token;
  if (const auto Deadline =
          parseInteger(findField(Request.Headers, DeadlineHeader)))
    Result.Timeout = std::chrono::milliseconds(*Deadline);
  if (const auto Attempts =
          parseInteger(findField(Request.Headers, AttemptsHeader)))
    Result.AttemptsLeft = static_cast<unsigned>(*Attempts);
  const auto TraceId = traceIdOf(findField(Request.Headers, TraceParentHeader));
  Result.TraceId = TraceId ? *TraceId : Ids.traceId();
  Result.Method = std::move(Request.Method);
  Result.Target = std::move(Request.Target);
  Result.Body = std::move(Request.Body);
  for (HeaderField &Field : Request.Headers)
    if (!isOwnHeader(Field.Name) && !isHopByHop(Field.Name))
      Result.Headers.push_back(std::move(Field));
  return std::make_shared<const CallerRequest>(std::move(Result));
}

HttpRequest toServerRequest(const ServerCall &Call, TraceIds &Ids) {
  const CallerRequest &From = *Call.Request;
  HttpRequest To;
  To.Method = From.Method;
  To.Target = From.Target;
  To.Headers = From.Headers;
  To.Body = From.Body;
  const auto RemainingMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.Remaining);
  To.Headers.push_back({DeadlineHeader, std::to_string(RemainingMs.count())});
  To.Headers.push_back({AttemptsHeader, std::to_string(Call.AttemptsLeft)});
  To.Headers.push_back(
      {TraceParentHeader,
       fmt::format("00-{}-{}-01", From.TraceId, Ids.spanId())});
  return To;
}

AnswerPtr toServerAnswer(HttpResponse Response) {
  Answer Result;
  Result.Status = Response.Status;
  Result.Body = std::move(Response.Body);
  for (HeaderField &Field : Response.Headers)
    if (!isOwnHeader(Field.Name) && !isHopByHop(Field.Name))
      Result.Headers.push_back(std::move(Field));
  return std::make_shared<const Answer>(std::move(Result));
}

HttpResponse toResponse(const Answer &Reply) {
  HttpResponse Result;
  Result.Status = Reply.Status;
  Result.Body = Reply.Body;
  // What a server says of itself is for the entry hosts only.
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
  const auto KeepMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Entries.KeepFor);
  const nlohmann::json Body = {{"keep_for_ms", KeepMs.count()},
                               {"entries", Hosts}};
  return {StatusOk, {{"Content-Type", "application/json"}}, Body.dump()};
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
  const nlohmann::json Body = {{"type", "urn:mimosacart:" + Title},
                               {"title", Title},
                               {"status", Status},
                               {"outcome", toString(RefusalOutcome::NotRun)}};
  return {Status,
          {{"Content-Type", "application/problem+json"},
           {OutcomeHeader, toString(RefusalOutcome::NotRun)}},
          Body.dump()};
}

} // namespace mimosacart
