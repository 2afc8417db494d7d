/// \file
/// The way of each request: which server it is sent to and when, what may be
/// repeated, and when it is given up.
#pragma once

#include "direct/baseline_latency.h"
#include "direct/flow_types.h"
#include "direct/retry_budget.h"
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
  /// Servers asked for their load in the first round and in later ones.
  std::size_t FirstProbes = 2;
  std::size_t FurtherProbes = 3;
  /// Rounds of probes before the best server known is taken.
  unsigned ProbeRounds = 3;
  /// Of these, rounds in which only servers that this host prefers are asked.
  unsigned PreferredRounds = 2;
  /// Time for the answers of one round.
  Duration ProbeWait = std::chrono::milliseconds(15);
  Duration ProbeTimeout = std::chrono::milliseconds(400);
  /// Figures younger than this are not asked for again.
  Duration ProbeAgainAfter = std::chrono::milliseconds(50);
  /// A server is taken if this many times its expected time is left of the
  /// objective; the most urgent requests need no such room.
  double HeadroomFactor = 1.25;
  /// While no server is expected to meet the objective, requests are held for
  /// this part of it.
  double HoldShare = 0.35;
  Duration HoldInterval = std::chrono::milliseconds(25);
  /// Callers are told to come back after this while servers are busy, and
  /// after a server refused for reasons of its own.
  Duration RetryAfterBusy = std::chrono::milliseconds(80);
  Duration RetryAfterRefused = std::chrono::milliseconds(25);
  /// An idempotent request is doubled once it took this many usual times, or
  /// earlier if the objective would be missed otherwise.
  double HedgeFactor = 1.7;
  double HedgeHeadroomFactor = 1.35;
  /// Least time before a hedge, in usual times.
  double HedgeLeastFactor = 1.2;
  /// Parts of the retry allowance for hedges and for repeats after failures.
  double HedgePart = 0.65;
  double RetryPart = 1.0;
  /// A request with less than this left is not sent any more.
  Duration LeastRemaining = std::chrono::milliseconds(20);
  /// A server's late answer is waited for so long after the deadline, for the
  /// sake of its connection.
  Duration LateAnswerTime = std::chrono::milliseconds(300);
  /// Weights of signs against a server; a failed request counts 1.
  double ShedWeight = 0.4;
  double WrongServerWeight = 3;
  double HedgeWonWeight = 0.3;
  /// Crashed servers after which a request is not sent any more.
  std::size_t MaxCrashes = 3;
};

/// Serves requests by calls to discovered servers.
class RequestFlow {
public:
  struct Hooks {
    std::function<void(const DirectCall &)> Call;
    std::function<void(CallId)> Cancel;
    std::function<void(const DirectProbe &)> Probe;
    std::function<void(const FlowResult &)> Finished;
    /// Entry hosts that share the retry bound.
    std::function<std::size_t()> HostCount;
    /// Servers that requests of this fingerprint have crashed.
    std::function<std::size_t(std::uint64_t Fingerprint)> CrashCount;
    std::function<void(Instant, std::uint64_t Fingerprint, const ServerName &)>
        CrashSeen;
    FlowLogHook Log;
  };

  RequestFlow(FlowPolicy Policy, RetryLimits Limits, ServerRanking Ranking,
              ServerSubset Subset, ServerRegistry &Registry,
              ServerLoadTable &ServerLoads, Instant Start, Hooks Callbacks);

  void start(Instant Now, FlowRequest Request);
  /// The caller is gone; idempotent work is withdrawn.
  void abandon(Instant Now, RequestId Id);
  void onCallResult(Instant Now, CallId Id, const ServerCallResult &Result);
  void onProbeResult(Instant Now, CallId Id, const ProbeResult &Result);
  void tick(Instant Now);
  Instant nextTick() const;

