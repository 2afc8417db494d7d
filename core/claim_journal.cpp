#include "core/claim_journal.h"

#include <algorithm>

namespace mimosacart {

std::string segmentName(const HostName &Host, IncarnationId Incarnation,
                        std::uint64_t Epoch, std::uint64_t Number) {
  return "claims-" + Host.value() + '-' + std::to_string(Incarnation.value()) +
         '-' + std::to_string(Epoch) + '-' + std::to_string(Number);
}

void ClaimJournal::record(const ClaimKey &Claim, const AnswerPtr &Reply) {
  const bool TooLarge = Reply && Reply->Body.size() > Limits.MaxAnswerBytes;
  Waiting.push_back({Claim.Epoch, Claim.Key, TooLarge ? nullptr : Reply});
  if (Waiting.size() <= Limits.MaxWaiting)
    return;
  Waiting.pop_front();
  ++Dropped;
}

std::optional<JournalSegment>
ClaimJournal::next(Instant Now, std::uint64_t Epoch, std::size_t Hosts) {
  if (IsWriting || Now < NextWriteAt)
    return std::nullopt;
  if (!Current && Waiting.empty())
    return std::nullopt;
  const Duration MinInterval =
      Duration(std::chrono::seconds(1)) * Hosts / Limits.FleetWritesPerSecond;
  NextWriteAt = Now + std::max(Limits.Interval, MinInterval);
  IsWriting = true;
  if (Current)
    return Current;
  if (Epoch != LastEpoch) {
    LastEpoch = Epoch;
    NextSegmentNumber = 0;
  }
  JournalSegment Segment;
  Segment.Epoch = Epoch;
  Segment.Number = NextSegmentNumber++;
  Segment.Claims.assign(Waiting.begin(), Waiting.end());
  Waiting.clear();
  Current = std::move(Segment);
  return Current;
}

void ClaimJournal::onWritten(bool Succeeded) {
  IsWriting = false;
  // If a write succeeded but was reported as failed, writing the same segment
  // again under the same name does no harm.
  if (Succeeded)
    Current.reset();
}

} // namespace mimosacart
