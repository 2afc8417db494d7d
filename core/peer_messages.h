/// \file
/// Messages between entry hosts as typed values; `wire` gives them bytes.
#pragma once

#include "core/configuration.h"
#include "core/ids.h"
#include "core/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosacart {

/// What the fleet believes of an entry host; greater values override lesser
/// ones of the same incarnation and refutation.
enum class MemberStatus : std::uint8_t { Alive, Suspect, Dead, Left };

/// Word used for \p Value in logs and status pages.
const char *toString(MemberStatus Value);

/// One entry host as told by gossip.
struct MemberRecord {
  HostName Host;
  IncarnationId Incarnation;
  /// Raised by the host itself to deny a suspicion.
  std::uint32_t Refutation = 0;
  MemberStatus Status = MemberStatus::Alive;
  /// Set by the host itself once a planned stop has begun.
  bool Leaving = false;
  std::string DataCentre;
  std::string PeerAddress;
  std::string CallerAddress;
  /// The host's latest known token epoch; it only grows within a life.
  std::uint64_t Epoch = 0;
  /// Host that took over the claims of a host that left.
  HostName Successor;
  /// Time since a departed host's status was set; zero for the others.
  Duration Age{};

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// Whether a backend server is leaving, and how long to believe it. The
/// greater version of two notices about one server holds.
struct DrainNotice {
  ServerName Server;
  std::uint64_t Version = 0;
  bool Draining = false;
  Duration Remaining{};

  friend bool operator==(const DrainNotice &, const DrainNotice &) = default;
};

/// A server connection that broke while it ran the fingerprinted request.
struct CrashNotice {
  std::uint64_t Fingerprint = 0;
  ServerName Server;
  /// Distinguishes two crashes of the same server.
  std::uint64_t EventId = 0;
  Duration Remaining{};

  friend bool operator==(const CrashNotice &, const CrashNotice &) = default;
};

/// Tables of the store that every host follows.
enum class StoreTable : std::uint8_t { Routes, Servers };

/// Word used for \p Value in logs.
const char *toString(StoreTable Value);

/// Versions up to which a host knows the followed tables.
struct TableVersions {
  std::uint64_t Routes = 0;
  std::uint64_t Servers = 0;

  std::uint64_t of(StoreTable Table) const {
    return Table == StoreTable::Routes ? Routes : Servers;
  }
  friend bool operator==(const TableVersions &,
                         const TableVersions &) = default;
};

/// One row of a followed table; its bytes mean nothing to the core.
struct TableRow {
  std::string Key;
  /// Grows with each write to the store.
  std::uint64_t Version = 0;
  bool Removed = false;
  std::string Value;

  friend bool operator==(const TableRow &, const TableRow &) = default;
};

/// Asks whether the receiver is alive; carries the sender's own record.
struct Ping {
  std::uint64_t Sequence = 0;
  MemberRecord Self;
  /// Digest of the sender's soft state; a difference asks for a SoftState.
  std::uint64_t StateDigest = 0;
  std::optional<ConfigurationId> ConfigId;
  TableVersions Tables;
};

/// Answers a Ping; `Sequence` is the ping's.
struct Ack {
  std::uint64_t Sequence = 0;
  MemberRecord Self;
  std::uint64_t StateDigest = 0;
  std::optional<ConfigurationId> ConfigId;
  TableVersions Tables;
};

/// Asks the receiver to ping \p Target on the sender's behalf.
struct PingRequest {
  std::uint64_t Sequence = 0;
  HostName Target;
};

/// Soft state: all of it when digests differ, or just what changed.
struct SoftState {
  std::vector<MemberRecord> Members;
  std::vector<DrainNotice> Drains;
  std::vector<CrashNotice> Crashes;
  std::optional<ConfigurationId> ConfigId;
  /// The receiver hands these news on to the hosts of its data centre.
  bool ForwardInDataCentre = false;
};

/// Digests of a host's soft state by bucket; the receiver answers with what
/// it knows in the buckets that differ.
struct ViewSummary {
  std::vector<std::uint64_t> Buckets;
};

/// Tells of a crash and asks for a CrashReportAck.
struct CrashReport {
  CrashNotice Notice;
};

/// Confirms that a CrashReport is taken into account.
struct CrashReportAck {
  std::uint64_t EventId = 0;
};

/// How much one host can take for one service.
struct ServiceLoad {
  ServiceName Service;
  std::uint32_t FreeSlots = 0;
  /// Slots of servers that are neither draining nor ejected.
  std::uint32_t UsableSlots = 0;
  std::uint32_t Queued = 0;

