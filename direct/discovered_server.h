/// \file
/// What discovered servers say of themselves, as the layers round the core
/// hand it in.
#pragma once

#include "core/ids.h"
#include "core/request.h"
#include "core/scheduler.h"
#include "core/time.h"

#include <optional>
#include <string>

namespace mimosacart {

/// A server as discovery tells of it.
struct DiscoveredServer {
  ServerName Id;
  ServiceName Service;
  /// IP address and port.
  std::string Address;
  std::string DataCentre;
  /// Requests that the server runs at the same time.
  unsigned Slots = 1;
  /// The server is leaving and wants no new requests.
  bool Draining = false;
  /// How much longer the server is slow after its start.
  Duration WarmUpLeft{};
  /// Start of the server's process; another value is another incarnation,
  /// which knows nothing of the one before.
  std::uint64_t Incarnation = 0;

  friend bool operator==(const DiscoveredServer &,
                         const DiscoveredServer &) = default;
};

/// How long work takes on a server that nothing slows down, in per cent.
inline constexpr unsigned NominalSlownessPercent = 100;

/// Load of a server at the moment of its answer.
struct ServerLoad {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;
  /// How long work takes there now.
  unsigned SlownessPercent = NominalSlownessPercent;

  friend bool operator==(const ServerLoad &, const ServerLoad &) = default;
};

/// A whole answer of a server to a request.
struct ServerAnswer {
  AnswerPtr Reply;
  std::optional<ServerLoad> Load;
  /// The server states that it did not run the request.
  bool NotRun = false;
  /// The address belongs to another server now, which did not run it either.
  bool WrongServer = false;
  /// The server closes its connections because it is leaving.
  bool Leaving = false;
  /// The answer carries the server's signature.
  bool Signed = false;
};

/// How a call to a server ended.
struct ServerCallResult {
  CallEnd End = CallEnd::NotSent;
  /// Set if the call was answered.
  ServerAnswer Answer;
};

/// What a health probe brought.
struct ProbeResult {
  /// A whole answer came.
  bool Answered = false;
  bool Healthy = false;
  /// Who answered, if it said so.
  ServerName Server;
  std::optional<ServerLoad> Load;
};

} // namespace mimosacart
