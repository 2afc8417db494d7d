#include "core/receive_lag.h"

#include <algorithm>

namespace mimosacart {

void ReceiveLag::onMessageRead(Instant Now, Duration Delay) {
  ReadAt = Now;
  MessageDelays.add(Now, Delay);
}

void ReceiveLag::onAnswer(Instant Now, Instant SentAt) {
  RoundTrips.add(Now, Now - SentAt);
}

void ReceiveLag::onTimeout(std::uint64_t Sequence, Instant SentAt) {
  TimedOut[Sequence] = SentAt;
}

void ReceiveLag::onLateAnswer(Instant Now, std::uint64_t Sequence) {
  if (const auto Answered = TimedOut.extract(Sequence))
    onAnswer(Now, Answered.mapped());
}

void ReceiveLag::expire(Instant Now) {
  std::erase_if(TimedOut, [Now](const auto &Entry) {
    return Now - Entry.second >= LateAnswerTime;
  });
}

Duration ReceiveLag::estimate(Instant Now) const {
  const Duration Shortest =
      std::max(RoundTrips.shortest(Now), MessageDelays.shortest(Now));
  return std::clamp(2 * Shortest - AckTimeout, Duration::zero(), MaxEstimate);
}

bool ReceiveLag::hasReadNoneSince(Instant Since) const {
  return ReadAt && *ReadAt < Since;
}

} // namespace mimosacart
