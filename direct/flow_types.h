/// \file
/// Inputs and outputs of RequestFlow.
#pragma once

#include "direct/discovered_server.h"
#include "direct/hedge_policy.h"
#include "direct/region_rules.h"
#include "direct/route_configuration.h"

#include <array>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace mimosacart {

/// A request to be forwarded to one of the servers of a service.
struct FlowRequest {
  RequestId Id;
  HostRoute Route;
  ServiceSettings Service;
  RequestPtr Request;
  Instant Arrived{};
  /// The earlier of the caller's and the route's timeout.
  Instant Deadline{};
  /// Workspace of the caller; null if the route needs none.
  WorkspacePtr Workspace;
  /// The caller's key is meant for this host: a server gets the name of the
  /// workspace in its place. Set for all requests if the configuration has
  /// workspaces; FairShare applies only then.
  bool ReplacesKey = false;
  /// 0 is the most urgent. That of the workspace, if it has one, else of the
  /// route.
  unsigned Priority = 0;
  /// Equal for identical requests of one caller.
  std::uint64_t Fingerprint = 0;
  /// Data centres whose servers may run the request; not set if all may.
  DataCentreSet DataCentres = std::nullopt;

  bool isMostUrgent() const { return Priority == 0; }
};

/// A call to a server that the host has to make.
struct DirectCall {
  CallId Id;
  DiscoveredServer Server;
  RequestPtr Request;
  /// Time that the server has for its answer; sent with the request.
  Duration Remaining{};
  /// Time after which the call fails; longer than Remaining.
  Duration Timeout{};
  /// See FlowRequest.
  WorkspacePtr Workspace;
  bool ReplacesKey = false;
};

/// A health probe that the host has to make.
struct DirectProbe {
  CallId Id;
  DiscoveredServer Server;
  std::string Path;
  Duration Timeout{};
  /// Whether the probe must not use an idle connection.
  bool NewConnection = false;
};

/// Result of a request: the answer of a server or a refusal.
struct FlowResult {
  RequestId Id;
  /// Null if the request was refused.
  AnswerPtr Reply;
  Refusal Refused;
  std::string Route;
  ServiceName Service;
  /// Server that sent the answer; empty for a refusal.
  ServerName Server;
  /// Calls that reached a server or may have reached one.
  unsigned Attempts = 0;
  /// Time from arrival to this result.
  Duration Total{};
  /// The part of it in which no call was open: probes, holding, and processing
  /// in this host.
  Duration Added{};
};

/// Counters since the start of the process, for metrics.
struct FlowCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Probes = 0;
  /// Attempts after the first of each request, hedges included.
  std::uint64_t Retries = 0;
  /// Hedges that were started; some find no nominal server and are not sent.
  std::uint64_t Hedges = 0;
  /// Hedges that were sent, and those of them that answered first.
  std::uint64_t HedgesSent = 0;
  std::uint64_t HedgesWon = 0;
  /// Hedges that were due and not sent, by HedgeRefusal.
  std::array<std::uint64_t, static_cast<std::size_t>(HedgeRefusal::Count)>
      HedgesRefused{};
  /// Requests that were held because no server could meet their objective.
  std::uint64_t Held = 0;
  /// Sends that did not take place because the caller had left, or because the
  /// deadline had passed, although no event had told of it.
  std::uint64_t SendsToGoneCallers = 0;
  std::uint64_t LateSends = 0;
  /// Requests whose first wait was to leave a slot to one that goes first.
  std::uint64_t Yielded = 0;
  /// Requests refused before the end of their hold because too many others go
  /// first.
  std::uint64_t HoldsCutShort = 0;
  /// Answers in which a server's limit or another wish could not be read.
  std::uint64_t InvalidWishes = 0;
};

/// Retries to one service, for metrics.
struct RetryBudgetState {
  ServiceName Service;
  /// Retries that count as used.
  std::size_t Used = 0;
  /// Retries that this host may have used at once.
  double Allowed = 0;
};

/// Formats \p Value for a log field, in whole milliseconds.
inline std::string toMsText(Duration Value) {
  return std::to_string(wholeMilliseconds(Value));
}

using FlowFields = std::vector<std::pair<std::string, std::string>>;
using FlowLogHook = std::function<void(const char *Event, const FlowFields &)>;

} // namespace mimosacart
