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
  /// The file was not accepted; nothing changed.
  Refused = 3,
  /// Another operator's file was accepted first.
  LostRace = 4,
  /// Whether the file was accepted is unknown.
  Unknown = 5,
  /// Accepted, but not yet in force on every host that answers.
  NotInForce = 6,
};

/// Format of the printed results.
enum class OutputFormat : std::uint8_t { Table, Json };

/// Options of the verbs.
struct VerbOptions {
  OutputFormat Format = OutputFormat::Table;
  /// If set, `apply` submits the file only if this generation is current.
  std::optional<Generation> ExpectedGeneration;
  /// Longest time that `apply` waits until the file is in force.
  Duration Wait = std::chrono::seconds(10);
};

/// Checks a configuration file and prints every error in it.
ExitStatus runValidate(const std::string &Path);
/// Prints the changes that applying the file would make.
ExitStatus runDiff(OperatorClient &Client, const std::string &Path);
/// Submits the file and waits until it is in force on every host that answers.
ExitStatus runApply(OperatorClient &Client, const std::string &Path,
                    const VerbOptions &Options);
/// Prints the state of each host, its generation and its backend servers.
ExitStatus runStatus(OperatorClient &Client, const VerbOptions &Options);
/// Prints the accepted configurations, latest first.
ExitStatus runHistory(OperatorClient &Client, const VerbOptions &Options);
/// Prints the spans that the hosts recorded for one request. \p TraceId is the
/// trace id in its answer.
ExitStatus runExplain(OperatorClient &Client, const std::string &TraceId,
                      const VerbOptions &Options);

} // namespace mimosacart
