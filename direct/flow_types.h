/// \file
/// What RequestFlow is given and what it asks for.
#pragma once

#include "direct/discovered_server.h"
#include "direct/route_configuration.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace mimosacart {

/// A request that is to be served by one of the servers of a service.
struct FlowRequest {
  RequestId Id;
  HostRoute Route;
  ServiceSettings Service;
  RequestPtr Request;
  Instant Arrived{};
  /// When the caller or the route's timeout gives up, whichever is earlier.
  Instant Deadline{};
  /// Equal for requests that ask for the same thing on behalf of one caller.
  std::uint64_t Fingerprint = 0;
};

/// A call to be made.
struct DirectCall {
  CallId Id;
  DiscoveredServer Server;
  RequestPtr Request;
  /// Time that the server is given.
  Duration Remaining{};
  /// When to give up; longer than what the server is given.
  Duration Timeout{};
};

/// A health probe to be made.
struct DirectProbe {
  CallId Id;
  DiscoveredServer Server;
  std::string Path;
  Duration Timeout{};
};

/// How a request ended. Either an answer of a server, or a refusal.
struct FlowResult {
  RequestId Id;
  AnswerPtr Reply;
  Refusal Refused;
  std::string Route;
  ServiceName Service;
  ServerName Server;
  unsigned Arrivals = 0;
  /// From arrival to the end.
  Duration Total{};
  /// The part of it in which no server had the request: probes, holding, our
  /// own work.
  Duration Added{};
};

/// Numbers for metrics.
struct FlowCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Held = 0;
};

/// Whole milliseconds as a log shows them.
inline std::string toMsText(Duration Value) {
  return std::to_string(wholeMilliseconds(Value));
}

using FlowFields = std::vector<std::pair<std::string, std::string>>;
using FlowLogHook = std::function<void(const char *Event, const FlowFields &)>;

} // namespace mimosacart
