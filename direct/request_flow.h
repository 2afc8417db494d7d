/// \file
/// Processing of each request: selects servers, probes them, retries and hedges
/// calls, and enforces the deadline.
#pragma once

#include "direct/baseline_latency.h"
#include "direct/crash_detector.h"
#include "direct/fair_share.h"
#include "direct/flow_types.h"
#include "direct/hedge_policy.h"
#include "direct/retry_budget.h"
#include "direct/server_constraints.h"
#include "direct/server_load_table.h"
#include "direct/server_ranking.h"
#include "direct/server_registry.h"
#include "direct/server_subset.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace mimosacart {

/// Constants of RequestFlow.
struct FlowPolicy {
  /// Servers probed for their load in the first round and in later rounds.
  std::size_t FirstRoundProbes = 2;
  std::size_t LaterRoundProbes = 3;
  /// Greatest number of probe rounds before the best-ranked server is selected.
  unsigned MaxProbeRounds = 3;
  /// Rounds, from the first, that probe only servers in this host's subset.
  unsigned PreferredProbeRounds = 2;
  /// Time that a round waits for probe results.
  Duration ProbeRoundWait = std::chrono::milliseconds(15);
  Duration ProbeTimeout = std::chrono::milliseconds(400);
  /// A server whose load is known and newer than this is not probed.
  Duration MinLoadAgeToProbe = std::chrono::milliseconds(50);
  /// A server is eligible if its expected latency times this factor fits in the
  /// time left until the objective. Not applied to the most urgent requests.
  double HeadroomFactor = 1.25;
  /// While no server is expected to meet the objective, a request is held until
  /// this share of it has passed since the arrival.
  double MaxHoldShare = 0.35;
  Duration HoldRecheckInterval = std::chrono::milliseconds(25);
  /// The same for a request that leaves a free slot to one that goes first.
  Duration YieldInterval = std::chrono::milliseconds(5);
  /// A waiting request is refused early if its expected wait is longer than the
  /// time left for it, times this factor.
  double WaitErrorFactor = 2;
  /// Greatest factor by which Retry-After grows for callers of a workspace that
  /// uses more than its share.
  double MaxRetryAfterFactor = 10;
  /// Retry-After for callers of refused requests that did not run: in general,
  /// and when the last server refused the request.
  Duration RetryAfterOverload = std::chrono::milliseconds(80);
  Duration RetryAfterServerRefusal = std::chrono::milliseconds(25);
  /// Longest Retry-After.
  Duration MaxRetryAfter = std::chrono::seconds(30);
  /// An idempotent request is hedged this many baseline latencies after its
  /// call started, or earlier if it would miss the objective otherwise.
  double HedgeDelayFactor = 1.7;
  /// Time that a hedge needs before the objective, in baseline latencies.
  double HedgeHeadroomFactor = 1.35;
  /// Least delay of a hedge, in baseline latencies.
  double MinHedgeDelayFactor = 1.2;
  /// Shares of the retry budget that hedges and retries after failures may use.
  double HedgeBudgetShare = 0.65;
  double RetryBudgetShare = 1.0;
  /// See HedgePolicy. If it is set, hedges start after a delay learnt for each
  /// route, and the slower call is cancelled.
  std::optional<double> HedgeShare;
  /// A request with less time left than this is not sent to a server.
  Duration MinRemaining = std::chrono::milliseconds(20);
  /// A call times out this long after the deadline given to the server, so that
  /// a late answer leaves the connection reusable.
  Duration LateAnswerGrace = std::chrono::milliseconds(300);
  /// Weights in a server's failure score: requests that it states it did not
  /// run, answers of another server at its address, and calls that another call
  /// of the same request overtook. A failed request counts 1.
  double NotRunFailureWeight = 0.4;
  double WrongServerFailureWeight = 3;
  double SlowerCallFailureWeight = 0.3;
  /// A request that has crashed this many servers is not sent again.
  std::size_t MaxCrashes = 3;
  ColdServerPolicy ColdServers;
};

