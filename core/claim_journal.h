/// \file
/// Settled claims on their way to the platform's object store, where they
/// outlive the process that settled them.
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

/// Bounds of a ClaimJournal.
struct JournalLimits {
  /// At most one segment is written in this time.
  Duration Interval = std::chrono::milliseconds(500);
  /// Segments that the whole fleet may write in a second.
  std::size_t FleetWritesPerSecond = 200;
  /// Claims kept while the platform cannot be reached; the oldest give way.
  std::size_t MaxWaiting = 20'000;
  /// Larger answers are recorded as run, without their bytes.
  std::size_t MaxAnswerBytes = 16U << 10U;
};

/// Claims that were settled in one interval.
struct JournalSegment {
  /// Epoch in which the segment was first offered.
  std::uint64_t Epoch = 0;
  /// Counts from zero within the epoch, without gaps.
  std::uint64_t Number = 0;
  std::vector<TransferredClaim> Claims;
};

/// Name of a segment's object.
std::string segmentName(const HostName &Host, IncarnationId Incarnation,
                        std::uint64_t Epoch, std::uint64_t Number);

/// Epochs after that of a token in which its claims may have been settled.
inline constexpr std::uint64_t JournalEpochSpan = 2;

/// Collects settled claims and offers them in segments, one at a time.
///
/// The journal never decides anything: a claim is safe without it. It only
/// lets others tell what became of a key whose issuer is gone.
class ClaimJournal {
public:
  explicit ClaimJournal(JournalLimits Limits) : Limits(Limits) {}

  /// Adds a claim that is settled for good.
  void record(const ClaimKey &Claim, const AnswerPtr &Reply);

  /// The segment to write at \p Now; nothing if there is none or one is being
  /// written. A fleet of \p Hosts shares what the platform can write.
  std::optional<JournalSegment> next(Instant Now, std::uint64_t Epoch,
                                     std::size_t Hosts);

  /// Tells how the last segment fared; one that failed is offered again.
  void onWritten(bool Written);

  std::size_t waiting() const { return Waiting.size(); }
  /// Claims that were dropped because the platform was away too long.
  std::uint64_t dropped() const { return Dropped; }

private:
  const JournalLimits Limits;
  std::deque<TransferredClaim> Waiting;
  std::optional<JournalSegment> Current;
  bool Writing = false;
  Instant NextAt{};
  std::uint64_t LastEpoch = 0;
  std::uint64_t NextNumber = 0;
  std::uint64_t Dropped = 0;
};

} // namespace mimosacart
