#include "core/request.h"

#include "core/text.h"

namespace mimosacart {

namespace {

/// Header that repeats the refusal's outcome for callers that skip the body.
constexpr const char *OutcomeHeader = "Mimosacart-Outcome";

constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusKeyRequired = 428;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusTimeout = 504;
constexpr unsigned StatusLoop = 508;

/// Rounds up, since `Retry-After` carries whole seconds.
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

const char *toString(Outcome Value) {
  switch (Value) {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::InProgress:
    return "in-progress";
  case Outcome::Ran:
    return "ran";
  }
  return "unknown";
}

const char *toString(Reason Value) {
  switch (Value) {
  case Reason::None:
    return "none";
  case Reason::NoConfiguration:
    return "no-configuration";
  case Reason::NoRoute:
    return "no-route";
  case Reason::KeyRequired:
    return "key-required";
  case Reason::BadToken:
    return "bad-token";
  case Reason::DeadlinePassed:
    return "deadline-passed";
  case Reason::Overloaded:
    return "overloaded";
  case Reason::NoServer:
    return "no-server";
  case Reason::Stopping:
    return "stopping";
  case Reason::Quarantined:
    return "quarantined";
  case Reason::TokenExpired:
    return "token-expired";
  case Reason::IssuerGone:
    return "issuer-gone";
  case Reason::IssuerSilent:
    return "issuer-silent";
  case Reason::ServerBroke:
    return "server-broke";
  case Reason::ServerTimeout:
    return "server-timeout";
  case Reason::ServerUnreachable:
    return "server-unreachable";
  case Reason::HolderGone:
    return "holder-gone";
  case Reason::ServerRefused:
    return "server-refused";
  case Reason::AnswerDropped:
    return "answer-dropped";
  case Reason::HopLimit:
    return "hop-limit";
  case Reason::StillRunning:
    return "still-running";
  }
  return "none";
}

unsigned statusOf(const Refusal &Value) {
  switch (Value.Why) {
  case Reason::NoRoute:
    return StatusNotFound;
  case Reason::KeyRequired:
    return StatusKeyRequired;
  case Reason::BadToken:
    return StatusBadRequest;
  case Reason::AnswerDropped:
    return StatusGone;
  case Reason::TokenExpired:
  case Reason::IssuerGone:
  case Reason::StillRunning:
    return StatusConflict;
  case Reason::DeadlinePassed:
  case Reason::IssuerSilent:
  case Reason::ServerTimeout:
    return StatusTimeout;
  case Reason::ServerBroke:
  case Reason::HolderGone:
    return StatusBadGateway;
  case Reason::HopLimit:
    return StatusLoop;
  default:
    return StatusUnavailable;
  }
}

AnswerPtr toAnswer(const Refusal &Value) {
  const std::string What = toString(Value.What);
  const std::string Why = toString(Value.Why);
  const unsigned Status = statusOf(Value);
  Answer Result;
  Result.Status = Status;
  Result.Headers.push_back({"Content-Type", "application/problem+json"});
  Result.Headers.push_back({OutcomeHeader, What});
  if (Value.RetryAfter > Duration::zero())
    Result.Headers.push_back(
        {"Retry-After", std::to_string(wholeSeconds(Value.RetryAfter))});
  // Both words are constants of this file, so nothing needs escaping.
  Result.Body = "{\"type\":\"urn:mimosacart:" + Why + "\",\"title\":\"" + Why +
                "\",\"status\":" + std::to_string(Status) + ",\"outcome\":\"" +
                What + "\"}";
  return std::make_shared<const Answer>(std::move(Result));
}

std::optional<Outcome> outcomeOf(const Answer &Value) {
  for (const HeaderField &Field : Value.Headers) {
    if (Field.Name != OutcomeHeader)
      continue;
    for (const Outcome Candidate :
         {Outcome::NotRun, Outcome::Unknown, Outcome::InProgress, Outcome::Ran})
      if (Field.Value == toString(Candidate))
        return Candidate;
  }
  return std::nullopt;
}

} // namespace mimosacart
