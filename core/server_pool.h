/// \file
/// The backend servers of one service whose slots this host owns.
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

/// Constants of ServerPool's decisions.
struct PoolPolicy {
  BalancingPolicy Balancing = {true, chooseFastest()};
  /// A server that joins reaches all its slots in this time.
  Duration RampTime = std::chrono::seconds(3);
  /// Failures in a row after which a server is ejected.
  unsigned EjectAfterFailures = 3;
  /// First ejection; doubled with each further one up to the maximum.
  Duration EjectTime = std::chrono::milliseconds(500);
  Duration MaxEjectTime = std::chrono::seconds(8);
  /// Weight of the newest sample in the mean service time of a server.
  double LatencyWeight = 0.1;
  /// A server this many times slower than the median is used last, and for
  /// one request at a time.
  double SlowFactor = 3.0;
};

/// How a call looked from the server's side.
enum class CallVerdict : std::uint8_t {
  /// A proper answer.
  Good,
  /// An error answer, a broken connection or a timeout.
  Bad,
  /// A refusal that proves the request did not run.
  Shed,
  /// Cancelled by us; says nothing about the server.
  Cancelled,
};

/// Why a server is not given work now.
enum class ServerState : std::uint8_t {
  Ready,
  Ramping,
  Slow,
  Ejected,
  Draining
};

/// Word used for \p Value on status pages.
const char *toString(ServerState Value);

/// One server for status pages.
struct ServerView {
  BackendServer Server;
  ServerState State = ServerState::Ready;
  unsigned InFlight = 0;
  unsigned Limit = 0;
  Duration MeanServiceTime{};
  std::uint64_t Calls = 0;
};

/// Slots, health and latency of the servers that this host owns.
class ServerPool {
public:
  explicit ServerPool(PoolPolicy Policy) : Policy(std::move(Policy)) {}

  /// Replaces the set of owned servers; known ones keep their state. A server
  /// for which \p IsNew holds starts slowly.
  void assign(Instant Now, const std::vector<BackendServer> &Owned,
              const std::function<bool(const ServerName &)> &IsNew);

  void setDraining(const ServerName &Server, bool Draining);

  /// The free server that should answer first. \p Avoid is only taken if no
  /// other is free; ejected servers only if \p AllowEjected.
  std::optional<BackendServer> pick(Instant Now, const ServerName &Avoid,
                                    bool AllowEjected) const;

  void begin(const ServerName &Server);
  void finish(Instant Now, const ServerName &Server, CallVerdict Verdict,
              Duration ServiceTime);

  /// Slots that could take a request now.
  unsigned freeSlots(Instant Now) const;
  /// Slots of servers that are neither draining nor ejected.
  unsigned usableSlots(Instant Now) const;
  /// Mean service time over the good calls of all servers; zero at first.
  Duration meanServiceTime() const;
  /// A service time that few calls exceed: the mean and four times the mean
  /// deviation, as for TCP's retransmission timer (RFC 6298).
  Duration likelyServiceTime() const;
  bool empty() const { return Servers.empty(); }
  std::vector<ServerView> view(Instant Now) const;

private:
  struct State {
    BackendServer Server;
    bool Owned = true;
    bool Draining = false;
    unsigned InFlight = 0;
    unsigned FailuresInRow = 0;
    unsigned Ejections = 0;
    Instant EjectedUntil{};
    /// Time from which the ramp counts; none if the server is warm.
    std::optional<Instant> RampStart;
    /// Microseconds; zero before the first good call.
    double MeanMicroseconds = 0;
    /// Mean deviation from the mean, in microseconds.
    double DeviationMicroseconds = 0;
    std::uint64_t Calls = 0;
  };

  void recordServiceTime(State &Of, Duration ServiceTime) const;
  unsigned limitOf(Instant Now, const State &Of) const;
  bool isEjected(Instant Now, const State &Of) const;
  bool isSlow(const State &Of) const;
  double medianMicroseconds() const;
  Duration averageOf(const std::function<double(const State &)> &Value) const;
  void recordFailure(Instant Now, State &Of);

  PoolPolicy Policy;
  std::map<ServerName, State> Servers;
};

} // namespace mimosacart
