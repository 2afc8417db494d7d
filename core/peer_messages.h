/// \file
/// Messages between entry hosts as typed values; the `wire` folder encodes and
/// decodes them.
#pragma once

#include "core/configuration.h"
#include "core/ids.h"
#include "core/request.h"
#include "core/store_version.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosacart {

/// Status of an entry host as seen by its peers. Of two records with the same
/// incarnation and refutation, the one with the greater status replaces the
/// other.
enum class MemberStatus : std::uint8_t { Alive, Suspect, Dead, Left };

/// Name of \p Value in logs and status pages.
const char *toString(MemberStatus Value);

/// State of one entry host, exchanged by gossip.
struct MemberRecord {
  HostName Host;
  IncarnationId Incarnation;
  /// Increased by the host itself when it refutes a suspicion or changes its
  /// own record.
  std::uint32_t Refutation = 0;
  MemberStatus Status = MemberStatus::Alive;
  /// Set by the host itself once a planned stop has begun.
  bool Leaving = false;
  std::string DataCentre;
  std::string PeerAddress;
  std::string CallerAddress;
  /// The host's latest known token epoch; never decreases within an
  /// incarnation.
  std::uint64_t Epoch = 0;
  /// Host that took over the claims of a host that left; empty if none did.
  HostName Successor;
  /// Time since the status of a dead host or a host that left was set; zero for
  /// other hosts.
  Duration Age{};

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// Whether a backend server is draining, and how long the notice stays valid.
/// Of two notices about one server, the one with the greater version applies.
struct DrainNotice {
  ServerName Server;
  std::uint64_t Version = 0;
  bool Draining = false;
  Duration Remaining{};

  friend bool operator==(const DrainNotice &, const DrainNotice &) = default;
};

/// A connection to a backend server that broke while the server ran a request.
struct CrashNotice {
  /// Hash of the request that was running.
  std::uint64_t Fingerprint = 0;
  ServerName Server;
  /// Distinguishes two crashes of the same server.
  std::uint64_t EventId = 0;
  Duration Remaining{};
  /// Whether the request is no longer suspected of this crash.
  bool Excused = false;

  friend bool operator==(const CrashNotice &, const CrashNotice &) = default;
};

/// Tables of the store that hosts replicate.
enum class StoreTable : std::uint8_t { Routes, Servers };

/// Name of \p Value in logs.
const char *toString(StoreTable Value);

/// Versions up to which a host has the rows of each replicated table.
struct TableVersions {
  StoreVersion Routes;
  StoreVersion Servers;

  StoreVersion of(StoreTable Table) const {
    return Table == StoreTable::Routes ? Routes : Servers;
  }
  friend bool operator==(const TableVersions &,
                         const TableVersions &) = default;
};

/// One row of a replicated table; the core does not interpret its value.
struct TableRow {
  std::string Key;
  /// Increases with each write to the store.
  StoreVersion Version;
  bool Removed = false;
  std::string Value;

  friend bool operator==(const TableRow &, const TableRow &) = default;
};

/// Checks whether the receiver is alive; carries the sender's own record.
struct Ping {
  std::uint64_t Sequence = 0;
  MemberRecord Self;
  /// Digest of the sender's soft state; a receiver with another digest sends
  /// its own state.
  std::uint64_t StateDigest = 0;
  std::optional<ConfigurationId> ConfigId;
  TableVersions Tables;
};

/// Answers the Ping with the same sequence number.
struct Ack {
  std::uint64_t Sequence = 0;
  MemberRecord Self;
  std::uint64_t StateDigest = 0;
  std::optional<ConfigurationId> ConfigId;
  TableVersions Tables;
};

/// Asks the receiver to ping `Target` and to forward the ack to the sender.
struct PingRequest {
  std::uint64_t Sequence = 0;
  HostName Target;
};

/// Soft state of the sender: all of it after digests differed, otherwise only
/// the changes.
struct SoftState {
  std::vector<MemberRecord> Members;
  std::vector<DrainNotice> Drains;
  std::vector<CrashNotice> Crashes;
  std::optional<ConfigurationId> ConfigId;
  /// Whether the receiver forwards these updates to the hosts of its data
  /// centre.
  bool ForwardInDataCentre = false;
};

/// Digests of the sender's soft state by bucket; the receiver answers with its
/// own state of the buckets that differ.
struct ViewSummary {
  std::vector<std::uint64_t> Buckets;
};

/// Reports a crash; the receiver answers with a CrashReportAck.
struct CrashReport {
  CrashNotice Notice;
};

/// Confirms that the receiver of a CrashReport has recorded the crash.
struct CrashReportAck {
  std::uint64_t EventId = 0;
};

/// Load and capacity of one host for one service.
struct ServiceLoad {
  ServiceName Service;
  std::uint32_t FreeSlots = 0;
  /// Free and occupied slots of servers that are neither draining nor ejected.
  std::uint32_t UsableSlots = 0;
  /// Attempts that wait for a slot.
  std::uint32_t Queued = 0;

