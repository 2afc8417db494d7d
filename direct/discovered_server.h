/// \file
/// Discovered servers and the results of calls and probes to them, as the
/// platform layer reports them.
#pragma once

#include "core/ids.h"
#include "core/request.h"
#include "core/scheduler.h"
#include "core/time.h"

#include <optional>
#include <string>

namespace mimosacart {

/// A server's entry in discovery.
struct DiscoveredServer {
  ServerName Id;
  ServiceName Service;
  /// IP address and port.
  std::string Address;
  std::string DataCentre;
  /// Requests that the server runs at the same time.
  unsigned Slots = 1;
  /// The server is shutting down and accepts no new requests.
  bool Draining = false;
  /// Remaining time for which the server is slow after its start.
  Duration WarmUpLeft{};
  /// Identifies the start of the server's process. Another value means another
  /// incarnation, to which no earlier state applies.
  std::uint64_t Incarnation = 0;

  friend bool operator==(const DiscoveredServer &,
                         const DiscoveredServer &) = default;
};

/// Slowness of a server that runs at its normal speed, in per cent.
inline constexpr unsigned NominalSlownessPercent = 100;

/// Load of a server at the moment of its answer.
struct ServerLoad {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;
  /// Current duration of work, as a percentage of the normal one.
  unsigned SlownessPercent = NominalSlownessPercent;

  friend bool operator==(const ServerLoad &, const ServerLoad &) = default;
};

/// What a server says in an answer about the requests that it takes.
struct ServerWishes {
  /// Requests a second that the server takes from all hosts together; not set
  /// if it names no limit.
  std::optional<double> RequestsPerSecond;
  /// The server is shutting down.
  bool Leaving = false;
  /// Time for which the server wants no requests of this host; set on refusals
  /// only.
  std::optional<Duration> QuietFor;
  /// A value could not be read and is ignored.
  bool Invalid = false;
  /// Remaining time for which the server is cold; not set if it does not say.
  std::optional<Duration> WarmUpLeft = std::nullopt;

  friend bool operator==(const ServerWishes &, const ServerWishes &) = default;
};

/// A complete answer of a server to a request.
struct ServerAnswer {
  AnswerPtr Reply;
  std::optional<ServerLoad> Load;
  ServerWishes Wishes;
  /// The server states that it did not run the request.
  bool NotRun = false;
  /// The address belongs to another server now, which did not run it either.
  bool WrongServer = false;
  /// The answer carries the server's signature.
  bool Signed = false;
  /// The connection that it came on.
  ConnectionUse Use{};
};

/// Result of a call to a server.
struct ServerCallResult {
  CallEnd End = CallEnd::NotSent;
  /// Set if the call was answered.
  ServerAnswer Answer;
};

/// Result of a health probe.
struct ProbeResult {
  /// A complete answer was received.
  bool Answered = false;
  bool Healthy = false;
  /// Server that answered; empty if the answer does not name it.
  ServerName Server;
  std::optional<ServerLoad> Load;
  ServerWishes Wishes;
};

} // namespace mimosacart
