/// \file
/// The decision logic of one entry host: handles events and returns actions.
#pragma once

#include "core/caller_request_handler.h"
#include "core/claim_journal.h"
#include "core/claim_table.h"
#include "core/configuration.h"
#include "core/crash_reporter.h"
#include "core/delay_estimator.h"
#include "core/dispatcher.h"
#include "core/expiring_notices.h"
#include "core/load_reporter.h"
#include "core/membership.h"
#include "core/owner_load_table.h"
#include "core/result_sender.h"
#include "core/scheduler.h"
#include "core/sequence_window.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mimosacart {

/// Call a backend server.
struct CallServer {
  ServerCall Call;
};
/// Cancel a call; its connection must not be reused.
struct CancelCall {
  CallId Id;
};
/// Answer a caller.
struct ReplyToCaller {
  CallerReply Reply;
};
/// Send a message to a peer.
struct SendToPeer {
  std::string Address;
  PeerMessage Message;
};
/// Read the bytes of a configuration from the platform's object store.
struct FetchConfiguration {
  ConfigurationId ConfigId;
};
/// Write a segment of the claim journal to the object store.
struct WriteJournal {
  JournalSegment Segment;
};
/// Look up a key in the journal of an issuer that no longer runs.
struct ReadJournal {
  RequestId Id;
  IssuerToken Token;
  std::string Key;
};
/// Ask a backend server whether it is still draining.
struct ProbeServer {
  BackendServer Server;
};
/// Write one log line.
struct LogEvent {
  std::string Name;
  std::vector<std::pair<std::string, std::string>> Fields;
};
/// Store a span for traces and the `explain` command.
struct RecordSpan {
  Span Value;
};
/// The planned stop is complete: the process may exit.
struct Stopped {};

using Action = std::variant<CallServer, CancelCall, ReplyToCaller, SendToPeer,
                            FetchConfiguration, WriteJournal, ReadJournal,
                            ProbeServer, LogEvent, RecordSpan, Stopped>;

/// Settings of an entry host, fixed at its start.
struct NodeSettings {
  MemberRecord Self;
  std::vector<std::string> SeedAddresses;
  /// Seed of every random choice.
  std::uint64_t RandomSeed = 1;
  /// How long callers may cache the list of entry hosts.
  Duration EntriesLifetime = std::chrono::seconds(5);
  /// A planned stop that takes longer than this ends without waiting for open
  /// work and unconfirmed handovers.
  Duration StopTimeout = std::chrono::seconds(60);
  ClaimLimits Claims;
  JournalLimits Journal;
  MembershipTimes Membership;
  NoticeLifetimes Notices;
  SchedulerPolicy Scheduling;
  DispatchPolicy Dispatching;
  LoadReportBudget LoadReports;
};

/// An entry host that callers may use.
struct EntryHost {
  HostName Host;
  std::string Address;
  std::string DataCentre;
  /// Share of the caller's requests, in percent.
  unsigned Share = 0;
  /// Token to send to this host with requests that may run at most once.
  std::string Token;

  friend bool operator==(const EntryHost &, const EntryHost &) = default;
};

/// Answer to `GET /v1/entries`.
struct EntriesAnswer {
  std::vector<EntryHost> Hosts;
  /// How long the caller may cache the answer.
  Duration KeepFor{};
};

/// Counters for metrics and status pages.
struct NodeCounters {
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Forwards = 0;
  std::uint64_t MessagesDropped = 0;
  double LoadReportBytes = 0;
  std::uint64_t LoadReportsDeferred = 0;
  std::size_t OpenRequests = 0;
  std::size_t QueuedAttempts = 0;
  std::size_t RunningCalls = 0;
  std::size_t Claims = 0;
  std::size_t ClaimAnswerBytes = 0;
  std::size_t JournalWaiting = 0;
  std::uint64_t JournalDropped = 0;
};

