/// \file
/// Buffers settled claims until they are written to the platform's object
/// store, where they outlive the process that settled them.
#pragma once

#include "core/claim_table.h"
#include "core/ids.h"
#include "core/issuer_token.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mimosacart {

/// Limits of a ClaimJournal.
struct JournalLimits {
  /// Minimum time between two segment writes of one host.
  Duration Interval = std::chrono::milliseconds(500);
  /// Segments that all hosts of the fleet together may write per second.
  std::size_t FleetWritesPerSecond = 200;
  /// Maximum number of claims buffered while the platform is unreachable; the
  /// oldest are dropped.
  std::size_t MaxWaiting = 20'000;
  /// Maximum size of a recorded answer's body, in bytes. For a larger one the
  /// journal only records that the request ran.
  std::size_t MaxAnswerBytes = 16U << 10U;
};

/// Claims that are written to the object store as one object.
struct JournalSegment {
  /// Token epoch that was current when the segment was created.
  std::uint64_t Epoch = 0;
  /// Position within the epoch: 0, 1, 2, ... without gaps.
  std::uint64_t Number = 0;
  std::vector<TransferredClaim> Claims;
};

/// Returns the name of a segment's object in the object store.
std::string segmentName(const HostName &Host, IncarnationId Incarnation,
                        std::uint64_t Epoch, std::uint64_t Number);

/// A claim may be journalled in the epoch of its token or in this many epochs
/// after it, so readers of the journal search all of them.
inline constexpr std::uint64_t JournalEpochSpan = 2;

/// Collects settled claims and groups them into segments, of which one at a
/// time is written.
///
/// At-most-once execution does not depend on the journal. It only lets other
/// hosts look up the result of a key whose issuer is no longer available.
class ClaimJournal {
public:
  explicit ClaimJournal(JournalLimits Limits) : Limits(Limits) {}

  /// Adds a claim whose answer is final.
  void record(const ClaimKey &Claim, const AnswerPtr &Reply);

  /// Returns the segment to write at \p Now, where \p Epoch is the current
  /// token epoch. Returns nothing if there are no claims, if a write is in
  /// progress or if the last one was too recent. The write rate of the fleet
  /// (JournalLimits::FleetWritesPerSecond) is split among \p Hosts hosts.
  std::optional<JournalSegment> next(Instant Now, std::uint64_t Epoch,
                                     std::size_t Hosts);

  /// Reports the result of the last write; next() returns a segment again if
  /// writing it failed.
  void onWritten(bool Succeeded);

  /// Number of claims that are not part of a segment yet.
  std::size_t waiting() const { return Waiting.size(); }
  /// Number of claims dropped because the buffer was full while the platform
  /// was unreachable.
  std::uint64_t dropped() const { return Dropped; }

private:
  const JournalLimits Limits;
  std::deque<TransferredClaim> Waiting;
  /// The segment being written or to be written again.
  std::optional<JournalSegment> Current;
  bool IsWriting = false;
  Instant NextWriteAt{};
  std::uint64_t LastEpoch = 0;
  std::uint64_t NextSegmentNumber = 0;
  std::uint64_t Dropped = 0;
};

} // namespace mimosacart
