/// \file
/// Decides which hosts read the store, and sends table rows to the others.
#pragma once

#include "direct/flow_types.h"
#include "direct/reader_ranks.h"
#include "direct/repair_requests.h"
#include "direct/table_cache.h"
#include "direct/table_sync_times.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace mimosacart {

/// How a host reads the store.
enum class ReadMode : std::uint8_t {
  /// It does not read the store; other hosts do.
  None,
  /// It waits for changes with long polls. An unchanged table is confirmed
  /// rarely.
  Standby,
  /// It polls often enough to confirm to the other hosts that their rows are up
  /// to date.
  Active,
};

/// Name of \p Value in logs.
const char *toString(ReadMode Value);

/// What a host knows of one table, for metrics.
struct TableFreshness {
  /// Time since its rows were last known to match the store; empty if they
  /// never were.
  std::optional<Duration> ConfirmedAgo;
  /// Requests to peers for rows so far, and those of them that had no answer
  /// when the next one was sent.
  std::uint64_t Requests = 0;
  std::uint64_t RequestsUnanswered = 0;
};

/// Keeps the table caches of all hosts up to date while only two hosts read the
/// store: the primary reader and a backup reader. They broadcast changes and
/// confirmations that nothing changed. A host that receives neither in time
/// reads the store itself.
///
/// Each host decides from the last message that it received. A reader that
/// loses the store or its peers therefore delays updates, but never leaves a
/// host with stale rows for good.
class TableSync {
public:
  struct Hooks {
    std::function<void(const HostName &, PeerBody)> Send;
    /// Sends an update to all other hosts.
    std::function<void(const TableRows &)> Broadcast;
    /// Sets how this host reads a table of the store from now on.
    std::function<void(StoreTable, ReadMode)> SetReadMode;
    /// Reads a whole table from the store once.
    std::function<void(StoreTable)> ReadTable;
    FlowLogHook Log;
  };

  /// If \p IsFirstStart, the whole fleet starts with an empty store, so that
  /// only the readers need to read it.
  TableSync(const HostName &Self, TableSyncTimes Times, bool IsFirstStart,
            const std::map<StoreTable, TableCache *> &Tables, Hooks Callbacks);

  /// Sets the hosts of the fleet, this one included.
  void setMembers(const std::vector<MemberRecord> &Members) {
    Ranks.setMembers(Members);
  }
  /// Handles an answer of the store, after which this host has the latest rows
  /// of \p Table. \p HasChanges tells whether the answer held changed rows;
  /// \p PreviousVersion is the latest row version before the answer.
  void onStoreRead(Instant Now, StoreTable Table, bool HasChanges,
                   StoreVersion PreviousVersion);
  /// Handles the table versions that the peer \p From has.
  void onPeerVersions(Instant Now, const HostName &From,
                      const TableVersions &Versions);
  void onRequest(Instant Now, const HostName &From,
                 const TableRequest &Message);
  /// \p Delay is the transit time of the message beyond that of the fastest
  /// message from this peer.
  void onRows(Instant Now, const HostName &From, const TableRows &Message,
              Duration Delay);
  void tick(Instant Now);

  /// Whether this host has no rows of any table.
  bool lacksRows() const { return versions() == TableVersions(); }
  /// Position of this host in the order of all hosts. Rank 0 is the primary
  /// reader, rank 1 the backup reader.
  std::size_t rank() const { return Ranks.rank(); }
  /// Longest pause between calls of this host to a store that does not answer.
  /// The first hosts by rank call often and update the others as soon as the
  /// store is back. The others call too, since the store may be reachable only
  /// from one of them.
  Duration longestRetry() const;
  /// How long this host waits for the whole table from a peer before it reads
  /// it from the store. \p AfterFailures tells that its calls had failed
  /// before.
  Duration wholeReadDelay(bool AfterFailures) const;
  TableVersions versions() const;
  TableFreshness freshness(Instant Now, StoreTable Table) const;

private:
  struct TableState {
    TableCache *Cache = nullptr;
    /// How this host reads the table.
    ReadMode Mode = ReadMode::None;
    /// This host does not leave the active mode before this time.
    Instant ReadUntil{};
    /// When this host's rows were last known to match the store.
    std::optional<Instant> ConfirmedAt;
    /// The host that read the store then; empty if not known.
    HostName ConfirmedBy;
    /// When a reader last read the store, as a message told. This host may lack
    /// rows of then.
    std::optional<Instant> AnnouncedAt;
    /// Peer with the latest version that this host lacks.
    std::optional<HostName> NewerPeer;
    /// The version that NewerPeer has, and when this host learned of it.
    StoreVersion NewerVersion;
    Instant NewerVersionAt{};
    /// When this host first heard of a version that it lacks, and from whom.
    Instant HeardAt{};
    HostName HeardFrom;
    /// Requests to peers for rows or a confirmation.
    RepairRequests Repair;
    /// When a host that outranks this one as a reader last confirmed the rows.
    std::optional<Instant> ToldAt;
    /// The version that this host waits for, and since when. NewerVersion
    /// replaces it only after it has arrived.
    StoreVersion PendingVersion;
    Instant PendingSince{};
    /// When the backup reader broadcasts the rows that changed after version
    /// BackupSendAfter, unless the primary reader does so earlier.
    std::optional<Instant> BackupSendAt;
    StoreVersion BackupSendAfter;
  };