/// Forwards requests to discovered servers and reports one result for each,
/// unless its caller disconnects.
class RequestFlow {
public:
  struct Hooks {
    std::function<void(const DirectCall &)> Call;
    std::function<void(CallId)> Cancel;
    std::function<void(const DirectProbe &)> Probe;
    std::function<void(const FlowResult &)> Finished;
    /// Number of reachable entry hosts, this one included.
    std::function<std::size_t()> HostCount;
    /// Number of entry hosts that share the retry limits; 0 if not known.
    std::function<std::size_t()> SharingHosts;
    /// Number of servers that requests with this fingerprint have crashed.
    std::function<std::size_t(std::uint64_t Fingerprint)> CrashCount;
    /// A server has run a request that is suspected of crashes to its end.
    std::function<void(std::uint64_t Fingerprint)> CrashesExcused;
    /// A request that has crashed too many servers has come again.
    std::function<void(Instant, std::uint64_t Fingerprint)> QuarantinedAgain;
    /// This host's position for a share of a server's limit.
    ServerConstraints::PositionHook Position;
    /// A server ended after a call with this fingerprint ended without an
    /// answer.
    CrashDetector::CrashHook CrashSeen;
    FlowLogHook Log;
    /// The current time, which is later than that of the event being handled if
    /// the event loop is late.
    std::function<Instant()> Clock;
    /// Whether the caller has closed its connection, also if the event of that
    /// has not been handled yet.
    std::function<bool(RequestId)> IsCallerGone;
  };

  RequestFlow(FlowPolicy Policy, RetryLimits Limits, ServerRanking Ranking,
              ServerSubset Subset, ServerRegistry &Registry,
              ServerLoadTable &ServerLoads, Instant Start, Hooks Callbacks);

  void start(Instant Now, FlowRequest Request);
  /// Drops a request whose caller has disconnected; cancels its calls if it is
  /// idempotent, lets them finish otherwise.
  void abandon(Instant Now, RequestId Id);
  void onCallResult(Instant Now, CallId Id, const ServerCallResult &Result);
  void onProbeResult(Instant Now, CallId Id, const ProbeResult &Result);
  /// Discovery shows a change of the server.
  void onServerChanged(Instant Now, const DiscoveredServer &Server,
                       ServerChange Change);
  /// A configuration has come into force.
  void onConfiguration(const RouteConfiguration &Configuration);
  void tick(Instant Now);
  Instant nextTick() const;

  std::size_t openRequests() const { return Flows.size(); }
  /// See CrashDetector::wasServedAround().
  bool wasServed(Instant Now, std::uint64_t Fingerprint) const {
    return Crashes.wasServedAround(Now, Fingerprint);
  }
  /// What servers ask of this host.
  const ServerConstraints &constraints() const { return Constraints; }
  const FlowCounters &counters() const { return Counters; }
  /// Replaces FlowPolicy::HedgeShare.
  void setHedgeShare(std::optional<double> Share) { Hedging.setShare(Share); }
  /// State of the retry budgets of all services that had requests.
  std::vector<RetryBudgetState> retryBudgets(Instant Now) const;

private:
  struct FlowState {
    FlowRequest Request;
    std::set<ServerName> TriedServers;
    std::set<ServerName> ProbedServers;
    /// Probes whose results the server selection waits for.
    std::set<CallId> OpenProbes;
    std::set<CallId> OpenCalls;
    /// Time during which at least one call was open, without the interval that
    /// began at CallsOpenSince if calls are still open.
    Duration TimeWithServers{};
    Instant CallsOpenSince{};
    /// Calls that reached a server or may have reached one.
    unsigned Attempts = 0;
    unsigned ProbeRounds = 0;
    /// Server selection is in progress.
    bool ChoosingServer = false;
    /// A server has or may have run the request in a call that ended.
    bool MayHaveRun = false;
    bool Hedged = false;
    /// The request has waited for a server that can meet the objective.
    bool WasHeld = false;
    RefusalReason LastFailureReason = RefusalReason::None;
    /// Least time after which a caller may come back, if servers named one.
    Duration ServersBusyFor{};
    /// Latest error answer from a server; forwarded to the caller if no other
    /// attempt succeeds.
    AnswerPtr ErrorAnswer;
    ServerName ErrorServer;
    Instant HedgeAt = Instant::max();
    /// When the selection stops waiting for probes and runs again.
    Instant ChooseAgainAt = Instant::max();
    /// Entry of this request in Timers.
    Instant WakeAt = Instant::max();
  };
  struct OpenCall {
    RequestId Request;
    ServerName Server;
    std::string Address;
    std::string Route;
    std::uint64_t Fingerprint = 0;
    std::string HealthPath;
    std::uint64_t Incarnation = 0;
    Instant StartedAt{};
    /// Expected latency as a multiple of the baseline; set if the server's load
    /// was fresh and the server nominal, so that the answer updates the
    /// baseline.
    std::optional<double> BaselineFactor;
    /// Expected latency as a multiple of the baseline; 1 if not known.
    double ExpectedFactor = 1;
    bool IsHedge = false;
  };
  struct OpenProbe {
    ServerName Server;
    std::uint64_t Incarnation = 0;
    std::vector<RequestId> WaitingRequests;
  };

