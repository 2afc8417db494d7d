#include "core/request.h"

#include "core/text.h"

namespace mimosacart {

namespace {

/// Header that repeats the refusal's outcome for callers that do not parse the
/// body.
constexpr const char *OutcomeHeader = "Mimosacart-Outcome";

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusKeyRequired = 428;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusTimeout = 504;
constexpr unsigned StatusLoop = 508;

/// Converts to seconds and rounds up: `Retry-After` only takes whole seconds.
long long wholeSeconds(Duration Value) {
  constexpr long long MicrosecondsPerSecond = 1'000'000;
  return (Value.count() + MicrosecondsPerSecond - 1) / MicrosecondsPerSecond;
}

} // namespace

const std::string *findField(const std::vector<HeaderField> &Fields,
                             std::string_view Name) {
  for (const HeaderField &Field : Fields)
    if (equalsIgnoringCase(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

const char *toString(RefusalOutcome Value) {
  switch (Value) {
  case RefusalOutcome::NotRun:
    return "not-run";
  case RefusalOutcome::Unknown:
    return "unknown";
  case RefusalOutcome::InProgress:
    return "in-progress";
  case RefusalOutcome::Ran:
    return "ran";
  }
  return "unknown";
}

const char *toString(RefusalReason Value) {
  switch (Value) {
  case RefusalReason::None:
    return "none";
  case RefusalReason::NoConfiguration:
    return "no-configuration";
  case RefusalReason::NoRoute:
    return "no-route";
  case RefusalReason::KeyRequired:
    return "key-required";
  case RefusalReason::BadToken:
    return "bad-token";
  case RefusalReason::DeadlinePassed:
    return "deadline-passed";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::NoServer:
    return "no-server";
  case RefusalReason::Stopping:
    return "stopping";
  case RefusalReason::Quarantined:
    return "quarantined";
  case RefusalReason::TokenExpired:
    return "token-expired";
  case RefusalReason::IssuerGone:
    return "issuer-gone";
  case RefusalReason::IssuerSilent:
    return "issuer-silent";
  case RefusalReason::ServerBroke:
    return "server-broke";
  case RefusalReason::ServerTimeout:
    return "server-timeout";
  case RefusalReason::ServerUnreachable:
    return "server-unreachable";
  case RefusalReason::HolderGone:
    return "holder-gone";
  case RefusalReason::ServerRefused:
    return "server-refused";
  case RefusalReason::AnswerDropped:
    return "answer-dropped";
  case RefusalReason::HopLimit:
    return "hop-limit";
  case RefusalReason::StillRunning:
    return "still-running";
  case RefusalReason::KeyMissing:
    return "key-missing";
  case RefusalReason::KeyMalformed:
    return "key-malformed";
  case RefusalReason::KeyUnknown:
    return "key-unknown";
  case RefusalReason::OverQuota:
    return "over-quota";
  }
  return "none";
}

unsigned statusOf(const Refusal &Value) {
  switch (Value.Reason) {
  case RefusalReason::NoRoute:
    return StatusNotFound;
  case RefusalReason::KeyRequired:
    return StatusKeyRequired;
  case RefusalReason::BadToken:
    return StatusBadRequest;
  case RefusalReason::KeyMissing:
  case RefusalReason::KeyMalformed:
  case RefusalReason::KeyUnknown:
    return StatusUnauthorized;
  case RefusalReason::OverQuota:
    return StatusTooManyRequests;
  case RefusalReason::AnswerDropped:
    return StatusGone;
  case RefusalReason::TokenExpired:
  case RefusalReason::IssuerGone:
  case RefusalReason::StillRunning:
    return StatusConflict;
  case RefusalReason::DeadlinePassed:
  case RefusalReason::IssuerSilent:
  case RefusalReason::ServerTimeout:
    return StatusTimeout;
  case RefusalReason::ServerBroke:
  case RefusalReason::HolderGone:
    return StatusBadGateway;
  case RefusalReason::HopLimit:
    return StatusLoop;
  default:
    return StatusUnavailable;
  }
}

AnswerPtr toAnswer(const Refusal &Value) {
  const std::string Outcome = toString(Value.Outcome);
  const std::string Reason = toString(Value.Reason);
  const unsigned Status = statusOf(Value);
  Answer Result;
  Result.Status = Status;
  Result.Headers.push_back({"Content-Type", "application/problem+json"});
  Result.Headers.push_back({OutcomeHeader, Outcome});
  if (Value.RetryAfter > Duration::zero())
    Result.Headers.push_back(
        {"Retry-After", std::to_string(wholeSeconds(Value.RetryAfter))});
  // Both strings are constants of this file, so nothing needs escaping.
  Result.Body = "{\"type\":\"urn:mimosacart:" + Reason + "\",\"title\":\"" +
                Reason + "\",\"status\":" + std::to_string(Status) +
                ",\"outcome\":\"" + Outcome + "\"}";
  return std::make_shared<const Answer>(std::move(Result));
}

std::optional<RefusalOutcome> outcomeOf(const Answer &Value) {
  for (const HeaderField &Field : Value.Headers) {
    if (Field.Name != OutcomeHeader)
      continue;
    for (const RefusalOutcome Candidate :
         {RefusalOutcome::NotRun, RefusalOutcome::Unknown,
          RefusalOutcome::InProgress, RefusalOutcome::Ran})
      if (Field.Value == toString(Candidate))
        return Candidate;
  }
  return std::nullopt;
}

} // namespace mimosacart