  friend bool operator==(const ServiceLoad &, const ServiceLoad &) = default;
};

/// Loads of the services that the sender owns servers of.
struct LoadReport {
  std::vector<ServiceLoad> Loads;
};

/// One attempt that the receiver runs on one of the servers that it owns.
struct ForwardedAttempt {
  HostName Origin;
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
  ServiceName Service;
  std::string Kind;
  RequestPtr Request;
  /// Time left for the attempt when the message was sent.
  Duration Remaining{};
  /// Number of times that the attempt was forwarded from host to host.
  std::uint32_t Hops = 0;
  /// Server of an earlier attempt, which is used only if no other is free.
  ServerName Avoid;
  /// The sender's own load, from which the receiver learns the capacity left
  /// at the sender.
  std::optional<ServiceLoad> Load;
};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t { Answered, NotRun, Failed };

/// Result of an attempt, sent directly to its origin: the host that created the
/// attempt.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Failed;
  AnswerPtr Reply;
  RefusalReason Reason = RefusalReason::None;
  ServerName Server;
  /// Time from the start of the call to the server until its end.
  Duration ServiceTime{};
};

/// Carries an AttemptResult to the incarnation that created the attempt.
struct AttemptAnswer {
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
  AttemptResult Result;
  std::optional<ServiceLoad> Load;
  /// Whether the sender repeats the message until it receives an
  /// AttemptAnswerAck.
  bool NeedsAck = false;
};

/// Confirms the AttemptAnswer for an attempt that the sender created.
struct AttemptAnswerAck {
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
};

/// Withdraws an attempt that is still queued at the receiver.
struct CancelForwarded {
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
};

/// Asks the receiver to forward up to `Slots` queued attempts of the service to
/// the sender, which owns servers of the service and has free slots.
struct WorkRequest {
  ServiceName Service;
  std::uint32_t Slots = 0;
};

/// Forwards a non-idempotent request to the host that issued its token.
struct ClaimCall {
  /// Matches the ClaimAnswer to this call.
  std::uint64_t Correlation = 0;
  RequestPtr Request;
  /// Time left for the request when the message was sent.
  Duration Remaining{};
};

/// The issuer's answer to a ClaimCall.
struct ClaimAnswer {
  std::uint64_t Correlation = 0;
  AnswerPtr Reply;
};

/// A settled claim as transferred to a successor.
struct TransferredClaim {
  std::uint64_t Epoch = 0;
  std::string Key;
  AnswerPtr Reply;

  friend bool operator==(const TransferredClaim &,
                         const TransferredClaim &) = default;
};

/// Transfers claims of an incarnation that has stopped dispatching permanently.
struct Handover {
  HostName From;
  IncarnationId Incarnation;
  std::uint64_t CurrentEpoch = 0;
  std::uint64_t OldestEpoch = 0;
  std::vector<TransferredClaim> Claims;
};

/// Confirms that the receiver of a Handover has stored its claims.
struct HandoverAck {
  IncarnationId Incarnation;
};

/// Asks the receiver for the bytes of a configuration.
struct ConfigurationRequest {
  ConfigurationId ConfigId;
};

/// The bytes of a configuration; the receiver checks them against the digest.
struct ConfigurationBytes {
  ConfigurationId ConfigId;
  std::string Bytes;
};