  void chooseServer(Instant Now, FlowState &Flow);
  /// Servers that a request may be sent to now.
  struct Candidates {
    std::vector<const DiscoveredServer *> Servers;
    /// If there are none, when the first of the others may be used.
    Instant NextSendableAt = Instant::max();
    /// Why the first of the others may not be used.
    SendBlock Block = SendBlock::None;
  };
  Candidates findCandidates(Instant Now, const FlowState &Flow);
  /// Adds those of \p Usable that the request may be sent to now.
  void addSendable(Instant Now, const FlowState &Flow,
                   const std::vector<const DiscoveredServer *> &Usable,
                   Candidates &Result);
  /// Called when no server may be used before \p NextSendableAt. Waits for it,
  /// or refuses the request if that is too late.
  void waitForServer(Instant Now, FlowState &Flow, Instant NextSendableAt,
                     SendBlock Block);
  static Instant holdUntil(const FlowPolicy &Policy, const FlowState &Flow);
  bool sendProbes(Instant Now, FlowState &Flow,
                  const std::vector<RankedServer> &RankedServers);
  /// Returns the load probe of the server that is in flight, or starts one.
  CallId findOrStartProbe(const ServiceSettings &Service,
                          const DiscoveredServer &Server);
  CallId startProbe(const std::string &HealthPath,
                    const DiscoveredServer &Server, bool NewConnection);
  /// Called when no server is expected to meet the objective. Holds the request
  /// for a while, then sends it to \p Available if the deadline can still be
  /// met, else refuses it. \p Available is null if every server is full.
  void holdRequest(Instant Now, FlowState &Flow, const RankedServer *Available);
  /// Returns the best server with capacity for the request; null if there is
  /// none. \p RecentOnly excludes servers without recent load.
  static const RankedServer *
  findAvailable(const FlowState &Flow,
                const std::vector<RankedServer> &RankedServers,
                bool RecentOnly);
  /// Lets the request wait for a server until \p Next and then choose again.
  void waitUntil(Instant Now, FlowState &Flow, Instant Next);
  void logHold(FlowState &Flow, const RankedServer *Available);
  /// Whether the request competes with others by workspace; only first calls of
  /// deployments with workspaces do.
  static bool isShared(const FlowState &Flow);
  /// Whether too many requests go first for this one to be served in time.
  bool waitsInVain(Instant Now, const FlowState &Flow, Instant HoldUntil);
  /// Sends the request to \p Target, unless a waiting request that goes first
  /// can use the slot.
  void sendInTurn(Instant Now, FlowState &Flow, const RankedServer &Target);
  bool canUse(Instant Now, const FlowState &Flow, const RankedServer &Target);
  /// Returns \p Least, or for workspaces a longer time that grows with their
  /// use and differs between requests.
  Duration retryAfter(const FlowState &Flow, Duration Least) const;
  bool meetsObjective(Instant Now, const FlowState &Flow,
                      const RankedServer &Server) const;
  void sendCall(Instant Now, FlowState &Flow, const RankedServer &Target);
  /// Drops the request if its caller has left. Returns whether it has.
  bool dropIfCallerGone(Instant Now, const FlowState &Flow);
  /// Whether a call to \p Target may start now; takes a retry from the budget
  /// if it is one. If not, the request is finished unless a call is open.
  bool admitCall(Instant Now, FlowState &Flow, const RankedServer &Target);
  bool spendRetry(Instant Now, FlowState &Flow, const RankedServer &Target);
  OpenCall makeCall(Instant Now, const FlowState &Flow,
                    const RankedServer &Target) const;
  void logSend(Instant Now, const FlowState &Flow, CallId Id,
               const RankedServer &Target) const;
  /// Sets when the call that has just started is hedged. \p Factor is its
  /// expected latency as a multiple of the baseline.
  void scheduleHedge(Instant Now, FlowState &Flow, double Factor);
  void startHedge(Instant Now, FlowState &Flow);
  /// Returns whether a hedge must not be sent, and records why.
  bool refuseHedge(Instant Now, const FlowState &Flow,
                   Duration ExpectedLatency);
  void recordHedgeRefusal(const FlowState &Flow, HedgeRefusal Refusal);
  /// Called when \p Winner has answered the request and other calls of it may
  /// still be open.
  void onHedgeDecided(Instant Now, FlowState &Flow, const OpenCall &Winner);
  /// Whether requests to the service wait for a server.
  bool hasWaiting(const ServiceName &Service) const;
  void onAnswer(Instant Now, FlowState &Flow, const OpenCall &Call,
                const ServerAnswer &Answer);
  void onCallFailed(Instant Now, FlowState &Flow, const OpenCall &Call,
                    CallEnd End);
  void recordResult(Instant Now, const OpenCall &Call,
                    const ServerCallResult &Result);
  void recordServed(Instant Now, std::uint64_t Fingerprint);
  void recordWishes(Instant Now, const ServerName &Server,
                    std::uint64_t Incarnation, const ServerWishes &Wishes,
                    bool Proper);
  /// The server is cold for \p Left. \p Source names in logs who says so.
  void recordWarmUp(Instant Now, const DiscoveredServer &Server, Duration Left,
                    const char *Source);
  void recordLatency(Instant Now, const OpenCall &Call,
                     const ServerAnswer &Answer);
  /// Retries on another server if allowed, else finishes the request. Does
  /// nothing while another call is open or a server is being selected.
  void retryOrFinish(Instant Now, FlowState &Flow);
  bool canRetry(Instant Now, const FlowState &Flow);
  void cancelCall(Instant Now, CallId Id);
  void finishAtDeadline(Instant Now, FlowState &Flow);
  void finish(Instant Now, FlowState &Flow, AnswerPtr Reply,
              const ServerName &Server, Refusal Refused);
  void finishWithFailure(Instant Now, FlowState &Flow, RefusalReason Reason);
  /// Checks whether the server still answers after a call that may have crashed
  /// it.
  void checkForCrash(Instant Now, const OpenCall &Call);
  /// Whether the request has crashed so many servers that it must not be sent.
  bool isQuarantined(const FlowState &Flow) const;
  void updateTimer(FlowState &Flow);
  Duration findBaseline(const FlowState &Flow) const;
  RetryBudget &findBudget(const ServiceName &Service);
  Refusal makeRefusal(const FlowState &Flow, RefusalReason Reason) const;
  void log(const char *Event, const FlowState &Flow, FlowFields Fields) const;
  /// Logs a call that ended without an answer after its request had ended.
  void logLateLoss(Instant Now, const OpenCall &Call, CallEnd End) const;

  const FlowPolicy Policy;
  const RetryLimits Limits;
  const Instant Start;
  const Hooks Callbacks;
  ServerRanking Ranking;
  ServerSubset Subset;
  ServerRegistry &Registry;
  ServerLoadTable &ServerLoads;
  BaselineLatency Latencies;
  HedgePolicy Hedging;
  FairShare Shares;
  CrashDetector Crashes;
  ServerConstraints Constraints;
  std::unordered_map<RequestId, FlowState> Flows;
  std::unordered_map<CallId, OpenCall> Calls;
  std::unordered_map<CallId, OpenProbe> Probes;
  /// Load probes in flight.
  std::map<ServerName, CallId> ProbesByServer;
  std::set<std::pair<Instant, RequestId>> Timers;
  std::map<ServiceName, RetryBudget> Budgets;
  std::uint64_t LastCall = 0;
  FlowCounters Counters;
};

} // namespace mimosacart
