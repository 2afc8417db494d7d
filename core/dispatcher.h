/// \file
/// Origin side of a request: places its attempts at hosts that own servers of
/// the service, and decides on retries and hedges.
#pragma once

#include "core/ids.h"
#include "core/owner_load_table.h"
#include "core/peer_messages.h"
#include "core/scheduler.h"
#include "core/time.h"
#include "core/token_bucket.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// Retry, hedging and forwarding parameters of the dispatcher.
struct DispatchPolicy {
  /// Retries that each request adds to the retry budget of its service.
  double RetryShare = 0.1;
  /// Initial value and capacity of the retry budget.
  double RetryBurst = 10;
  /// Hedges that each request of a hedged kind adds to the hedge budget of its
  /// service.
  double HedgeShare = 0.05;
  /// Initial value and capacity of the hedge budget.
  double HedgeBurst = 5;
  /// Hedges that each request of a hedged kind adds to the proven-hedge budget
  /// of its service, without proof that hedges help. A hedge spends from this
  /// budget as well as from the hedge budget. Hedges of requests that take long
  /// on every server never answer first, so they stay rare.
  double HedgeTrialShare = 0.002;
  /// Initial value of the proven-hedge budget; its capacity is \c HedgeBurst.
  double HedgeTrialBurst = 2;
  /// Hedges that a hedge adds to the proven-hedge budget if it answers before
  /// the first attempt.
  double HedgesPerWin = 2;
  /// Fraction of the usable slots that must be free for a hedge.
  double HedgeFreeShare = 0.2;
  /// A hedge starts once a request is open for longer than this quantile of
  /// the attempt latencies of its kind.
  double HedgeQuantile = 0.95;
  /// Latency samples of a kind that are needed before its requests are hedged.
  std::size_t HedgeMinSamples = 100;
  /// Subtracted from the remaining time of a forwarded attempt, so that the
  /// peer's answer can reach the origin before the deadline.
  Duration ForwardMargin = std::chrono::milliseconds(20);
  /// How long after the deadline a late answer to a request that is not
  /// idempotent is still recorded.
  Duration LateAnswerWindow = std::chrono::seconds(60);
  /// Requests are refused once this many crashes with their fingerprint are
  /// recorded.
  std::size_t QuarantineCrashes = 2;
};

/// A request that is handed to the dispatcher.
struct DispatchRequest {
  RequestId Id;
  ServiceName Service;
  RequestKind Kind;
  RequestPtr Request;
  Instant Deadline{};
  std::uint64_t Fingerprint = 0;
};

/// Final or provisional result of a request, with details for logs and traces.
struct DispatchResult {
  AnswerPtr Reply;
  /// Set if \c Reply is null.
  Refusal Refused;
  ServerName Server;
  unsigned Attempts = 0;
  /// Time that the backend server took for the attempt that answered.
  Duration ServiceTime{};
  /// False if a late answer may still replace this result.
  bool Final = true;
};

/// Chooses the host for each attempt of a request, retries failed attempts and
/// hedges slow ones.
class Dispatcher {
public:
  struct Hooks {
    std::function<void(const HostName &, PeerBody)> Send;
    /// Called with each result of a request; a result that is not final may be
    /// followed by another one.
    std::function<void(const DispatchRequest &, const DispatchResult &)>
        Finished;
    /// Returns the number of recorded crashes of requests with this
    /// fingerprint.
    std::function<std::size_t(std::uint64_t Fingerprint)> CrashCount;
    /// Called when an attempt is placed at a host, for traces.
    std::function<void(const DispatchRequest &, AttemptId, const HostName &)>
        Placed;
    /// Called when an attempt ends, for traces.
    std::function<void(const DispatchRequest &, AttemptId,
                       const AttemptResult &)>
        Ended;
  };

  Dispatcher(HostName Self, IncarnationId Incarnation, DispatchPolicy Policy,
             Scheduler &LocalScheduler, OwnerLoadTable &OwnerLoads,
             Hooks Callbacks);

  /// Starts the first attempt of a request. The result is reported by the
  /// Finished hook.
  void start(Instant Now, DispatchRequest Request);
  /// Handles the loss of the caller's connection: cancels the request if it is
  /// idempotent.
  void abandon(Instant Now, RequestId Id);