/// Asks the receiver for rows that the sender has not received from the store.
struct TableRequest {
  StoreTable Table = StoreTable::Routes;
  /// Only rows that changed after this version are requested.
  StoreVersion After;
};

/// The sender's rows of a table up to a version. A message without rows
/// confirms that the sender is up to date with the store.
struct TableRows {
  StoreTable Table = StoreTable::Routes;
  /// The message holds every row that changed after this version. Unless it is
  /// whole, this is in the era of UpTo or before all rows.
  StoreVersion After;
  /// The version up to which the sender has the table's rows; they are all of
  /// its era.
  StoreVersion UpTo;
  /// Whether the message holds all rows of the table, not only changed rows.
  bool Whole = false;
  /// Time since the store confirmed to the sender that `UpTo` is the latest
  /// version; empty if the sender does not read the store.
  std::optional<Duration> ConfirmedAgo;
  /// The host that read the store then; empty if the sender is of a version
  /// that does not name it.
  HostName Reader;
  std::vector<TableRow> Rows;
  /// Whether the receiver forwards these rows to the hosts of its data centre.
  bool ForwardInDataCentre = false;
  /// Addresses of the peers that the receiver provides with these rows.
  std::vector<std::string> ForwardTo;
};

/// Tokens of one workspace that the sender wants to borrow or returns.
struct QuotaAsk {
  std::string Workspace;
  std::uint32_t Wanted = 0;
  std::uint32_t Returned = 0;

  friend bool operator==(const QuotaAsk &, const QuotaAsk &) = default;
};

/// Asks the receiver to lend tokens. Without any Asks it asks only whether the
/// receiver counts the sender among the hosts that serve callers.
struct QuotaRequest {
  /// Matches the QuotaGrant to this request.
  std::uint64_t Number = 0;
  std::vector<QuotaAsk> Asks;
};

/// Answer to a QuotaAsk.
struct QuotaLease {
  std::string Workspace;
  /// Whether the sender lends for the workspace now.
  bool Lends = false;
  std::uint32_t Tokens = 0;
  /// Validity of the tokens, from the sending of the request on.
  Duration Lifetime{};
  /// Time until more tokens are expected; zero if all wanted were lent.
  Duration Wait{};

  friend bool operator==(const QuotaLease &, const QuotaLease &) = default;
};

/// State of the bucket of a workspace for which the receiver lends from now on.
struct QuotaHandover {
  std::string Workspace;
  std::uint32_t Tokens = 0;
  /// Tokens in leases of the sender that are still valid.
  std::uint32_t Lent = 0;
  /// Tokens earned in 1,000 s.
  std::uint32_t MilliRate = 0;

  friend bool operator==(const QuotaHandover &,
                         const QuotaHandover &) = default;
};

/// Answers the QuotaRequest with the same number, or hands over buckets.
struct QuotaGrant {
  std::uint64_t Number = 0;
  /// Whether the sender counts the receiver among the hosts that serve callers,
  /// so that it does not lend in its place.
  bool Confirms = false;
  std::vector<QuotaLease> Leases;
  std::vector<QuotaHandover> Handovers;
};

using PeerBody =
    std::variant<Ping, Ack, PingRequest, SoftState, LoadReport,
                 ForwardedAttempt, AttemptAnswer, CancelForwarded, WorkRequest,
                 ClaimCall, ClaimAnswer, Handover, HandoverAck,
                 ConfigurationRequest, ConfigurationBytes, CrashReport,
                 CrashReportAck, AttemptAnswerAck, TableRequest, TableRows,
                 ViewSummary, QuotaRequest, QuotaGrant>;

/// One message with its sender.
struct PeerMessage {
  HostName From;
  IncarnationId FromIncarnation;
  /// Increases with every message of the sender's incarnation.
  std::uint64_t Sequence = 0;
  /// The sender's monotonic time when it sent the message.
  Instant SentAt{};
  PeerBody Body;
};

/// Name of the message type of \p Body in logs and metrics.
const char *nameOf(const PeerBody &Body);

} // namespace mimosacart
