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

constexpr auto InForceInterval = std::chrono::milliseconds(100);

/// Reads and checks \p Path; prints faults and returns nothing if there are.
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

struct InForceCount {
  unsigned InForce = 0;
  unsigned Answering = 0;
};

InForceCount countInForce(OperatorClient &Client, Generation Number) {
  InForceCount Count;
  for (const std::string &Address : Client.settings().AdminAddresses) {
    const auto Status = readJson(Client, Address, "/v1/status");
    if (!Status)
      continue;
    ++Count.Answering;
    if (Status->value("generation", std::uint64_t(0)) >= Number.value())
      ++Count.InForce;
  }
  return Count;
}

ExitStatus reportInForce(OperatorClient &Client, Generation Number,
                         Duration Wait) {
  const auto Until = std::chrono::steady_clock::now() + Wait;
  InForceCount Count;
  while (std::chrono::steady_clock::now() < Until) {
    Count = countInForce(Client, Number);
    if (Count.Answering > 0 && Count.InForce == Count.Answering)
      break;
    std::this_thread::sleep_for(InForceInterval);
  }
  fmt::print("in force on {} of {} hosts that answer, {} listed\n",
             Count.InForce, Count.Answering,
             Client.settings().AdminAddresses.size());
  const bool Everywhere =
      Count.Answering > 0 && Count.InForce == Count.Answering;
  return Everywhere ? ExitStatus::Done : ExitStatus::NotInForce;
}

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
  for (const Service &Subject : File->second.Services) {
    Servers += Subject.Servers.size();
    Kinds += Subject.Kinds.size();
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
  switch (Result.End) {
  case ApplyEnd::Accepted:
    fmt::print("accepted as generation {}\n", Result.Accepted.Number.value());
    return reportInForce(Client, Result.Accepted.Number, Options.Wait);
  case ApplyEnd::Refused:
    fmt::print(stderr,
               "mimosacartctl: not accepted, nothing changed: {}; try again\n",
               Result.Message);
    return ExitStatus::Refused;
  case ApplyEnd::LostRace:
    fmt::print(stderr,
               "mimosacartctl: not accepted: {}: generation {} by {}; look at "
               "`mimosacartctl diff` and apply again\n",
               Result.Message, Result.Accepted.Number.value(),
               Result.Accepted.SubmittedBy);
    return ExitStatus::LostRace;
  case ApplyEnd::Unknown:
    break;
  }
  fmt::print(stderr,
             "mimosacartctl: unknown whether accepted: {}; look for submission "
             "{} in `mimosacartctl history`\n",
             Result.Message, Result.Accepted.Submission);
  return ExitStatus::Unknown;
}

ExitStatus runStatus(OperatorClient &Client, const VerbOptions &Options) {
  Json All = Json::array();
  unsigned Silent = 0;
  for (const std::string &Address : Client.settings().AdminAddresses) {
    const auto Status = readJson(Client, Address, "/v1/status");
    if (!Status) {
      ++Silent;
      if (Options.Format == OutputFormat::Table)
        fmt::print("{:<16} does not answer\n", Address);
      continue;
    }
    if (Options.Format == OutputFormat::Table)
      printStatus(*Status);
    All.push_back(*Status);
  }
  if (Options.Format == OutputFormat::Json)
    fmt::print("{}\n", All.dump(2));
  return Silent == 0 ? ExitStatus::Done : ExitStatus::Unreachable;
}

ExitStatus runHistory(OperatorClient &Client, const VerbOptions &Options) {
  const auto Head = Client.readHead();
  if (Head.has_error() && Head.error() == PlatformError::NotFound) {
    fmt::print("no configuration was accepted yet\n");
    return ExitStatus::Done;
  }
  if (Head.has_error()) {
    fmt::print(stderr, "mimosacartctl: {}\n", Head.error().message());
    return ExitStatus::Unreachable;
  }
  std::vector<AcceptedConfiguration> All{Head.value().Current};
  All.insert(All.end(), Head.value().Earlier.begin(),
             Head.value().Earlier.end());
  Json Rows = Json::array();
  for (const AcceptedConfiguration &Each : All) {
    Rows.push_back({{"generation", Each.Number.value()},
                    {"digest", Each.Digest},
                    {"submission", Each.Submission},
                    {"submitted_by", Each.SubmittedBy},
                    {"submitted_at", Each.SubmittedAt}});
    if (Options.Format == OutputFormat::Table)
      fmt::print("{:<6} {} {:<14} {:.12} {}\n", Each.Number.value(),
                 formatTime(Each.SubmittedAt), Each.SubmittedBy, Each.Digest,
                 Each.Submission);
  }
  if (Options.Format == OutputFormat::Json)
    fmt::print("{}\n", Rows.dump(2));
  return ExitStatus::Done;
}

ExitStatus runExplain(OperatorClient &Client, const std::string &TraceId,
                      const VerbOptions &Options) {
  Json All = Json::array();
  for (const std::string &Address : Client.settings().AdminAddresses) {
    const auto Page = readJson(Client, Address, "/v1/explain/" + TraceId);
    if (!Page)
      continue;
    for (Json Step : Page->value("spans", Json::array())) {
      Step["host"] = Page->value("host", "");
      All.push_back(std::move(Step));
    }
  }
  if (All.empty()) {
    fmt::print(stderr,
               "mimosacartctl: no host that answers remembers trace {}; spans "
               "are kept for the latest requests only\n",
               TraceId);
    return ExitStatus::Unreachable;
  }
  // The oldest step comes first.
  std::stable_sort(All.begin(), All.end(), [](const Json &L, const Json &R) {
    return L.value("age_ms", 0.0) > R.value("age_ms", 0.0);
  });
  if (Options.Format == OutputFormat::Json) {
    fmt::print("{}\n", All.dump(2));
    return ExitStatus::Done;
  }
  const double Start = All.front().value("age_ms", 0.0);
  for (const Json &Step : All) {
    fmt::print("{:>9.2f} ms  {:<14} {:<9} {:>9.2f} ms ",
               Start - Step.value("age_ms", 0.0), Step.value("host", ""),
               Step.value("name", ""), Step.value("duration_ms", 0.0));
    for (const auto &[Key, Value] : Step["fields"].items())
      fmt::print(" {}={}", Key, Value.get<std::string>());
    fmt::print("\n");
  }
  return ExitStatus::Done;
}

} // namespace mimosacart
