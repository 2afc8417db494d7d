/// \file
/// One entry host: takes events with their time and returns actions.
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
/// Stop a call; its connection must not be used again.
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
/// Read the bytes behind the mark from the platform's object store.
struct FetchConfiguration {
  ConfigurationId ConfigId;
};
/// Write a segment of the claim journal to the object store.
struct WriteJournal {
  JournalSegment Segment;
};
/// Look a key up in the journal of an issuer that is gone.
struct ReadJournal {
  RequestId Id;
  IssuerToken Token;
  std::string Key;
};
/// Ask a server whether it is still leaving.
struct ProbeServer {
  BackendServer Server;
};
/// Write one log line.
struct LogEvent {
  std::string Name;
  std::vector<std::pair<std::string, std::string>> Fields;
};
/// Keep a span for traces and `explain`.
struct RecordSpan {
  Span Value;
};
/// The planned stop is complete: the process may end.
struct Stopped {};

using Action = std::variant<CallServer, CancelCall, ReplyToCaller, SendToPeer,
                            FetchConfiguration, WriteJournal, ReadJournal,
                            ProbeServer, LogEvent, RecordSpan, Stopped>;

/// What an entry host is told at its start.
struct NodeSettings {
  MemberRecord Self;
  std::vector<std::string> SeedAddresses;
  /// Seed of every random choice.
  std::uint64_t RandomSeed = 1;
  /// How long callers may keep the list of entry hosts.
  Duration EntriesLifetime = std::chrono::seconds(5);
  /// A planned stop that is not complete by then is cut short.
  Duration StopTimeout = std::chrono::seconds(60);
  ClaimLimits Claims;
  JournalLimits Journal;
  MembershipTimes Membership;
  NoticeLifetimes Notices;
  SchedulerPolicy Scheduling;
  DispatchPolicy Dispatching;
  LoadReportBudget LoadReports;
};

/// One entry host that callers may use.
struct EntryHost {
  HostName Host;
  std::string Address;
  std::string DataCentre;
  /// Share of the caller's requests, in percent.
  unsigned Share = 0;
  /// Token to send with requests to this host that may run once only.
  std::string Token;

  friend bool operator==(const EntryHost &, const EntryHost &) = default;
};

/// Answer to `GET /v1/entries`.
struct EntriesAnswer {
  std::vector<EntryHost> Hosts;
  Duration KeepFor{};
};

/// Numbers for metrics and status pages.
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

/// The decisions of one entry host. Not thread-safe; holds no sockets, files
/// or clocks. After each event the caller carries out takeActions().
class Node {
public:
  Node(Instant Now, NodeSettings Settings);
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Time passes; to be called every few milliseconds.
  void onTick(Instant Now);
  void onCallerRequest(Instant Now, RequestId Id, RequestPtr Request);
  void onCallerGone(Instant Now, RequestId Id);
  void onCallResult(Instant Now, CallId Id, const CallResult &Result);
  void onPeerMessage(Instant Now, const PeerMessage &Message);
  /// The table's head row was read.
  void onHeadSeen(Instant Now, const ConfigurationId &ConfigId);
  /// A configuration whose bytes match its digest arrived from anywhere.
  void onConfiguration(Instant Now, ConfigurationPtr Arrived);
  /// The platform's host list: peers to try and servers that are leaving.
  void onHostList(Instant Now, const std::vector<std::string> &PeerAddresses,
                  const std::vector<ServerName> &Leaving);
  /// A probed server said whether it is leaving; no answer tells nothing.
  void onProbeResult(Instant Now, const ServerName &Server, bool Draining);
  /// The segment of the last WriteJournal was written, or was not.
  void onJournalWritten(Instant Now, bool Written);
  /// What the journal says of the key of a ReadJournal; null for nothing.
  void onJournalRead(Instant Now, RequestId Id, const AnswerPtr &Reply);
  /// A planned stop begins.
  void onStop(Instant Now);

  /// The entry hosts that a caller should use. Never empty while this host
  /// can answer.
  EntriesAnswer entries(Instant Now) const;

  /// Everything to be done since the last call.
  std::vector<Action> takeActions();

  ConfigurationPtr configuration() const { return Current; }
  const Membership &members() const { return Members; }
  bool stopping() const { return StopStartedAt.has_value(); }
  /// Whether callers can be served: a configuration is in force.
  bool ready() const { return Current != nullptr && !stopping(); }
  std::vector<ServerView> servers(Instant Now) const {
    return Local.servers(Now);
  }
  /// Name of the host that owns each server, in the order of the file.
  std::vector<std::pair<ServerName, HostName>> owners() const;
  NodeCounters counters() const;

private:
  struct SenderState {
    IncarnationId Incarnation;
    SequenceWindow Window;
    DelayEstimator Delays;
  };

  Membership::Hooks membershipHooks();
  Scheduler::Hooks schedulerHooks();
  Dispatcher::Hooks dispatcherHooks();
  CallerRequestHandler::Hooks callerRequestHooks();
  LoadReporter::Hooks reporterHooks();
  CrashReporter::Hooks crashHooks();
  void reportCrash(const WorkItem &Item, const ServerName &Server);
  void routeResult(const WorkItem &Item, const AttemptResult &Result);

  void act(Action Next) { Actions.push_back(std::move(Next)); }
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
  /// Rows are handed on among hosts that follow the store only.
  void handle(const HostName &, const TableRequest &) {}
  void handle(const HostName &, const TableRows &) {}
  void handle(const HostName &, const ViewSummary &) {}

  void compareState(const HostName &From, std::uint64_t Digest,
                    const std::optional<ConfigurationId> &ConfigId);
  void considerConfiguration(const ConfigurationId &ConfigId,
                             const std::optional<HostName> &ToldBy);
  void onMemberChanged(const MemberRecord &Record, UpdateSource Source);
  void updateOwnership();
  void announceConfigId();
  std::vector<HostName> ownersOf(const Service &Subject,
                                 const std::vector<MemberRecord> &Hosts) const;
  void assignService(const Service &Subject,
                     const std::vector<MemberRecord> &Hosts);
  void applyDrain(const ServerName &Server);
  void markDrain(const ServerName &Server, bool Draining);
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
  /// How long the message that is being handled was on its way.
  Duration MessageDelay{};
  std::mt19937_64 Random;
  std::vector<Action> Actions;
  std::uint64_t LastSequence = 0;
  std::map<HostName, SenderState> Senders;
  std::uint64_t DroppedMessages = 0;

  ConfigurationPtr Current;
  std::unordered_map<ServiceName, std::size_t> ServiceIndexes;
  /// Servers of the configuration before; empty before the first one.
  std::set<ServerName> EarlierServers;
  bool HadConfiguration = false;
  std::optional<Instant> LastFetch;
  ConfigurationId LastFetchConfigId;

  ExpiringNotices Notices;
  std::set<ServerName> ListedAsLeaving;
  std::map<ServerName, Instant> DrainedSince;
  Instant NextProbe{};
  std::vector<MemberRecord> OwnershipHosts;
  bool OwnershipStale = false;

  std::optional<Instant> StopStartedAt;
  std::optional<HostName> HandoverTo;
  std::size_t HandoversOpen = 0;
  Instant NextHandoverTry{};
  bool Done = false;

  Membership Members;
  ClaimJournal Journal;
  ClaimTable Claims;
  OwnerLoadTable Loads;
  Scheduler Local;
  Dispatcher Requests;
  CallerRequestHandler CallerRequests;
  LoadReporter Reporter;
  CrashReporter Crashes;
  ResultSender Results;
};

} // namespace mimosacart
