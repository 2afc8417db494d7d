#include "ctl/verbs.h"

#include "settings/configuration_file.h"
#include "settings/text_file.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace mimosacart {

namespace {

using Json = nlohmann::json;

constexpr auto InForcePollInterval = std::chrono::milliseconds(100);

/// Reads and checks the configuration file \p Path and returns its text and its
/// parsed content. Prints the errors and returns nothing if there are any.
std::optional<std::pair<std::string, Configuration>>
readConfiguration(const std::string &Path) {
  const auto Text = readTextFile(Path);
  if (!Text) {
    fmt::print(stderr, "mimosacartctl: {}: the file cannot be read\n", Path);
    return std::nullopt;
  }
  const auto Parsed = parseConfiguration(*Text, Path);
  if (Parsed.has_error()) {
    for (const FieldError &Error : Parsed.error())
      fmt::print(stderr, "{}\n", format(Error));
    return std::nullopt;
  }
  return std::pair(*Text, Parsed.value());
}

/// Returns the JSON document \p Path at the admin address \p Address of a host;
/// nothing if the host does not answer with one.
std::optional<Json> readJson(OperatorClient &Client, const std::string &Address,
                             const std::string &Path) {
  const auto Body = Client.readAdmin(Address, Path);
  if (!Body)
    return std::nullopt;
  Json Value = Json::parse(*Body, nullptr, false);
  if (Value.is_discarded())
    return std::nullopt;
  return Value;
}

/// How many hosts answer, and how many of these have a generation in force.
struct HostCounts {
  /// Hosts on which the generation, or a later one, is in force.
  unsigned InForce = 0;
  /// Hosts that answer.
  unsigned Answering = 0;
};

HostCounts countInForce(OperatorClient &Client, Generation Number) {
  HostCounts Counts;
  for (const std::string &Address : Client.settings().AdminAddresses) {
    const auto Status = readJson(Client, Address, "/v1/status");
    if (!Status)
      continue;
    ++Counts.Answering;
    if (Status->value("generation", std::uint64_t(0)) >= Number.value())
      ++Counts.InForce;
  }
  return Counts;
}

/// Waits until generation \p Number is in force on every host that answers, for
/// at most \p Wait, and prints the result.
ExitStatus waitUntilInForce(OperatorClient &Client, Generation Number,
                            Duration Wait) {
  const auto Deadline = std::chrono::steady_clock::now() + Wait;
  HostCounts Counts;
  while (std::chrono::steady_clock::now() < Deadline) {
    Counts = countInForce(Client, Number);
    if (Counts.Answering > 0 && Counts.InForce == Counts.Answering)
      break;
    std::this_thread::sleep_for(InForcePollInterval);
  }
  fmt::print("in force on {} of {} hosts that answer, {} listed\n",
             Counts.InForce, Counts.Answering,
             Client.settings().AdminAddresses.size());
  const bool Everywhere =
      Counts.Answering > 0 && Counts.InForce == Counts.Answering;
  return Everywhere ? ExitStatus::Done : ExitStatus::NotInForce;
}

/// Formats a time in seconds since 1970.
std::string formatTime(std::int64_t Seconds) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}Z",
                     fmt::gmtime(static_cast<std::time_t>(Seconds)));
}

void printStatus(const Json &Status) {
  fmt::print("{:<16} {:<12} {:<10} generation {:<6} open {:<6} queued {}\n",
             Status.value("host", ""), Status.value("data_centre", ""),
             Status.value("stopping", false) ? "stopping"
             : Status.value("ready", false)  ? "ready"
                                             : "not-ready",
             Status.value("generation", std::uint64_t(0)),
             Status.value("open_requests", 0), Status.value("queued", 0));
  for (const Json &Server : Status.value("servers", Json::array()))
    fmt::print("  owns {:<14} {:<9} in flight {}/{} mean {:.1f} ms, {} calls\n",
               Server.value("server", ""), Server.value("state", ""),
               Server.value("in_flight", 0), Server.value("limit", 0),
               Server.value("mean_ms", 0.0),
               Server.value("calls", std::uint64_t(0)));
  for (const Json &Member : Status.value("members", Json::array()))
    if (Member.value("status", "") != "alive")
      fmt::print("  sees {:<14} {}\n", Member.value("host", ""),
                 Member.value("status", ""));
}

} // namespace

ExitStatus runValidate(const std::string &Path) {
  const auto File = readConfiguration(Path);
  if (!File)
    return ExitStatus::BadInput;
  std::size_t Servers = 0;
  std::size_t Kinds = 0;
  for (const Service &Entry : File->second.Services) {
    Servers += Entry.Servers.size();
    Kinds += Entry.Kinds.size();
  }
  fmt::print(
      "{}: valid: {} services, {} backend servers, {} kinds of request\n", Path,
      File->second.Services.size(), Servers, Kinds);
  return ExitStatus::Done;
}

ExitStatus runDiff(OperatorClient &Client, const std::string &Path) {
  const auto File = readConfiguration(Path);
  if (!File)
    return ExitStatus::BadInput;
  Configuration Before;
  const auto Head = Client.readHead();
  if (Head.has_error() && Head.error() != PlatformError::NotFound) {
    fmt::print(stderr, "mimosacartctl: {}\n", Head.error().message());
    return ExitStatus::Unreachable;
  }
  if (Head.has_value()) {
    const auto Bytes = Client.readObject(Head.value().Current.Digest);
    if (Bytes.has_error()) {
      fmt::print(stderr, "mimosacartctl: {}\n", Bytes.error().message());
      return ExitStatus::Unreachable;
    }
    const auto Parsed = parseConfiguration(Bytes.value(), "in force");
    if (Parsed.has_value())
      Before = Parsed.value();
  }
  const auto Lines = describeChanges(Before, File->second);
  if (Lines.empty())
    fmt::print("no change\n");
  for (const std::string &Line : Lines)
    fmt::print("{}\n", Line);
  return ExitStatus::Done;
}

