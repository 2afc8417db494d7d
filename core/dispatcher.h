/// \file
/// The origin's role: sees that a request gets an attempt at a host that owns
/// a fitting server, and decides on further attempts.
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

/// Constants of the dispatcher.
struct DispatchPolicy {
  /// Retries earned by each request; the rest of the budget is the burst.
  double RetryShare = 0.1;
  double RetryBurst = 10;
  /// Hedges allowed for each idempotent request at most.
  double HedgeShare = 0.05;
  double HedgeBurst = 5;
  /// Hedges tried for each idempotent request without proof that they help;
  /// one that answers first pays for \c HedgesPerWin more. Hedges of work that
  /// is long on every server never win and so stay rare.
  double HedgeTrialShare = 0.002;
  double HedgeTrialBurst = 2;
  double HedgesPerWin = 2;
  /// Part of the usable slots that must be free for a hedge.
  double HedgeFreeShare = 0.2;
  /// A hedge starts once an attempt takes longer than this quantile.
  double HedgeQuantile = 0.95;
  /// Attempts observed before hedges of the kind start.
  std::size_t HedgeMinSamples = 100;
  /// Part of the time left that is kept for the way back from a peer.
  Duration ForwardMargin = std::chrono::milliseconds(20);
  /// How long an answer after the deadline is still recorded.
  Duration LateAnswerWindow = std::chrono::seconds(60);
  /// Crashes after which a fingerprint is refused.
  std::size_t QuarantineCrashes = 2;
};

/// A request that is to be served.
struct DispatchRequest {
  RequestId Id;
  ServiceName Service;
  RequestKind Kind;
  RequestPtr Request;
  Instant Deadline{};
  std::uint64_t Fingerprint = 0;
};

/// How a request ended, with what explains it.
struct DispatchResult {
  AnswerPtr Reply;
  /// Set for refusals.
  Refusal Refused;
  ServerName Server;
  unsigned Attempts = 0;
  /// Time that the server took for the attempt that answered.
  Duration ServiceTime{};
  /// False if a later result may still replace this one.
  bool Final = true;
};

/// Chooses the place of each attempt; retries and hedges idempotent ones.
class Dispatcher {
public:
  struct Hooks {
    std::function<void(const HostName &, PeerBody)> Send;
    std::function<void(const DispatchRequest &, const DispatchResult &)>
        Finished;
    std::function<std::size_t(std::uint64_t Fingerprint)> CrashCount;
    /// Told of each attempt's place, for traces.
    std::function<void(const DispatchRequest &, AttemptId, const HostName &)>
        Placed;
    /// Told of each attempt's end, for traces.
    std::function<void(const DispatchRequest &, AttemptId,
                       const AttemptResult &)>
        Ended;
  };

  Dispatcher(HostName Self, IncarnationId Incarnation, DispatchPolicy Policy,
             Scheduler &Local, OwnerLoadTable &Loads, Hooks Callbacks);

  /// Starts work on a request; its end is told by the Finished hook.
  void start(Instant Now, DispatchRequest Request);
  /// The caller is gone; idempotent work is withdrawn.
  void abandon(Instant Now, RequestId Id);

  /// Result of an attempt that this incarnation created.
  void onAttemptResult(Instant Now, AttemptId Attempt,
                       const AttemptResult &Result);
  /// An attempt that another host asks this one to run.
  void onForwarded(Instant Now, const ForwardedAttempt &Message,
                   const RequestKind *Kind);
  /// An idle peer asks for queued attempts.
  void onWorkRequest(Instant Now, const HostName &From,
                     const WorkRequest &Message);
  /// Free slots or queues of the service changed at this host.
  void onLocalLoadChanged(Instant Now, const ServiceName &Service);
  /// This host no longer owns servers of the service: what waits moves on.
  void onServiceLost(Instant Now, const ServiceName &Service);
  /// A host is gone: its attempts fail, its queued work is dropped.
  void onHostGone(Instant Now, const HostName &Host, IncarnationId Incarnation);

  /// Hedges, and ends requests whose deadline has passed.
  void tick(Instant Now);

  std::size_t openRequests() const { return Works.size(); }
  std::uint64_t retries() const { return RetryCount; }
  std::uint64_t hedges() const { return HedgeCount; }
  std::uint64_t forwards() const { return ForwardCount; }

private:
  struct Work {
    DispatchRequest Request;
    std::vector<AttemptId> Open;
    unsigned AttemptsLeft = 1;
    unsigned AttemptsMade = 0;
    bool Hedged = false;
    /// The second attempt of a hedged request.
    AttemptId HedgeAttempt;
    /// The caller has its result; a late answer is still awaited.
    bool Reported = false;
    /// An attempt may have run.
    bool MayHaveRun = false;
    Instant HedgeAt = Instant::max();
    Instant ForgetAt = Instant::max();
    AttemptResult Last;
  };
  struct Attempt {
    RequestId Owner;
    /// Host that the attempt was given to; it may have passed it on.
    HostName Holder;
    Instant StartedAt{};
  };
  struct ServiceBudget {
    TokenBucket Retries;
    TokenBucket Hedges;
    /// Hedges that trials and wins have paid for.
    TokenBucket ProvenHedges;
  };
  /// Recent attempt times of one kind, for the hedging quantile.
  struct KindTimes {
    std::vector<Duration> Samples;
    std::size_t Next = 0;
    Duration Quantile{};
  };

  void place(Instant Now, Work &Of, const ServerName &Avoid);
  std::optional<HostName> choosePlace(Instant Now,
                                      const ServiceName &Service) const;
  void sendAttempt(Instant Now, const Work &Of, AttemptId Id,
                   const HostName &To, const ServerName &Avoid);
  void forwardItem(Instant Now, const HostName &To, const WorkItem &Item);
  void moveItem(Instant Now, const HostName &To, const WorkItem &Item);
  bool mayRetry(Instant Now, Work &Of, const AttemptResult &Result);
  void finish(Instant Now, RequestId Id, DispatchResult Result);
  void conclude(Instant Now, Work &Of);
  void expireDeadline(Instant Now, Work &Of);
  void cancelOpen(Instant Now, Work &Of);
  void hedge(Instant Now, Work &Of);
  bool hasHeadroomForHedge(Instant Now, const ServiceName &Service) const;
  void recordTime(const Work &Of, Duration Time);
  void askForWork(Instant Now, const ServiceName &Service);
  ServiceBudget &budgetOf(const ServiceName &Service);
  KindTimes &timesOf(const DispatchRequest &Request);

  const HostName Self;
  const IncarnationId Incarnation;
  const DispatchPolicy Policy;
  Scheduler &Local;
  OwnerLoadTable &Loads;
  const Hooks Callbacks;
  std::unordered_map<RequestId, Work> Works;
  std::unordered_map<AttemptId, Attempt> Attempts;
  /// Requests by the time at which tick() must look at them.
  std::set<std::pair<Instant, RequestId>> Timers;
  std::unordered_map<ServiceName, ServiceBudget> Budgets;
  std::unordered_map<std::string, KindTimes> Times;
  std::uint64_t LastAttempt = 0;
  std::uint64_t RetryCount = 0;
  std::uint64_t HedgeCount = 0;
  std::uint64_t ForwardCount = 0;
};

} // namespace mimosacart
