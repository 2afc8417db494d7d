/// \file
/// Owner side of an attempt: runs attempts on the backend servers that this
/// host owns and queues the rest, ordered by priority and deadline.
#pragma once

#include "core/configuration.h"
#include "core/server_pool.h"
#include "core/time.h"
#include "core/work_queue.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// How a call to a backend server ended, as reported by the layer that
/// makes the calls.
enum class CallEnd : std::uint8_t {
  /// A complete answer was received.
  Answered,
  /// No byte of the request was written.
  NotSent,
  /// The connection failed after the first byte was written.
  Broken,
  /// No complete answer was received before the timeout.
  TimedOut,
};

/// Result of one call to a backend server.
struct CallResult {
  CallEnd End = CallEnd::NotSent;
  AnswerPtr Reply;
};

/// A call to a backend server that is to be made.
struct ServerCall {
  CallId Id;
  BackendServer Server;
  RequestPtr Request;
  /// Time after which the call ends as timed out.
  Duration Timeout{};
  /// Time left until the deadline, sent to the server.
  Duration Remaining{};
  /// Attempts left for calls that the server makes to serve the request.
  unsigned AttemptsLeft = 1;
  /// Whether the request may be sent on a reused idle connection.
  bool MayReuseIdle = true;
};

/// Queueing and timeout parameters of the scheduler.
struct SchedulerPolicy {
  PoolPolicy Pool;
  /// Time after the deadline at which a call that is not idempotent times out.
  /// Until then its late answer can still be recorded.
  Duration NonIdempotentGrace = std::chrono::seconds(30);
  /// Maximum number of queued attempts per service at this host.
  std::size_t MaxQueued = 10'000;
  /// Maximum expected wait in the queue, as a fraction of an attempt's
  /// remaining time less the estimated service time; an attempt that would wait
  /// longer is refused. A longer queue does not raise throughput and only makes
  /// every answer late.
  double MaxWaitShare = 0.5;
};

/// Runs and queues attempts for the servers that this host owns.
class Scheduler {
public:
  struct Hooks {
    /// Starts a call to a backend server; its result goes to onCallResult().
    std::function<void(ServerCall)> Start;
    /// Cancels a call that was started.
    std::function<void(CallId)> Cancel;
    /// Called when an attempt ends at this host, except by cancel().
    std::function<void(const WorkItem &, const AttemptResult &)> Finished;
    /// Called when the free slots or the queue of the service may have changed.
    std::function<void(const ServiceName &)> LoadChanged;
    /// Called when a server announces that it is draining.
    std::function<void(const ServerName &)> DrainSeen;
    /// Called when a server's connection broke while it ran the attempt.
    std::function<void(const WorkItem &, const ServerName &)> CrashSeen;
    /// Returns whether another host is known to have usable servers.
    std::function<bool(const ServiceName &)> HasAlternative;
  };

  Scheduler(SchedulerPolicy Policy, Hooks Callbacks);

  /// Replaces the owned servers of \p ServiceConfig. An added server for which
  /// \p IsNew returns true starts with one slot and ramps up.
  void assign(Instant Now, const Service &ServiceConfig,
              const std::vector<BackendServer> &Owned,
              const std::function<bool(const ServerName &)> &IsNew);
  /// Removes the service from this host; its queued attempts are refused as not
  /// run.
  void removeService(Instant Now, const ServiceName &Name);

  /// Starts, queues or refuses an attempt.
  void submit(Instant Now, WorkItem Item);
  /// Removes a queued attempt or cancels its running call. A running call that
  /// is not idempotent continues.
  void cancel(Instant Now, const AttemptKey &Key);
  /// Removes up to \p Count attempts from the front of the queue and returns
  /// them, for a host with free slots.
  std::vector<WorkItem> takeQueued(const ServiceName &Name, std::size_t Count);
  /// Ends queued attempts of an origin that is gone; running calls continue.
  void dropOrigin(const HostName &Origin, IncarnationId Incarnation);

  void onCallResult(Instant Now, CallId Id, const CallResult &Result);
  void setDraining(Instant Now, const ServerName &Server, bool Draining);

  /// Refuses queued attempts whose deadline has passed and starts queued
  /// attempts for which a server has become usable.
  void tick(Instant Now);

  /// Returns the load of \p Name at this host; all zero if this host owns none
  /// of its servers.
  ServiceLoad load(Instant Now, const ServiceName &Name) const;
  bool owns(const ServiceName &Name) const;
  /// Returns the server that runs the attempt; empty if it is not running at
  /// this host.
  ServerName serverOf(const AttemptKey &Key) const;
  Duration meanServiceTime(const ServiceName &Name) const;
  std::size_t runningCalls() const { return RunningCalls.size(); }
  std::size_t queuedAttempts() const;
  std::vector<ServerView> servers(Instant Now) const;

private:
  struct ServiceState {
    explicit ServiceState(const PoolPolicy &Policy) : Pool(Policy) {}
    ServerPool Pool;
    WorkQueue Queue;
  };
  struct RunningCall {
    WorkItem Item;
    BackendServer Server;
    Instant StartedAt{};
  };

  bool tryStart(Instant Now, ServiceState &State, WorkItem &Item);
  void startQueued(Instant Now, const ServiceName &Name, ServiceState &State);
  bool canMeetDeadline(Instant Now, const ServiceState &State,
                       const WorkItem &Item) const;
  void dropLowerPriority(const WorkItem &Arriving, ServiceState &State);
  void finish(const WorkItem &Item, AttemptEnd End, RefusalReason Reason);
  CallOutcome classifyCall(const CallResult &Result) const;
  AttemptResult toAttemptResult(const RunningCall &Call,
                                const CallResult &Result,
                                Duration ServiceTime) const;

  const SchedulerPolicy Policy;
  const Hooks Callbacks;
  std::unordered_map<ServiceName, ServiceState> Services;
  /// Services whose queue may not be empty; tick() skips all others.
  std::set<ServiceName> QueuedServices;
  std::unordered_map<CallId, RunningCall> RunningCalls;
  std::map<AttemptKey, CallId> CallsByAttempt;
  std::uint64_t LastCallId = 0;
};

/// Response header by which a backend server states that a request has not run.
inline constexpr const char *ServerOutcomeHeader = "Backend-Outcome";
/// Response header by which a backend server announces that it is draining.
inline constexpr const char *ServerStateHeader = "Backend-State";
/// Response header that marks an error answer as not to be retried, because
/// retries further down the call tree are already exhausted.
inline constexpr const char *RetryHeader = "Mimosacart-Retry";

} // namespace mimosacart
