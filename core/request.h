/// \file
/// Requests and answers as the core sees them; bodies are opaque bytes.
#pragma once

#include "core/configuration.h"
#include "core/ids.h"
#include "core/time.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacart {

/// One HTTP header field that travels with a request or an answer.
struct HeaderField {
  std::string Name;
  std::string Value;

  friend bool operator==(const HeaderField &, const HeaderField &) = default;
};

/// What a caller sent, parsed by the layer round the core.
struct CallerRequest {
  std::string Method;
  /// Path and query, as sent.
  std::string Target;
  /// IP address of the caller, if known.
  std::string Caller;
  std::vector<HeaderField> Headers;
  std::string Body;
  /// Value of `Idempotency-Key`, if sent.
  std::optional<std::string> Key;
  /// Value of `Mimosacart-Issuer`, if sent.
  std::optional<std::string> Token;
  /// Value of `Mimosacart-Deadline-Ms`, if sent.
  std::optional<Duration> Timeout;
  /// Value of `Mimosacart-Attempts`: attempts left for the whole call tree.
  std::optional<unsigned> AttemptsLeft;
  /// W3C trace id, 32 hexadecimal digits; made by the entry host if absent.
  std::string TraceId;

  friend bool operator==(const CallerRequest &,
                         const CallerRequest &) = default;
};

using RequestPtr = std::shared_ptr<const CallerRequest>;

/// A backend server's answer or a refusal of our own.
struct Answer {
  unsigned Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;

  friend bool operator==(const Answer &, const Answer &) = default;
};

/// Value of the first field called \p Name, without regard to case; null if
/// there is none.
const std::string *findField(const std::vector<HeaderField> &Fields,
                             std::string_view Name);

/// Whether \p Status is 2xx.
inline bool isSuccess(unsigned Status) {
  constexpr unsigned FirstSuccess = 200;
  constexpr unsigned FirstRedirect = 300;
  return Status >= FirstSuccess && Status < FirstRedirect;
}

using AnswerPtr = std::shared_ptr<const Answer>;

/// What a refusal says about the request's effect.
enum class RefusalOutcome : std::uint8_t {
  /// The request has not run and never will under this key.
  NotRun,
  /// It may or may not have run.
  Unknown,
  /// It is running; a resend joins it.
  InProgress,
  /// It ran, but its answer is no longer kept.
  Ran,
};

/// Word used for \p Value on the wire and in logs.
const char *toString(RefusalOutcome Value);

/// Short code for each reason of a refusal.
enum class RefusalReason : std::uint8_t {
  None,
  NoConfiguration,
  NoRoute,
  KeyRequired,
  BadToken,
  DeadlinePassed,
  Overloaded,
  NoServer,
  Stopping,
  Quarantined,
  TokenExpired,
  IssuerGone,
  IssuerSilent,
  ServerBroke,
  ServerTimeout,
  ServerUnreachable,
  HolderGone,
  ServerRefused,
  AnswerDropped,
  HopLimit,
  StillRunning,
};

/// Word used for \p Value on the wire and in logs.
const char *toString(RefusalReason Value);

/// A refusal before it becomes an answer.
struct Refusal {
  RefusalOutcome Outcome = RefusalOutcome::NotRun;
  RefusalReason Reason = RefusalReason::None;
  /// Positive where waiting helps.
  Duration RetryAfter{};

  friend bool operator==(const Refusal &, const Refusal &) = default;
};

/// HTTP status that belongs to \p Value.
unsigned statusOf(const Refusal &Value);

/// Builds the `application/problem+json` answer (RFC 9457) for \p Value.
AnswerPtr toAnswer(const Refusal &Value);

/// The refusal's outcome that \p Value carries, if it is a refusal of ours.
std::optional<RefusalOutcome> outcomeOf(const Answer &Value);

} // namespace mimosacart
