/// \file
/// Slots, health and service times of the backend servers of one service that
/// this host owns.
#pragma once

#include "core/balancing.h"
#include "core/configuration.h"
#include "core/time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosacart {

/// Parameters of server selection, ramp-up and ejection.
struct PoolPolicy {
  BalancingPolicy Balancing = {true, chooseFastest()};
  /// Time in which a new or returning server ramps up from one slot to all its
  /// slots.
  Duration RampTime = std::chrono::seconds(3);
  /// Number of consecutive failures after which a server is ejected.
  unsigned EjectAfterFailures = 3;
  /// Duration of the first ejection; each further one doubles it up to
  /// \c MaxEjectTime.
  Duration EjectTime = std::chrono::milliseconds(500);
  Duration MaxEjectTime = std::chrono::seconds(8);
  /// Weight of the newest sample in the mean service time of a server.
  double LatencyWeight = 0.1;
  /// A server whose mean service time exceeds this multiple of the median gets
  /// only one request at a time.
  double SlowFactor = 3.0;
};

/// Result of a call with respect to the health of the server.
enum class CallOutcome : std::uint8_t {
  /// The server answered without an error.
  Succeeded,
  /// An error answer, a broken connection or a timeout.
  Failed,
  /// The server refused the request and proved that it did not run.
  Refused,
  /// This host cancelled the call; nothing is known about the server.
  Cancelled,
};

/// State of a server with respect to new requests.
enum class ServerState : std::uint8_t {
  Ready,
  Ramping,
  Slow,
  Ejected,
  Draining
};

/// Returns the name of \p Value on status pages.
const char *toString(ServerState Value);

/// Snapshot of one server for status pages.
struct ServerView {
  BackendServer Server;
  ServerState State = ServerState::Ready;
  unsigned InFlight = 0;
  /// Maximum number of concurrent requests from this host.
  unsigned Limit = 0;
  Duration MeanServiceTime{};
  std::uint64_t Calls = 0;
};

/// Tracks the slots, health and service times of the owned servers of one
/// service and selects a server for each request.
class ServerPool {
public:
  explicit ServerPool(PoolPolicy Policy) : Policy(std::move(Policy)) {}

  /// Replaces the set of owned servers. A server that stays at the same address
  /// keeps its state. A server that was added and for which \p IsNew returns
  /// true, or whose address changed, ramps up its slots.
  void assign(Instant Now, const std::vector<BackendServer> &Owned,
              const std::function<bool(const ServerName &)> &IsNew);

  void setDraining(const ServerName &Server, bool Draining);

  /// Returns the server with a free slot that the balancing policy chooses.
  /// \p Avoid is returned only if no other server is free, ejected servers only
  /// if \p AllowEjected is true.
  std::optional<BackendServer> pick(Instant Now, const ServerName &Avoid,
                                    bool AllowEjected) const;

  /// Records the start of a call to \p Server.
  void beginCall(const ServerName &Server);
  /// Records the end of a call to \p Server.
  void finishCall(Instant Now, const ServerName &Server, CallOutcome Outcome,
                  Duration ServiceTime);

  /// Number of usable slots without a call in flight.
  unsigned freeSlots(Instant Now) const;
  /// Number of slots of servers that are neither draining nor ejected.
  unsigned usableSlots(Instant Now) const;
  /// Average of the servers' mean service times over successful calls; zero
  /// before the first one.
  Duration meanServiceTime() const;
  /// Service time that few calls exceed: the mean plus four times the mean
  /// deviation, as in TCP's retransmission timer (RFC 6298).
  Duration estimatedMaxServiceTime() const;
  bool empty() const { return Servers.empty(); }
  std::vector<ServerView> view(Instant Now) const;

private:
  struct ServerEntry {
    BackendServer Server;
    bool Owned = true;
    bool Draining = false;
    unsigned InFlight = 0;
    unsigned ConsecutiveFailures = 0;
    /// Ejections since the last successful call.
    unsigned Ejections = 0;
    Instant EjectedUntil{};
    /// Start of the ramp-up; none if the server never had to ramp up.
    std::optional<Instant> RampStart;
    /// Mean service time in microseconds; zero before the first successful
    /// call.
    double MeanMicroseconds = 0;
    /// Mean deviation from the mean service time, in microseconds.
    double DeviationMicroseconds = 0;
    std::uint64_t Calls = 0;
  };

  void recordServiceTime(ServerEntry &Entry, Duration ServiceTime) const;
  unsigned slotLimit(Instant Now, const ServerEntry &Entry) const;
  bool isEjected(Instant Now, const ServerEntry &Entry) const;
  bool isSlow(const ServerEntry &Entry) const;
  double medianMeanMicroseconds() const;
  Duration
  averageOf(const std::function<double(const ServerEntry &)> &Value) const;
  /// Counts a failure and ejects the server if it has failed too often.
  void recordFailure(Instant Now, ServerEntry &Entry);

  PoolPolicy Policy;
  std::map<ServerName, ServerEntry> Servers;
};

} // namespace mimosacart