/// Decides what one entry host does. Not thread-safe; uses no sockets, files or
/// clocks. The calling code reports events with their time and, after each
/// event, performs the actions that takeActions() returns.
class Node {
public:
  Node(Instant Start, NodeSettings InitialSettings);
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Does the work that is due by time; to be called every few milliseconds.
  void onTick(Instant EventTime);
  void onCallerRequest(Instant EventTime, RequestId Id, RequestPtr Request);
  void onCallerGone(Instant EventTime, RequestId Id);
  void onCallResult(Instant EventTime, CallId Id, const CallResult &Result);
  void onPeerMessage(Instant EventTime, const PeerMessage &Message);
  /// The head row of the platform's configuration table was read.
  void onHeadSeen(Instant EventTime, const ConfigurationId &ConfigId);
  /// A configuration whose bytes match its digest arrived, from the object
  /// store or from a peer.
  void onConfiguration(Instant EventTime, ConfigurationPtr NewConfig);
  /// The platform's host list was read: peer addresses to ping and backend
  /// servers that are leaving.
  void onHostList(Instant EventTime,
                  const std::vector<std::string> &PeerAddresses,
                  const std::vector<ServerName> &Leaving);
  /// A probed server answered whether it is draining. Not called if the probe
  /// had no answer.
  void onProbeResult(Instant EventTime, const ServerName &Server,
                     bool Draining);
  /// The write of the last WriteJournal segment succeeded or failed.
  void onJournalWritten(Instant EventTime, bool Written);
  /// The journal was searched for the key of a ReadJournal; \p Reply is null if
  /// the journal has no answer for the key.
  void onJournalRead(Instant EventTime, RequestId Id, const AnswerPtr &Reply);
  /// Begins a planned stop.
  void onStop(Instant EventTime);

  /// The entry hosts that a caller should use, those in this host's data centre
  /// first. Never empty.
  EntriesAnswer entries(Instant QueryTime) const;

  /// Returns and clears the actions decided since the last call.
  std::vector<Action> takeActions();

  ConfigurationPtr configuration() const { return CurrentConfig; }
  const Membership &members() const { return Members; }
  bool stopping() const { return StopStartedAt.has_value(); }
  /// Whether callers can be served: a configuration is in force and no planned
  /// stop has begun.
  bool ready() const { return CurrentConfig != nullptr && !stopping(); }
  std::vector<ServerView> servers(Instant QueryTime) const {
    return LocalScheduler.servers(QueryTime);
  }
  /// Each server with the host that owns it, in the order of the configuration
  /// file.
  std::vector<std::pair<ServerName, HostName>> owners() const;
  NodeCounters counters() const;

private:
  /// State kept for each peer that has sent a message.
  struct SenderState {
    IncarnationId Incarnation;
    SequenceWindow Window;
    DelayEstimator Delays;
  };

  Membership::Hooks membershipHooks();
  Scheduler::Hooks schedulerHooks();
  Dispatcher::Hooks dispatcherHooks();
  CallerRequestHandler::Hooks callerRequestHooks();
  LoadReporter::Hooks loadReporterHooks();
  CrashReporter::Hooks crashReporterHooks();
  void reportCrash(const WorkItem &Item, const ServerName &Server);
  void routeResult(const WorkItem &Item, const AttemptResult &Result);

  void addAction(Action Added) { Actions.push_back(std::move(Added)); }
  void sendTo(const HostName &Host, PeerBody Body);
  void sendToAddress(const std::string &Address, PeerBody Body);
  void broadcast(const PeerBody &Body);
  void log(std::string Name,
           std::vector<std::pair<std::string, std::string>> Fields);