  friend bool operator==(const ServiceLoad &, const ServiceLoad &) = default;
};

/// Loads of the services that the sender owns servers of.
struct LoadReport {
  std::vector<ServiceLoad> Loads;
};

/// One attempt that the receiver is to run on a server that it owns.
struct ForwardedAttempt {
  HostName Origin;
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
  ServiceName Service;
  std::string Kind;
  RequestPtr Request;
  Duration Remaining{};
  /// Moves between hosts so far.
  std::uint32_t Hops = 0;
  /// Server of an earlier attempt, to be passed over if another is free.
  ServerName Avoid;
  /// The sender's own load, so that the receiver knows what is left there.
  std::optional<ServiceLoad> Load;
};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t { Answered, NotRun, Failed };

/// Result of an attempt, sent straight to its origin.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Failed;
  AnswerPtr Reply;
  RefusalReason Reason = RefusalReason::None;
  ServerName Server;
  /// Time between the call to the server and its end.
  Duration ServiceTime{};
};

/// Carries an AttemptResult to the origin's incarnation.
struct AttemptAnswer {
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
  AttemptResult Result;
  std::optional<ServiceLoad> Load;
  /// Whether the result is sent again until an AttemptAnswerAck comes.
  bool NeedsAck = false;
};

/// Confirms an AttemptAnswer of the sender's attempt.
struct AttemptAnswerAck {
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
};

/// Withdraws an attempt that is still queued at the receiver.
struct CancelForwarded {
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
};

/// An idle owner asks for up to `Slots` queued attempts of the service.
struct WorkRequest {
  ServiceName Service;
  std::uint32_t Slots = 0;
};

/// A non-idempotent request on its way to the host that issued its token.
struct ClaimCall {
  std::uint64_t Correlation = 0;
  RequestPtr Request;
  Duration Remaining{};
};

/// The issuer's answer to a ClaimCall.
struct ClaimAnswer {
  std::uint64_t Correlation = 0;
  AnswerPtr Reply;
};

/// A settled claim as handed to a successor.
struct TransferredClaim {
  std::uint64_t Epoch = 0;
  std::string Key;
  AnswerPtr Reply;

  friend bool operator==(const TransferredClaim &,
                         const TransferredClaim &) = default;
};

/// Claims of an incarnation that has stopped dispatching for good.
struct Handover {
  HostName From;
  IncarnationId Incarnation;
  std::uint64_t CurrentEpoch = 0;
  std::uint64_t OldestEpoch = 0;
  std::vector<TransferredClaim> Claims;
};

/// Confirms that a Handover is stored.
struct HandoverAck {
  IncarnationId Incarnation;
};

/// Asks a peer for the bytes behind a mark.
struct ConfigurationRequest {
  ConfigurationId ConfigId;
};

/// The bytes behind a mark; the receiver checks them against the digest.
struct ConfigurationBytes {
  ConfigurationId ConfigId;
  std::string Bytes;
};

/// Asks a peer for rows that the sender's store connection has not brought.
struct TableRequest {
  StoreTable Table = StoreTable::Routes;
  std::uint64_t After = 0;
};

/// Rows as the sender knows them up to a version; without rows, the sign that
/// the sender keeps up with the store.
struct TableRows {
  StoreTable Table = StoreTable::Routes;
  /// The rows are all that changed after this version.
  std::uint64_t After = 0;
  std::uint64_t UpTo = 0;
  /// All rows of the table, instead of what changed.
  bool Whole = false;
  /// Time since the store confirmed to the sender that this is the latest;
  /// nothing if the sender does not read the store.
  std::optional<Duration> ConfirmedAgo;
  std::vector<TableRow> Rows;
  /// The receiver hands these rows on to the hosts of its data centre.
  bool ForwardInDataCentre = false;
};

using PeerBody =
    std::variant<Ping, Ack, PingRequest, SoftState, LoadReport,
                 ForwardedAttempt, AttemptAnswer, CancelForwarded, WorkRequest,
                 ClaimCall, ClaimAnswer, Handover, HandoverAck,
                 ConfigurationRequest, ConfigurationBytes, CrashReport,
                 CrashReportAck, AttemptAnswerAck, TableRequest, TableRows,
                 ViewSummary>;

/// One message with its sender.
struct PeerMessage {
  HostName From;
  IncarnationId FromIncarnation;
  /// Grows with every message of the sender's incarnation.
  std::uint64_t Sequence = 0;
  /// The sender's monotonic time when it sent the message.
  Instant SentAt{};
  PeerBody Body;
};

/// Name of the message's type, for logs and metrics.
const char *nameOf(const PeerBody &Body);

} // namespace mimosacart
