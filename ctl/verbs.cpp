#include "ctl/verbs.h"

#include "platform/json_text.h"
#include "settings/configuration_file.h"
#include "settings/text_file.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace mimosacart {

namespace {

using Json = nlohmann::json;

constexpr auto InForcePollInterval = std::chrono::milliseconds(100);
constexpr int JsonIndent = 2;
/// Values nested more deeply in an answer are dropped: copying them takes stack
/// for each level.
constexpr int MaxAnswerDepth = 32;

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
  const auto IsShallow = [](int Depth, Json::parse_event_t /*Event*/,
                            const Json & /*Value*/) {
    return Depth <= MaxAnswerDepth;
  };
  Json Value = Json::parse(*Body, IsShallow, false);
  if (!Value.is_object())
    return std::nullopt;
  return Value;
}

/// Calls \p Read, which reads the answer of \p Address. If it has another form
/// than expected, prints that and returns false.
template <typename ReadFunction>
bool readAnswer(const std::string &Address, const ReadFunction &Read) {
  try {
    Read();
    return true;
  } catch (const Json::exception &Error) {
    fmt::print(stderr, "mimosacartctl: {}: the answer cannot be read: {}\n",
               Address, Error.what());
    return false;
  }
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
    bool IsInForce = false;
    const bool IsReadable = readAnswer(Address, [&] {
      IsInForce =
          Status->value("generation", std::uint64_t(0)) >= Number.value();
    });
    Counts.Answering += IsReadable ? 1 : 0;
    Counts.InForce += IsInForce ? 1 : 0;
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

/// Formats a time in seconds since 1970. A number that is no calendar time is
/// printed as it is.
std::string formatTime(std::int64_t Seconds) {
  try {
    return fmt::format("{:%Y-%m-%d %H:%M:%S}Z",
                       fmt::gmtime(static_cast<std::time_t>(Seconds)));
  } catch (const fmt::format_error &) {
    return std::to_string(Seconds);
  }
}

/// One span of a trace, as a host answers it.
struct ExplainedSpan {
  std::string Host;
  std::string Name;
  double AgeMs = 0;
  double DurationMs = 0;
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// Throws Json::exception if \p Span has another form.
ExplainedSpan parseSpan(const std::string &Host, const Json &Span) {
  ExplainedSpan Result{Host,
                       Span.value("name", ""),
                       Span.value("age_ms", 0.0),
                       Span.value("duration_ms", 0.0),
                       {}};
  for (const auto &[Key, Value] : Span.value("fields", Json::object()).items())
    Result.Fields.emplace_back(Key, Value.get<std::string>());
  return Result;
}

Json toJson(const ExplainedSpan &Span) {
  Json Fields = Json::object();
  for (const auto &[Key, Value] : Span.Fields)
    Fields[Key] = Value;
  return {{"host", Span.Host},
          {"name", Span.Name},
          {"age_ms", Span.AgeMs},
          {"duration_ms", Span.DurationMs},
          {"fields", Fields}};
}

void printSpans(const std::vector<ExplainedSpan> &Spans) {
  for (const ExplainedSpan &Span : Spans) {
    fmt::print("{:>9.2f} ms  {:<14} {:<9} {:>9.2f} ms ",
               Spans.front().AgeMs - Span.AgeMs, Span.Host, Span.Name,
               Span.DurationMs);
    for (const auto &[Key, Value] : Span.Fields)
      fmt::print(" {}={}", Key, Value);
    fmt::print("\n");
  }
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
    const bool IsReadable = readAnswer(Address, [&] {
      if (Options.Format == OutputFormat::Table)
        printStatus(*Status);
    });
    if (IsReadable)
      Statuses.push_back(*Status);
    else
      ++UnreachableHosts;
  }
  if (Options.Format == OutputFormat::Json)
    fmt::print("{}\n", toJsonText(Statuses, JsonIndent));
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
    fmt::print("{}\n", toJsonText(Rows, JsonIndent));
  return ExitStatus::Done;
}

ExitStatus runExplain(OperatorClient &Client, const std::string &TraceId,
                      const VerbOptions &Options) {
  std::vector<ExplainedSpan> Spans;
  for (const std::string &Address : Client.settings().AdminAddresses) {
    const auto Response = readJson(Client, Address, "/v1/explain/" + TraceId);
    if (!Response)
      continue;
    readAnswer(Address, [&] {
      const std::string Host = Response->value("host", "");
      for (const Json &Span : Response->value("spans", Json::array()))
        Spans.push_back(parseSpan(Host, Span));
    });
  }
  if (Spans.empty()) {
    fmt::print(stderr,
               "mimosacartctl: no host that answers has spans of trace {}; "
               "hosts keep the spans of their latest requests only\n",
               TraceId);
    return ExitStatus::Unreachable;
  }
  // The oldest span comes first.
  std::stable_sort(Spans.begin(), Spans.end(),
                   [](const ExplainedSpan &Left, const ExplainedSpan &Right) {
                     return Left.AgeMs > Right.AgeMs;
                   });
  if (Options.Format == OutputFormat::Table) {
    printSpans(Spans);
    return ExitStatus::Done;
  }
  Json Rows = Json::array();
  for (const ExplainedSpan &Span : Spans)
    Rows.push_back(toJson(Span));
  fmt::print("{}\n", toJsonText(Rows, JsonIndent));
  return ExitStatus::Done;
}

} // namespace mimosacart
