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
  if (Writing || Now < NextAt)
    return std::nullopt;
  if (!Current && Waiting.empty())
    return std::nullopt;
  const Duration Share =
      Duration(std::chrono::seconds(1)) * Hosts / Limits.FleetWritesPerSecond;
  NextAt = Now + std::max(Limits.Interval, Share);
  Writing = true;
  if (Current)
    return Current;
  if (Epoch != LastEpoch) {
    LastEpoch = Epoch;
    NextNumber = 0;
  }
  JournalSegment Made;
  Made.Epoch = Epoch;
  Made.Number = NextNumber++;
  Made.Claims.assign(Waiting.begin(), Waiting.end());
  Waiting.clear();
  Current = std::move(Made);
  return Current;
}

void ClaimJournal::onWritten(bool Written) {
  Writing = false;
  // Writing it again under the same name does no harm if it was written.
  if (Written)
    Current.reset();
}

} // namespace mimosacart
