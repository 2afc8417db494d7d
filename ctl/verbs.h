/// \file
/// The verbs of `mimosacartctl`.
#pragma once

#include "ctl/operator_client.h"

#include <optional>
#include <string>

namespace mimosacart {

/// Exit statuses of `mimosacartctl`.
enum class ExitStatus : int {
  Done = 0,
  /// A host or the platform did not answer.
  Unreachable = 1,
  /// Bad arguments, settings or file.
  BadInput = 2,
  /// The platform did not take the file; nothing changed.
  Refused = 3,
  /// Another operator's file was accepted first.
  LostRace = 4,
  /// It could not be found out whether the file was accepted.
  Unknown = 5,
  /// Accepted, but not yet in force on every host that answers.
  NotInForce = 6,
};

/// How results are printed.
enum class OutputFormat : std::uint8_t { Table, Json };

/// Options of the verbs.
struct VerbOptions {
  OutputFormat Format = OutputFormat::Table;
  std::optional<Generation> ExpectedGeneration;
  /// How long `apply` waits for the hosts.
  Duration Wait = std::chrono::seconds(10);
};

/// Checks a declarative file; prints every fault.
ExitStatus runValidate(const std::string &Path);
/// Prints what applying the file would change.
ExitStatus runDiff(OperatorClient &Client, const std::string &Path);
/// Submits the file and waits until it is in force.
ExitStatus runApply(OperatorClient &Client, const std::string &Path,
                    const VerbOptions &Options);
/// Prints hosts, generations and backend servers.
ExitStatus runStatus(OperatorClient &Client, const VerbOptions &Options);
/// Prints accepted configurations, latest first.
ExitStatus runHistory(OperatorClient &Client, const VerbOptions &Options);
/// Prints the way of one request, by the trace id of its answer.
ExitStatus runExplain(OperatorClient &Client, const std::string &TraceId,
                      const VerbOptions &Options);

} // namespace mimosacart
