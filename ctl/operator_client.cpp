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
/// Reads that look for a write whose answer was lost.
constexpr unsigned SettleTries = 10;
constexpr auto SettleInterval = std::chrono::milliseconds(500);
constexpr unsigned StatusOk = 200;

std::string makeSubmissionId() {
  std::random_device Device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", Device(), Device(), Device(),
                     Device());
}

std::int64_t secondsSince1970() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The submission in \p Row, current or earlier; null if it is not there.
const AcceptedConfiguration *findSubmission(const HeadRow &Row,
                                            const std::string &Submission) {
  if (Row.Current.Submission == Submission)
    return &Row.Current;
  for (const AcceptedConfiguration &Each : Row.Earlier)
    if (Each.Submission == Submission)
      return &Each;
  return nullptr;
}

} // namespace

struct OperatorClient::Loop {
  explicit Loop(const OperatorSettings &Settings)
      : Http(Context, MaxAnswerBytes),
        Platform(Http, Settings.PlatformAddress, Settings.PlatformTimeout) {}

  asio::io_context Context;
  HttpClient Http;
  PlatformClient Platform;
};

OperatorClient::OperatorClient(OperatorSettings Given)
    : Settings(std::move(Given)), Running(std::make_unique<Loop>(Settings)) {}

OperatorClient::~OperatorClient() = default;

template <typename T, typename Function>
PlatformResult<T> OperatorClient::wait(Function Start) {
  std::optional<PlatformResult<T>> Result;
  Start(
      [&Result](PlatformResult<T> Value) { Result.emplace(std::move(Value)); });
  Running->Context.restart();
  while (!Result && Running->Context.run_one() > 0) {
  }
  if (!Result)
    return PlatformError::Unavailable;
  return std::move(*Result);
}

PlatformResult<HeadRow> OperatorClient::readHead() {
  return wait<HeadRow>(
      [this](auto Done) { Running->Platform.readHead(std::move(Done)); });
}

PlatformResult<std::string>
OperatorClient::readObject(const std::string &Digest) {
  return wait<std::string>([this, &Digest](auto Done) {
    Running->Platform.readObject(Digest, std::move(Done));
  });
}

ApplyResult OperatorClient::apply(const std::string &Bytes,
                                  std::optional<Generation> Expected) {
  AcceptedConfiguration Submitted;
  Submitted.Digest = sha256(Bytes);
  Submitted.Submission = makeSubmissionId();
  Submitted.SubmittedBy = Settings.SubmittedBy;
  Submitted.SubmittedAt = secondsSince1970();
  // Nothing names the object before the head row does, so a failure here
  // changes nothing.
  const auto Stored = wait<void>([this, &Submitted, &Bytes](auto Done) {
    Running->Platform.writeObject(Submitted.Digest, Bytes, std::move(Done));
  });
  if (Stored.has_error())
    return {ApplyEnd::Refused, {}, Stored.error().message()};
  const auto Head = readHead();
  const bool NoHead =
      Head.has_error() && Head.error() == PlatformError::NotFound;
  if (Head.has_error() && !NoHead)
    return {ApplyEnd::Refused, {}, Head.error().message()};
  const HeadRow *Before = NoHead ? nullptr : &Head.value();
  const Generation Latest =
      Before == nullptr ? Generation(0) : Before->Current.Number;
  if (Expected && *Expected != Latest)
    return {ApplyEnd::LostRace,
            Before == nullptr ? AcceptedConfiguration() : Before->Current,
            fmt::format("expected generation {}, found {}", Expected->value(),
                        Latest.value())};
  Submitted.Number = Generation(Latest.value() + 1);
  const HeadRow Next = nextHead(Before, Submitted);
  const auto Written = wait<void>([this, &Next, Before](auto Done) {
    Running->Platform.writeHead(Next, Before == nullptr ? "" : Before->Version,
                                std::move(Done));
  });
  if (Written.has_value())
    return {ApplyEnd::Accepted, Submitted, ""};
  return settleLostAnswer(Submitted);
}

/// Also after a conflict: an earlier copy of our own write, delivered twice,
/// may be what this one lost to.
ApplyResult
OperatorClient::settleLostAnswer(const AcceptedConfiguration &Submitted) {
  for (unsigned Try = 0; Try < SettleTries; ++Try) {
    const auto Head = readHead();
    if (Head.has_value()) {
      const AcceptedConfiguration *Found =
          findSubmission(Head.value(), Submitted.Submission);
      if (Found != nullptr)
        return {ApplyEnd::Accepted, *Found, ""};
      // A later generation than ours proves that ours can never be written.
      if (Head.value().Current.Number >= Submitted.Number)
        return {ApplyEnd::LostRace, Head.value().Current,
                "another file was accepted first"};
    }
    std::this_thread::sleep_for(SettleInterval);
  }
  return {ApplyEnd::Unknown, Submitted, "the platform did not answer"};
}

std::optional<std::string> OperatorClient::readAdmin(const std::string &Address,
                                                     const std::string &Path) {
  std::optional<std::string> Body;
  bool Finished = false;
  HttpCall Call;
  Call.Address = Address;
  Call.Request = {"GET", Path, {}, "", ""};
  Call.Timeout = Settings.PlatformTimeout;
  Running->Http.call(std::move(Call), [&](const HttpResult &Result) {
    Finished = true;
    if (Result.has_value() && Result.value().Status == StatusOk)
      Body = Result.value().Body;
  });
  Running->Context.restart();
  while (!Finished && Running->Context.run_one() > 0) {
  }
  return Body;
}

} // namespace mimosacart
