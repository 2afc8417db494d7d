#include "ctl/operator_client.h"

#include "net/asio.h"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <random>
#include <thread>

namespace mimosacart {

namespace {

constexpr std::size_t MaxAnswerBytes = 64U << 20U;
/// Number of reads of the head row that look for a write of uncertain outcome.
constexpr unsigned MaxResolveReads = 10;
constexpr auto ResolveReadInterval = std::chrono::milliseconds(500);
constexpr unsigned StatusOk = 200;

std::string makeSubmissionId() {
  std::random_device Device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", Device(), Device(), Device(),
                     Device());
}

std::int64_t currentUnixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the configuration in \p Row, current or earlier, with the id
/// \p Submission; null if there is none.
const AcceptedConfiguration *findSubmission(const HeadRow &Row,
                                            const std::string &Submission) {
  if (Row.Current.Submission == Submission)
    return &Row.Current;
  for (const AcceptedConfiguration &Candidate : Row.Earlier)
    if (Candidate.Submission == Submission)
      return &Candidate;
  return nullptr;
}

} // namespace

struct OperatorClient::EventLoop {
  explicit EventLoop(const OperatorSettings &Settings)
      : Http(Context, MaxAnswerBytes),
        Platform(Http, Settings.PlatformAddress, Settings.PlatformTimeout) {}

  asio::io_context Context;
  HttpClient Http;
  PlatformClient Platform;
};

OperatorClient::OperatorClient(OperatorSettings ClientSettings)
    : Settings(std::move(ClientSettings)),
      Loop(std::make_unique<EventLoop>(Settings)) {}

OperatorClient::~OperatorClient() = default;

template <typename T, typename StartFunction>
PlatformResult<T> OperatorClient::runUntilDone(StartFunction Start) {
  std::optional<PlatformResult<T>> Result;
  Start(
      [&Result](PlatformResult<T> Value) { Result.emplace(std::move(Value)); });
  Loop->Context.restart();
  while (!Result && Loop->Context.run_one() > 0) {
  }
  if (!Result)
    return PlatformError::Unavailable;
  return std::move(*Result);
}

PlatformResult<HeadRow> OperatorClient::readHead() {
  return runUntilDone<HeadRow>(
      [this](auto Done) { Loop->Platform.readHead(std::move(Done)); });
}

PlatformResult<std::string>
OperatorClient::readObject(const std::string &Digest) {
  return runUntilDone<std::string>([this, &Digest](auto Done) {
    Loop->Platform.readObject(Digest, std::move(Done));
  });
}

ApplyResult OperatorClient::apply(const std::string &Bytes,
                                  std::optional<Generation> Expected) {
  AcceptedConfiguration Submitted;
  Submitted.Digest = sha256(Bytes);
  Submitted.Submission = makeSubmissionId();
  Submitted.SubmittedBy = Settings.SubmittedBy;
  Submitted.SubmittedAt = currentUnixSeconds();
  // The object is unused until the head row refers to it, so a failure here
  // changes nothing.
  const auto Stored = runUntilDone<void>([this, &Submitted, &Bytes](auto Done) {
    Loop->Platform.writeObject(Submitted.Digest, Bytes, std::move(Done));
  });
  if (Stored.has_error())
    return {ApplyOutcome::Refused, {}, Stored.error().message()};
  const auto Head = readHead();
  const bool HeadMissing =
      Head.has_error() && Head.error() == PlatformError::NotFound;
  if (Head.has_error() && !HeadMissing)
    return {ApplyOutcome::Refused, {}, Head.error().message()};
  const HeadRow *Before = HeadMissing ? nullptr : &Head.value();
  const Generation Latest =
      Before == nullptr ? Generation(0) : Before->Current.Number;
  if (Expected && *Expected != Latest)
    return {ApplyOutcome::LostRace,
            Before == nullptr ? AcceptedConfiguration() : Before->Current,
            fmt::format("expected generation {}, found {}", Expected->value(),
                        Latest.value())};
  Submitted.Number = Generation(Latest.value() + 1);
  const HeadRow Next = nextHead(Before, Submitted);
  const auto Written = runUntilDone<void>([this, &Next, Before](auto Done) {
    Loop->Platform.writeHead(Next, Before == nullptr ? "" : Before->Version,
                             std::move(Done));
  });
  if (Written.has_value())
    return {ApplyOutcome::Accepted, Submitted, ""};
  return resolveUncertainWrite(Submitted);
}

// A conflict is uncertain as well: if the write was delivered twice, the second
// copy conflicts with the first, which was accepted.
ApplyResult
OperatorClient::resolveUncertainWrite(const AcceptedConfiguration &Submitted) {
  for (unsigned Attempt = 0; Attempt < MaxResolveReads; ++Attempt) {
    const auto Head = readHead();
    if (Head.has_value()) {
      const AcceptedConfiguration *Found =
          findSubmission(Head.value(), Submitted.Submission);
      if (Found != nullptr)
        return {ApplyOutcome::Accepted, *Found, ""};
      // Another submission took this generation or a later one, so this write
      // can no longer take effect.
      if (Head.value().Current.Number >= Submitted.Number)
        return {ApplyOutcome::LostRace, Head.value().Current,
                "another file was accepted first"};
    }
    std::this_thread::sleep_for(ResolveReadInterval);
  }
  return {ApplyOutcome::Unknown, Submitted, "the platform did not answer"};
}

std::optional<std::string> OperatorClient::readAdmin(const std::string &Address,
                                                     const std::string &Path) {
  std::optional<std::string> Body;
  bool Finished = false;
  HttpCall Call;
  Call.Address = Address;
  Call.Request = {"GET", Path, {}, "", ""};
  Call.Timeout = Settings.PlatformTimeout;
  Loop->Http.call(std::move(Call), [&](const HttpResult &Result) {
    Finished = true;
    if (Result.has_value() && Result.value().Status == StatusOk)
      Body = Result.value().Body.bytes();
  });
  Loop->Context.restart();
  while (!Finished && Loop->Context.run_one() > 0) {
  }
  return Body;
}

} // namespace mimosacart