  /// Handles the result of an attempt that this incarnation created.
  void onAttemptResult(Instant Now, AttemptId Attempt,
                       const AttemptResult &Result);
  /// Handles an attempt that another host forwards to this one. \p Kind is
  /// null if the configuration here does not contain the request's kind.
  void onForwarded(Instant Now, const ForwardedAttempt &Message,
                   const RequestKind *Kind);
  /// Handles an idle peer's request for queued attempts.
  void onWorkRequest(Instant Now, const HostName &From,
                     const WorkRequest &Message);
  /// Handles a change of the service's load at this host or at a peer: asks the
  /// owner with the longest queue for work if this host has free slots and
  /// nothing queued.
  void onLocalLoadChanged(Instant Now, const ServiceName &Service);
  /// Moves queued attempts to other owners after this host lost its last server
  /// of the service.
  void onServiceLost(Instant Now, const ServiceName &Service);
  /// Handles the loss of a host: idempotent attempts that it held fail, and
  /// queued attempts that it originated are dropped.
  void onHostGone(Instant Now, const HostName &Host, IncarnationId Incarnation);

  /// Starts due hedges and ends requests whose deadline has passed.
  void tick(Instant Now);

  std::size_t openRequests() const { return PendingRequests.size(); }
  std::uint64_t retries() const { return RetryCount; }
  std::uint64_t hedges() const { return HedgeCount; }
  std::uint64_t forwards() const { return ForwardCount; }

private:
  struct PendingRequest {
    DispatchRequest Request;
    std::vector<AttemptId> OpenAttempts;
    unsigned AttemptsLeft = 1;
    unsigned AttemptsMade = 0;
    bool Hedged = false;
    /// The second attempt of a hedged request.
    AttemptId HedgeAttempt;
    /// The caller has received a provisional result; a late answer may still be
    /// recorded.
    bool Reported = false;
    /// Whether a failed attempt may have run at a server.
    bool MayHaveRun = false;
    /// Time from which on the request may be hedged; the maximum if it is not
    /// to be hedged.
    Instant HedgeAt = Instant::max();
    /// Time after which a late answer is no longer recorded.
    Instant DiscardAt = Instant::max();
    AttemptResult LastResult;
  };
  struct Attempt {
    RequestId ParentRequest;
    /// Host that the attempt was last sent to by this host. That host may have
    /// forwarded it.
    HostName Holder;
    Instant StartedAt{};
  };
  struct ServiceBudget {
    TokenBucket Retries;
    TokenBucket Hedges;
    /// The proven-hedge budget, see DispatchPolicy::HedgeTrialShare.
    TokenBucket ProvenHedges;
  };
  /// Recent attempt latencies of one request kind, for the hedging quantile.
  struct KindLatencies {
    std::vector<Duration> Samples;
    /// Samples recorded so far, including overwritten ones.
    std::size_t TotalSamples = 0;
    /// The hedging quantile; zero before it is first computed.
    Duration Quantile{};
  };

  void placeAttempt(Instant Now, PendingRequest &Pending,
                    const ServerName &Avoid);
  std::optional<HostName> chooseHost(Instant Now,
                                     const ServiceName &Service) const;
  void sendAttempt(Instant Now, const PendingRequest &Pending, AttemptId Id,
                   const HostName &To, const ServerName &Avoid);
  void forwardItem(Instant Now, const HostName &To, const WorkItem &Item);
  /// Forwards a queued attempt and, if this host is its origin, records the new
  /// holder.
  void reassignItem(Instant Now, const HostName &To, const WorkItem &Item);
  /// Returns whether to retry after \p Result. A retry has then been spent from
  /// the retry budget.
  bool mayRetry(Instant Now, PendingRequest &Pending,
                const AttemptResult &Result);
  void finish(Instant Now, RequestId Id, DispatchResult Result);
  void finishWithLastResult(Instant Now, PendingRequest &Pending);
  void expireDeadline(Instant Now, PendingRequest &Pending);
  void cancelOpenAttempts(Instant Now, PendingRequest &Pending);
  void tryHedge(Instant Now, PendingRequest &Pending);
  bool hasHeadroomForHedge(Instant Now, const ServiceName &Service) const;
  void recordLatency(const PendingRequest &Pending, Duration Latency);
  void requestWork(Instant Now, const ServiceName &Service);
  ServiceBudget &budgetOf(const ServiceName &Service);
  KindLatencies &latenciesOf(const DispatchRequest &Request);

  const HostName Self;
  const IncarnationId Incarnation;
  const DispatchPolicy Policy;
  Scheduler &LocalScheduler;
  OwnerLoadTable &OwnerLoads;
  const Hooks Callbacks;
  std::unordered_map<RequestId, PendingRequest> PendingRequests;
  std::unordered_map<AttemptId, Attempt> Attempts;
  /// Requests by the time at which tick() must process them.
  std::set<std::pair<Instant, RequestId>> Timers;
  std::unordered_map<ServiceName, ServiceBudget> Budgets;
  std::unordered_map<std::string, KindLatencies> LatenciesByKind;
  std::uint64_t LastAttemptId = 0;
  std::uint64_t RetryCount = 0;
  std::uint64_t HedgeCount = 0;
  std::uint64_t ForwardCount = 0;
};

} // namespace mimosacart
