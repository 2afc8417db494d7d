/// \file
/// Additional pings of the failure detector while many hosts do not answer.
#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>

namespace mimosacart {

/// Decides how many hosts are pinged besides the usual one of a period.
///
/// After a ping without an answer, a few other hosts of which nothing is known
/// since are pinged too. As long as two in three of the last ones do not
/// answer, more follow. Losses of single hosts and of single messages thus cost
/// a few pings, and the loss of most hosts is noticed in a time that does not
/// depend on the size of the fleet. The rate is bounded.
class ProbeBurst {
public:
  /// \p Interval is the time in which answers are awaited.
  explicit ProbeBurst(Duration Interval) : Interval(Interval) {}

  /// Begins a burst, unless there is one, after a ping of \p PingedAt was not
  /// answered. \p HeardAt is when the last message of another host arrived: a
  /// host that hears of none is itself cut off, and pings tell it nothing.
  void start(Instant Now, Instant PingedAt, std::optional<Instant> HeardAt);

  bool isDue(Instant Now) const { return NextAt && Now >= *NextAt; }
  /// Number of hosts to ping now. \p Unanswered of the last pings have no
  /// answer. 0 ends the burst.
  std::size_t next(Instant Now, std::size_t Unanswered,
                   std::optional<Instant> HeardAt);
  /// Takes how many hosts were pinged, which may be fewer than asked for.
  void onSent(std::size_t Count);
  /// Hosts that were heard of or pinged after this need no ping of the burst.
  Instant since() const { return Since; }

private:
  const Duration Interval;
  /// When the next pings are due; empty if there is no burst.
  std::optional<Instant> NextAt;
  Instant Since{};
  std::size_t Sent = 0;
};

} // namespace mimosacart