  /// Reads the tables from the store that this host lacks shortly after its
  /// start and cannot get from a peer.
  void readAtStart(Instant Now);
  /// Requests the rows or the confirmation that this host lacks from a peer.
  void requestRows(Instant Now, StoreTable Table, TableState &State);
  /// Whether this host lacks a confirmation that it would have by now if
  /// nothing was lost.
  bool isSilent(Instant Now, const TableState &State) const;
  /// Whether this host lacks rows or a confirmation.
  bool needsRepair(Instant Now, const TableState &State) const {
    return State.NewerPeer || isSilent(Now, State);
  }
  /// Ends the requests once nothing is lacking, and begins them at once if
  /// confirmations are lacking.
  void updateRepair(Instant Now, TableState &State) const;
  /// Whether this host reads the store for the others: it is the primary
  /// reader, or a candidate that no reader of a lower rank has told anything
  /// lately.
  bool isActingPrimary(Instant Now, const TableState &State) const;
  void recordNewerVersion(Instant Now, TableState &State, const HostName &From,
                          StoreVersion Version);
  /// Log fields that tell how long this host has known that it lacks rows, and
  /// how old its knowledge of the table is.
  static FlowFields lackFields(Instant Now, const TableState &State);
  /// The rows that changed after version \p After, with the age of the last
  /// confirmation.
  static TableRows makeUpdate(Instant Now, StoreTable Table,
                              const TableState &State, StoreVersion After);
  /// Sends the update to all other hosts in parts, without rows if one of them
  /// is too large.
  void broadcastUpdate(Instant Now, StoreTable Table, const TableState &State,
                       StoreVersion After);
  void updateReadModes(Instant Now);
  void updateReadMode(Instant Now, StoreTable Table, TableState &State);
  /// Time without a confirmation after which this host reads the store itself.
  Duration confirmationTimeout(const TableState &State) const;
  Duration updateTimeout() const;
  /// Time from the moment that this host learns of \p Version until it requests
  /// its rows, and until it reads the store.
  Duration requestAfter(const TableState &State, StoreVersion Version) const;
  Duration updateTimeout(const TableState &State, StoreVersion Version) const;
  /// Whether \p Message continues the rows of \p Cache, or replaces them by
  /// those of the same era or a later one.
  static bool isApplicable(const TableRows &Message, const TableCache &Cache);
  /// Takes rows and the confirmation of a peer.
  void applyRows(Instant Now, const HostName &From, const TableRows &Message,
                 Duration Delay, TableState &State);
  /// Whether hosts forward updates to each other.
  bool isLargeFleet() const;
  void setMode(Instant Now, StoreTable Table, TableState &State,
               ReadMode NewMode, const char *Reason);
  /// Whether the table was confirmed to be up to date at \p Since or later.
  static bool confirmedSince(const TableState &State, Instant Since);
  /// Whether a pending version did not arrive within UpdateTimeout.
  bool isUpdateOverdue(Instant Now, const TableState &State) const;
  /// Forgets the newer version, or waits for the next one, once the rows have
  /// arrived.
  void updatePendingVersion(TableState &State) const;

  const HostName Self;
  const TableSyncTimes Times;
  const bool IsFirstStart;
  const Hooks Callbacks;
  std::map<StoreTable, TableState> Tables;
  ReaderRanks Ranks;
  std::mt19937 Random;
  /// Time of the first tick().
  std::optional<Instant> StartedAt;
  /// A peer has no tables either: many hosts have just started.
  bool PeerLacksTables = false;
  bool ReadAtStartDone = false;
};

} // namespace mimosacart