  std::size_t openRequests() const { return Flows.size(); }
  const FlowCounters &counters() const { return Counters; }

private:
  struct Flow {
    FlowRequest Request;
    std::set<ServerName> Tried;
    std::set<ServerName> Probed;
    /// Probes whose answers the choice waits for.
    std::set<CallId> OpenProbes;
    std::set<CallId> OpenCalls;
    /// Time in which calls were open, but for those that are open now.
    Duration WithServers{};
    Instant CallsOpenSince{};
    /// Calls that reached a server or may have.
    unsigned Arrivals = 0;
    unsigned ProbeRounds = 0;
    /// A server is being chosen.
    bool Choosing = false;
    /// A call may have run.
    bool MayHaveRun = false;
    bool Hedged = false;
    /// No server fitted the objective when it was asked for one.
    bool Held = false;
    RefusalReason LastReason = RefusalReason::None;
    /// A server's own failure, told to the caller if nothing better comes.
    AnswerPtr ServerFailure;
    ServerName FailedServer;
    Instant HedgeAt = Instant::max();
    /// Until when the choice waits for probes.
    Instant ChooseAt = Instant::max();
    Instant Wake = Instant::max();
  };
  struct OpenCall {
    RequestId Owner;
    ServerName Server;
    std::string Route;
    std::uint64_t Fingerprint = 0;
    Instant StartedAt{};
    /// Expected time as a multiple of the usual one, if the figures behind it
    /// were fresh and the server neither slow nor busy.
    std::optional<double> GoodFactor;
  };
  struct OpenProbe {
    ServerName Server;
    /// Set if the probe checks whether a request crashed the server.
    std::uint64_t Fingerprint = 0;
    std::vector<RequestId> Waiters;
  };

  void choose(Instant Now, Flow &Of);
  std::vector<const DiscoveredServer *> candidates(const Flow &Of);
  bool sendProbes(Instant Now, Flow &Of,
                  const std::vector<RankedServer> &Ranked);
  /// The probe of the server that is already on its way, or a new one.
  CallId probe(const ServiceSettings &Service, const DiscoveredServer &Server);
  CallId startProbe(const ServiceSettings &Service,
                    const DiscoveredServer &Server, std::uint64_t Fingerprint);
  /// No server is expected to meet the objective: waits, then takes what there
  /// is or sends the caller away.
  void hold(Instant Now, Flow &Of, const RankedServer *Free);
  /// The best server that has room for the request; null if there is none.
  static const RankedServer *findFree(const Flow &Of,
                                      const std::vector<RankedServer> &Ranked,
                                      bool RecentOnly);
  bool fitsObjective(Instant Now, const Flow &Of,
                     const RankedServer &Server) const;
  void send(Instant Now, Flow &Of, const RankedServer &To);
  void scheduleHedge(Instant Now, Flow &Of);
  void startHedge(Instant Now, Flow &Of);
  void onAnswer(Instant Now, Flow &Of, const OpenCall &Call,
                const ServerAnswer &Answer);
  void onLost(Instant Now, Flow &Of, const OpenCall &Call, CallEnd End);
  void recordResult(Instant Now, const OpenCall &Call,
                    const ServerCallResult &Result);
  void recordLatency(Instant Now, const OpenCall &Call,
                     const ServerAnswer &Answer);
  /// Tries another server if that is allowed, else ends the request unless
  /// another call is open.
  void repeatOrEnd(Instant Now, Flow &Of);
  bool mayRepeat(Instant Now, const Flow &Of);
  void expire(Instant Now, Flow &Of);
  void end(Instant Now, Flow &Of, AnswerPtr Reply, const ServerName &Server,
           Refusal Refused);
  void endWithoutAnswer(Instant Now, Flow &Of, RefusalReason Otherwise);
  void verifyCrash(const OpenCall &Call, const ServiceSettings &Service);
  void setWake(Flow &Of);
  Duration baselineOf(const Flow &Of) const;
  RetryBudget &budgetOf(const ServiceName &Service);
  Refusal refusalOf(const Flow &Of, RefusalReason Reason) const;
  void log(const char *Event, const Flow &Of, FlowFields Fields) const;

  const FlowPolicy Policy;
  const RetryLimits Limits;
  const Instant Start;
  const Hooks Callbacks;
  ServerRanking Ranking;
  ServerSubset Subset;
  ServerRegistry &Registry;
  ServerLoadTable &ServerLoads;
  BaselineLatency Latencies;
  std::unordered_map<RequestId, Flow> Flows;
  std::unordered_map<CallId, OpenCall> Calls;
  std::unordered_map<CallId, OpenProbe> Probes;
  /// The probe for load figures that is on its way to a server.
  std::map<ServerName, CallId> ProbesByServer;
  std::set<std::pair<Instant, RequestId>> Timers;
  std::map<ServiceName, RetryBudget> Budgets;
  std::uint64_t LastCall = 0;
  FlowCounters Counters;
};

} // namespace mimosacart