  void handle(const HostName &From, const Ping &Message);
  void handle(const HostName &From, const Ack &Message);
  void handle(const HostName &From, const PingRequest &Message);
  void handle(const HostName &From, const SoftState &Message);
  void handle(const HostName &From, const LoadReport &Message);
  void handle(const HostName &From, const ForwardedAttempt &Message);
  void handle(const HostName &From, const AttemptAnswer &Message);
  void handle(const HostName &From, const CancelForwarded &Message);
  void handle(const HostName &From, const WorkRequest &Message);
  void handle(const HostName &From, const ClaimCall &Message);
  void handle(const HostName &From, const ClaimAnswer &Message);
  void handle(const HostName &From, const Handover &Message);
  void handle(const HostName &From, const HandoverAck &Message);
  void handle(const HostName &From, const ConfigurationRequest &Message);
  void handle(const HostName &From, const ConfigurationBytes &Message);
  void handle(const HostName &From, const CrashReport &Message);
  void handle(const HostName &From, const CrashReportAck &Message);
  void handle(const HostName &From, const AttemptAnswerAck &Message);
  /// Tables are exchanged only between hosts that replicate the store, which do
  /// not use this class.
  void handle(const HostName &, const TableRequest &) {}
  void handle(const HostName &, const QuotaRequest &) {}
  void handle(const HostName &, const QuotaGrant &) {}
  void handle(const HostName &, const TableRows &) {}
  void handle(const HostName &, const ViewSummary &) {}

  void compareState(const HostName &From, std::uint64_t Digest,
                    const std::optional<ConfigurationId> &ConfigId);
  void fetchIfNewer(const ConfigurationId &ConfigId,
                    const std::optional<HostName> &Announcer);
  void onMemberChanged(const MemberRecord &Record, UpdateSource Source);
  void updateOwnership();
  void announceConfigId();
  std::vector<HostName> ownersOf(const Service &ConfiguredService,
                                 const std::vector<MemberRecord> &Hosts) const;
  void assignService(const Service &ConfiguredService,
                     const std::vector<MemberRecord> &Hosts);
  /// Applies the drain state that Notices holds of the server.
  void applyDrain(const ServerName &Server);
  /// Records a drain state that this host observed. If the known state changes,
  /// applies it and broadcasts it.
  void updateDrainState(const ServerName &Server, bool Draining);
  void probeDrainingServers();
  void advanceStop();
  std::optional<HostName> chooseSuccessor() const;
  std::uint64_t stateDigest() const;
  std::optional<ConfigurationId> currentConfigId() const;
  const RequestKind *findKind(const ServiceName &Service,
                              const std::string &Kind) const;

  const NodeSettings Settings;
  const HostName Self;
  const IncarnationId Incarnation;
  /// Time of the event that is being handled.
  Instant Now;
  /// How much longer the message that is being handled took to arrive than the
  /// fastest message of its sender.
  Duration MessageDelay{};
  std::mt19937_64 Random;
  std::vector<Action> Actions;
  /// Last number given to a message sent or a crash reported; both are numbered
  /// in one sequence.
  std::uint64_t LastSequence = 0;
  std::map<HostName, SenderState> Senders;
  std::uint64_t DroppedMessages = 0;

  ConfigurationPtr CurrentConfig;
  std::unordered_map<ServiceName, std::size_t> ServiceIndexes;
  /// Servers of the previous configuration; empty if there was none.
  std::set<ServerName> PreviousServers;
  /// Whether the current configuration replaced another one.
  bool HadPreviousConfig = false;
  std::optional<Instant> LastFetchAt;
  ConfigurationId LastFetchConfigId;

  ExpiringNotices Notices;
  /// Servers that are leaving according to the latest host list.
  std::set<ServerName> ListedAsLeaving;
  /// When the drain of each draining server began.
  std::map<ServerName, Instant> DrainedSince;
  Instant NextProbeAt{};
  /// Hosts among which the servers are currently distributed.
  std::vector<MemberRecord> OwnershipHosts;
  /// Whether membership changed since servers were last distributed.
  bool OwnershipStale = false;

  std::optional<Instant> StopStartedAt;
  /// Host that the claims are handed over to.
  std::optional<HostName> HandoverTarget;
  /// Number of handover messages that are not confirmed yet.
  std::size_t PendingHandovers = 0;
  Instant NextHandoverAt{};
  bool StopComplete = false;

  Membership Members;
  ClaimJournal Journal;
  ClaimTable Claims;
  OwnerLoadTable OwnerLoads;
  Scheduler LocalScheduler;
  Dispatcher RequestDispatcher;
  CallerRequestHandler CallerRequests;
  LoadReporter LoadReports;
  CrashReporter CrashReports;
  ResultSender ResultDelivery;
};

} // namespace mimosacart
