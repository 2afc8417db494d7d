/// \file
/// By how much this host reads late what others send.
#pragma once

#include "core/recent_delays.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mimosacart {

/// Estimates by how much this host is behind with the messages of its peers,
/// from the transit times of messages and the round trips of pings. A host that
/// is behind awaits answers for longer: they may have arrived without having
/// been read.
class ReceiveLag {
public:
  /// A round trip takes no longer than half of \p AckTimeout on a host that is
  /// not behind.
  explicit ReceiveLag(Duration AckTimeout) : AckTimeout(AckTimeout) {}

  /// A message of a peer was read \p Delay after the time that its fastest one
  /// would have taken.
  void onMessageRead(Instant Now, Duration Delay);
  /// A ping sent at \p SentAt was answered.
  void onAnswer(Instant Now, Instant SentAt);
  /// The answer to the ping \p Sequence is no longer awaited, but may come.
  void onTimeout(std::uint64_t Sequence, Instant SentAt);
  /// Same as onAnswer() for a ping that is no longer awaited; does nothing for
  /// other ones.
  void onLateAnswer(Instant Now, std::uint64_t Sequence);
  /// Forgets pings whose answers came too late to tell anything.
  void expire(Instant Now);

  /// What is added to the times in which answers are awaited; zero on a host
  /// that is not behind, at most 3 s.
  Duration estimate(Instant Now) const;
  /// Whether this host has read messages before, but none since \p Since.
  bool hasReadNoneSince(Instant Since) const;

private:
  static constexpr Duration MaxEstimate = std::chrono::seconds(3);
  /// Time in which late answers to pings count.
  static constexpr Duration LateAnswerTime = std::chrono::seconds(5);
  static constexpr Duration MessageTime = std::chrono::seconds(1);

  const Duration AckTimeout;
  RecentDelays RoundTrips{2, 3, LateAnswerTime};
  RecentDelays MessageDelays{3, 5, MessageTime};
  /// When pings that were not answered in time were sent, by sequence number.
  std::map<std::uint64_t, Instant> TimedOut;
  /// When this host last read a message.
  std::optional<Instant> ReadAt;
};

} // namespace mimosacart
