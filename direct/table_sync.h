/// \file
/// Decides which hosts read the store, and hands rows on to the others.
#pragma once

#include "core/membership.h"
#include "direct/flow_types.h"
#include "direct/table_cache.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace mimosacart {

/// Constants of TableSync.
struct TableSyncTimes {
  /// A host that learns that it is behind reads the store unless the rows come
  /// within this time.
  Duration ReadWhenBehindFor = std::chrono::milliseconds(450);
  /// If that does not help for this long, it asks the peer that is ahead.
  Duration AskAfter = std::chrono::milliseconds(800);
  /// Rows of more bytes than this are not sent to all: one host's link would
  /// hold them up, while each can read them from the store.
  std::size_t MaxUpdateBytes = 16U << 10U;
  /// A host that nobody confirmed to be up to date for this long reads the
  /// store itself.
  Duration ReadAfter = std::chrono::milliseconds(1500);
  /// The second reader sends rows that it learnt itself unless the first one,
  /// which may have lost the store, sends them within this time.
  Duration BackupSendsAfter = std::chrono::milliseconds(200);
  /// The second reader asks the store more often if it was not told so for
  /// this long.
  Duration BackupReadsAfter = std::chrono::milliseconds(1150);
  /// Hosts that begin to read for that reason are spread over this time.
  Duration ReadSpread = std::chrono::milliseconds(200);
  /// A host whose own reading made up for that goes on for this long.
  Duration ReadAtLeast = std::chrono::seconds(2);
  /// Pauses between calls to a store that does not answer, for the first hosts
  /// by rank and for the others.
  Duration RetryOfFirst = std::chrono::milliseconds(800);
  Duration RetryOfOthers = std::chrono::seconds(2);
  std::size_t FirstToRetry = 8;
  /// Time from the start in which peers are found.
  Duration FindPeers = std::chrono::milliseconds(1200);
};

/// How closely a host is to follow the store.
enum class ReadMode : std::uint8_t {
  /// Others read it.
  None,
  /// Changes are waited for; the next one may be long in coming.
  Standby,
  /// The store is asked often enough to vouch for what others know.
  Active,
};

/// Word used for \p Value in logs.
const char *toString(ReadMode Value);

/// Two hosts read the store for all, the second as a stand-in; the others are
/// told by them and read it themselves whenever they are not told that they are
/// up to date.
///
/// Every host judges by what it was told last, so a reader that lost the store
/// or its peers costs time, never a state that stays old.
class TableSync {
public:
  struct Hooks {
    std::function<void(const HostName &, PeerBody)> Send;
    /// Tells all other hosts.
    std::function<void(const TableRows &)> Tell;
    std::function<void(ReadMode)> Read;
    FlowLogHook Log;
  };

  TableSync(HostName Self, TableSyncTimes Times,
            const std::map<StoreTable, TableCache *> &Tables, Hooks Callbacks);

  /// The hosts that are there, this one included, have changed.
  void setMembers(const std::vector<MemberRecord> &Members);
  /// The store confirmed that this host knows the latest rows; \p Changed
  /// tells whether it sent new ones, known up to \p Before until then.
  void onConfirmed(Instant Now, StoreTable Table, bool Changed,
                   std::uint64_t Before);
  /// A peer told which rows it knows.
  void onVersions(Instant Now, const HostName &From,
                  const TableVersions &Theirs);
  void onRequest(Instant Now, const HostName &From,
                 const TableRequest &Message);
  /// \p Delay is how long the message was on its way beyond the usual.
  void onRows(Instant Now, const HostName &From, const TableRows &Message,
              Duration Delay);
  void tick(Instant Now);

  ReadMode mode() const { return Mode; }
  /// This host's place among all; the first ones are readers.
  std::size_t rank() const { return Rank; }
  /// Pause between calls of this host to a store that does not answer. Some
  /// hosts ask often and tell the others as soon as it is back; these ask too,
  /// since they may be the only ones that it answers.
  Duration longestRetry() const;
  TableVersions versions() const;

private:
  struct State {
    TableCache *Cache = nullptr;
    /// When somebody last confirmed that this host was up to date.
    std::optional<Instant> ConfirmedAt;
    /// A peer that knows more, its version, since when that is known, and
    /// when to ask it.
    std::optional<HostName> Ahead;
    std::uint64_t AheadVersion = 0;
    Instant AheadAt{};
    Instant AskAt{};
    /// The version that is waited for, and since when; later ones are waited
    /// for once it came.
    std::uint64_t AwaitedVersion = 0;
    Instant BehindSince{};
    /// Set while the first reader is expected to send what changed after
    /// OwedAfter.
    std::optional<Instant> OwedAt;
    std::uint64_t OwedAfter = 0;
  };

  void recordAhead(Instant Now, State &Of, const HostName &From,
                   std::uint64_t Version);
  /// The rows that changed after \p After, vouched for as far as this host can.
  static TableRows updatesOf(Instant Now, StoreTable Table, const State &Of,
                             std::uint64_t After);
  /// Vouches to the other hosts for what is known, and sends them the rows
  /// that changed after \p After.
  void tellOthers(Instant Now, StoreTable Table, const State &Of,
                  std::uint64_t After);
  void decide(Instant Now);
  /// Time without a word after which this host reads the store itself.
  Duration patience() const;
  void setMode(ReadMode Next, const char *Reason);
  bool confirmedSince(Instant Since) const;
  bool behind(Instant Now) const;
  /// Forgets the versions that came meanwhile.
  void recordProgress(State &Of) const;

  const HostName Self;
  const TableSyncTimes Times;
  const Hooks Callbacks;
  std::map<StoreTable, State> Tables;
  /// All hosts without this one.
  std::vector<HostName> Others;
  /// This host's place among those that may read; 0 and 1 are the readers.
  std::size_t Rank = 0;
  ReadMode Mode = ReadMode::None;
  Instant ReadUntil{};
  std::optional<Instant> StartedAt;
};

} // namespace mimosacart
