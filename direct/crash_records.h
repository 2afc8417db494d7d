/// \file
/// Decides which crashes of servers are recorded in the store, so that a
/// request stays quarantined although all hosts restart at once.
#pragma once

#include "core/expiring_notices.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace mimosacart {

/// Records a request that has crashed MinCrashes servers, reads the records of
/// earlier incarnations once, and removes a record when its crashes have
/// expired.
class CrashRecords {
public:
  /// The result of the first two is passed to onChanged(), that of the third to
  /// onRead().
  struct Hooks {
    std::function<void(std::uint64_t Fingerprint,
                       const std::vector<CrashNotice> &)>
        Write;
    std::function<void(std::uint64_t Fingerprint)> Remove;
    std::function<void()> Read;
  };

  /// Requests with fewer crashes may still be sent and are not recorded.
  static constexpr std::size_t MinCrashes = 3;
  /// Hosts that read the records: those with the lowest ranks.
  static constexpr std::size_t ReaderCount = 4;
  /// Time after the start in which a host discovers its peers and its rank.
  static constexpr Duration DiscoveryTime = std::chrono::seconds(1);
  /// Time from a call to the store that failed to the next.
  static constexpr Duration RetryInterval = std::chrono::seconds(2);
  /// Records that the store has lost are written again after this time for each
  /// rank below that of the host.
  static constexpr Duration RewriteDelayPerRank = std::chrono::milliseconds(20);

  explicit CrashRecords(Hooks Callbacks) : Callbacks(std::move(Callbacks)) {}

  /// This host reported a crash of a request with \p Fingerprint.
  void onCrashReported(std::uint64_t Fingerprint);
  /// The record has been written or removed, or the store did not do so.
  void onChanged(std::uint64_t Fingerprint, bool Succeeded);
  /// \p Recorded are the crashes in all records.
  void onRead(const std::vector<CrashNotice> &Recorded);
  /// The store has come back from an older copy, which may lack the records.
  void onStoreEraChanged(Instant Now, std::size_t Rank);
  /// \p Rank is this host's rank, see TableSync::rank().
  void tick(Instant Now, std::size_t Rank, const ExpiringNotices &Notices);

private:
  enum class RecordState : std::uint8_t { Unwritten, Changing, Written };
  struct Record {
    RecordState State = RecordState::Unwritten;
    /// The latest change was a removal.
    bool Removing = false;
    Instant RetryAt{};
    /// The store may have lost the latest change.
    bool MayBeLost = false;
  };

  void readOnce(Instant Now, std::size_t Rank);
  /// Returns whether the record is done with.
  bool update(Instant Now, std::uint64_t Fingerprint, Record &Entry,
              const ExpiringNotices &Notices);

  const Hooks Callbacks;
  std::map<std::uint64_t, Record> Records;
  std::optional<Instant> NextReadAt;
  bool HasRead = false;
};

} // namespace mimosacart
