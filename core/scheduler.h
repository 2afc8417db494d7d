/// \file
/// The owner's role: runs attempts on the backend servers that this host owns
/// and lets the others wait, ordered by priority and deadline.
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

/// How a call to a backend server ended, as the layer below saw it.
enum class CallEnd : std::uint8_t {
  /// A whole answer came.
  Answered,
  /// No byte of the request was written.
  NotSent,
  /// The connection failed after the first byte was written.
  Broken,
  /// No whole answer came in time.
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
  /// When to give up.
  Duration Timeout{};
  /// Time left for the server, sent to it as the deadline.
  Duration Remaining{};
  /// Attempts that the server's own calls may use.
  unsigned AttemptsLeft = 1;
  /// Whether the request may be written to a connection that was idle.
  bool MayReuseIdle = true;
};

/// Constants of the scheduler.
struct SchedulerPolicy {
  PoolPolicy Pool;
  /// Calls that may not be repeated are not cut off at their deadline, so
  /// that their answer can still be recorded.
  Duration NonIdempotentGrace = std::chrono::seconds(30);
  /// Attempts that wait at this host for one service at most.
  std::size_t MaxQueued = 10'000;
  /// Part of the time left that an attempt may be expected to wait. A longer
  /// queue answers no more requests; it makes all of them late.
  double MaxWaitShare = 0.5;
};

/// Runs and queues attempts for the servers that this host owns.
class Scheduler {
public:
  struct Hooks {
    std::function<void(ServerCall)> Start;
    std::function<void(CallId)> Cancel;
    /// Told how each submitted attempt ended.
    std::function<void(const WorkItem &, const AttemptResult &)> Finished;
    /// Told when free slots or queue of the service changed.
    std::function<void(const ServiceName &)> LoadChanged;
    /// Told of a server that says it is leaving.
    std::function<void(const ServerName &)> DrainSeen;
    /// Told of a connection that broke while it ran the attempt.
    std::function<void(const WorkItem &, const ServerName &)> CrashSeen;
    /// Whether another host is believed to have usable servers.
    std::function<bool(const ServiceName &)> HasAlternative;
  };

  Scheduler(SchedulerPolicy Policy, Hooks Callbacks);

  /// Replaces the owned servers of \p Subject.
  void assign(Instant Now, const Service &Subject,
              const std::vector<BackendServer> &Owned,
              const std::function<bool(const ServerName &)> &IsNew);
  /// Gives up the service; queued attempts end as not run.
  void removeService(Instant Now, const ServiceName &Name);

  /// Takes an attempt: starts it, queues it or refuses it.
  void submit(Instant Now, WorkItem Item);
  /// Withdraws an attempt; a running idempotent call is cancelled.
  void cancel(Instant Now, const AttemptKey &Key);
  /// Takes up to \p Count queued attempts out, for a host with free slots.
  std::vector<WorkItem> take(const ServiceName &Name, std::size_t Count);
  /// Drops queued attempts of an origin that is gone.
  void dropOrigin(const HostName &Origin, IncarnationId Incarnation);

  void onCallResult(Instant Now, CallId Id, const CallResult &Result);
  void setDraining(Instant Now, const ServerName &Server, bool Draining);

  /// Refuses attempts that have waited past their time and starts those that
  /// a server came back for.
  void tick(Instant Now);

  /// Load of \p Name at this host; zeros if it owns none of its servers.
  ServiceLoad load(Instant Now, const ServiceName &Name) const;
  bool owns(const ServiceName &Name) const;
  /// The server that runs the attempt; empty while it is not running here.
  ServerName serverOf(const AttemptKey &Key) const;
  Duration meanServiceTime(const ServiceName &Name) const;
  std::size_t runningCalls() const { return Running.size(); }
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

  bool tryStart(Instant Now, ServiceState &At, WorkItem &Item);
  void startQueued(Instant Now, const ServiceName &Name, ServiceState &At);
  bool canMeetDeadline(Instant Now, const ServiceState &At,
                       const WorkItem &Item) const;
  void shedForHigher(const WorkItem &Arriving, ServiceState &At);
  void finish(const WorkItem &Item, AttemptEnd End, RefusalReason Reason);
  CallVerdict judge(const CallResult &Result) const;
  AttemptResult toAttemptResult(const RunningCall &Call,
                                const CallResult &Result,
                                Duration ServiceTime) const;

  const SchedulerPolicy Policy;
  const Hooks Callbacks;
  std::unordered_map<ServiceName, ServiceState> Services;
  /// Services whose queue may hold something, so that a tick costs nothing for
  /// the others.
  std::set<ServiceName> Waiting;
  std::unordered_map<CallId, RunningCall> Running;
  std::map<AttemptKey, CallId> CallsByAttempt;
  std::uint64_t LastCall = 0;
};

/// Header of a backend server's refusal that proves the request did not run.
inline constexpr const char *ServerOutcomeHeader = "Backend-Outcome";
/// Header of a backend server that says whether it is leaving.
inline constexpr const char *ServerStateHeader = "Backend-State";
/// Header that says retries below were already used up.
inline constexpr const char *RetryHeader = "Mimosacart-Retry";

} // namespace mimosacart