ExitStatus runApply(OperatorClient &Client, const std::string &Path,
                    const VerbOptions &Options) {
  const auto File = readConfiguration(Path);
  if (!File)
    return ExitStatus::BadInput;
  const ApplyResult Result =
      Client.apply(File->first, Options.ExpectedGeneration);
  switch (Result.Outcome) {
  case ApplyOutcome::Accepted:
    fmt::print("accepted as generation {}\n", Result.Accepted.Number.value());
    return waitUntilInForce(Client, Result.Accepted.Number, Options.Wait);
  case ApplyOutcome::Refused:
    fmt::print(stderr,
               "mimosacartctl: not accepted, nothing changed: {}; try again\n",
               Result.Message);
    return ExitStatus::Refused;
  case ApplyOutcome::LostRace:
    fmt::print(stderr,
               "mimosacartctl: not accepted: {}: generation {} by {}; check "
               "`mimosacartctl diff` and apply again\n",
               Result.Message, Result.Accepted.Number.value(),
               Result.Accepted.SubmittedBy);
    return ExitStatus::LostRace;
  case ApplyOutcome::Unknown:
    break;
  }
  fmt::print(stderr,
             "mimosacartctl: unknown whether accepted: {}; look for submission "
             "{} in `mimosacartctl history`\n",
             Result.Message, Result.Accepted.Submission);
  return ExitStatus::Unknown;
}

ExitStatus runStatus(OperatorClient &Client, const VerbOptions &Options) {
  Json Statuses = Json::array();
  unsigned UnreachableHosts = 0;
  for (const std::string &Address : Client.settings().AdminAddresses) {
    const auto Status = readJson(Client, Address, "/v1/status");
    if (!Status) {
      ++UnreachableHosts;
      if (Options.Format == OutputFormat::Table)
        fmt::print("{:<16} does not answer\n", Address);
      continue;
    }
    if (Options.Format == OutputFormat::Table)
      printStatus(*Status);
    Statuses.push_back(*Status);
  }
  if (Options.Format == OutputFormat::Json)
    fmt::print("{}\n", Statuses.dump(2));
  return UnreachableHosts == 0 ? ExitStatus::Done : ExitStatus::Unreachable;
}

ExitStatus runHistory(OperatorClient &Client, const VerbOptions &Options) {
  const auto Head = Client.readHead();
  if (Head.has_error() && Head.error() == PlatformError::NotFound) {
    fmt::print("no configuration has been accepted yet\n");
    return ExitStatus::Done;
  }
  if (Head.has_error()) {
    fmt::print(stderr, "mimosacartctl: {}\n", Head.error().message());
    return ExitStatus::Unreachable;
  }
  std::vector<AcceptedConfiguration> Configurations{Head.value().Current};
  Configurations.insert(Configurations.end(), Head.value().Earlier.begin(),
                        Head.value().Earlier.end());
  Json Rows = Json::array();
  for (const AcceptedConfiguration &Accepted : Configurations) {
    Rows.push_back({{"generation", Accepted.Number.value()},
                    {"digest", Accepted.Digest},
                    {"submission", Accepted.Submission},
                    {"submitted_by", Accepted.SubmittedBy},
                    {"submitted_at", Accepted.SubmittedAt}});
    if (Options.Format == OutputFormat::Table)
      fmt::print("{:<6} {} {:<14} {:.12} {}\n", Accepted.Number.value(),
                 formatTime(Accepted.SubmittedAt), Accepted.SubmittedBy,
                 Accepted.Digest, Accepted.Submission);
  }
  if (Options.Format == OutputFormat::Json)
    fmt::print("{}\n", Rows.dump(2));
  return ExitStatus::Done;
}

ExitStatus runExplain(OperatorClient &Client, const std::string &TraceId,
                      const VerbOptions &Options) {
  Json Spans = Json::array();
  for (const std::string &Address : Client.settings().AdminAddresses) {
    const auto Response = readJson(Client, Address, "/v1/explain/" + TraceId);
    if (!Response)
      continue;
    for (Json Span : Response->value("spans", Json::array())) {
      Span["host"] = Response->value("host", "");
      Spans.push_back(std::move(Span));
    }
  }
  if (Spans.empty()) {
    fmt::print(stderr,
               "mimosacartctl: no host that answers has spans of trace {}; "
               "hosts keep the spans of their latest requests only\n",
               TraceId);
    return ExitStatus::Unreachable;
  }
  // The oldest span comes first.
  std::stable_sort(
      Spans.begin(), Spans.end(), [](const Json &Left, const Json &Right) {
        return Left.value("age_ms", 0.0) > Right.value("age_ms", 0.0);
      });
  if (Options.Format == OutputFormat::Json) {
    fmt::print("{}\n", Spans.dump(2));
    return ExitStatus::Done;
  }
  const double Start = Spans.front().value("age_ms", 0.0);
  for (const Json &Span : Spans) {
    fmt::print("{:>9.2f} ms  {:<14} {:<9} {:>9.2f} ms ",
               Start - Span.value("age_ms", 0.0), Span.value("host", ""),
               Span.value("name", ""), Span.value("duration_ms", 0.0));
    for (const auto &[Key, Value] : Span["fields"].items())
      fmt::print(" {}={}", Key, Value.get<std::string>());
    fmt::print("\n");
  }
  return ExitStatus::Done;
}

} // namespace mimosacart
