#include "core/probe_burst.h"

namespace mimosacart {

namespace {

/// Number of hosts that are pinged first.
constexpr std::size_t FirstPings = 4;
/// Number of hosts that are pinged in each further interval.
constexpr std::size_t FurtherPings = 8;
/// Share of the last pings without an answer, in thirds, that asks for more.
/// Links that lose one message in five leave one ping in three unanswered.
constexpr std::size_t LostThirds = 2;
/// A host that has heard of no other for this long takes itself for cut off.
constexpr Duration MaxSilence = std::chrono::seconds(2);

} // namespace

void ProbeBurst::start(Instant Now, Instant PingedAt,
                       std::optional<Instant> HeardAt) {
  if (NextAt || !HeardAt || Now - *HeardAt > MaxSilence)
    return;
  Since = PingedAt;
  Sent = 0;
  NextAt = Now;
}

std::size_t ProbeBurst::next(Instant Now, std::size_t Unanswered,
                             std::optional<Instant> HeardAt) {
  NextAt = Now + Interval;
  if (Sent == 0)
    return FirstPings;
  const bool IsCutOff = !HeardAt || *HeardAt < Since;
  if (!IsCutOff && Unanswered * 3 >= Sent * LostThirds)
    return FurtherPings;
  NextAt.reset();
  return 0;
}

void ProbeBurst::onSent(std::size_t Count) {
  Sent = Count;
  if (Count == 0)
    NextAt.reset();
}

} // namespace mimosacart
