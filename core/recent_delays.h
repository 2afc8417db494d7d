/// \file
/// How late a host reads what others send.
#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace mimosacart {

/// Keeps the last few delays of messages, or round trips of pings, of different
/// hosts. If even the shortest of them is long, this host reads its messages
/// late, since the others are hardly all slow at once.
class RecentDelays {
public:
  /// \p MaxCount delays are kept for at most \p MaxAge; \p MinCount are needed.
  RecentDelays(std::size_t MinCount, std::size_t MaxCount, Duration MaxAge)
      : MinCount(MinCount), MaxCount(MaxCount), MaxAge(MaxAge) {}

  void add(Instant Now, Duration Delay) {
    Recent.push_back({Now, Delay});
    if (Recent.size() > MaxCount)
      Recent.pop_front();
  }

  /// Returns zero if there are too few recent ones.
  Duration shortest(Instant Now) const {
    std::size_t Count = 0;
    Duration Result = Duration::max();
    for (const Entry &Kept : Recent) {
      if (Now - Kept.At > MaxAge)
        continue;
      ++Count;
      Result = std::min(Result, Kept.Delay);
    }
    return Count < MinCount ? Duration::zero() : Result;
  }

private:
  struct Entry {
    Instant At{};
    Duration Delay{};
  };
  const std::size_t MinCount;
  const std::size_t MaxCount;
  const Duration MaxAge;
  std::deque<Entry> Recent;
};

} // namespace mimosacart
