/// \file
/// Collects updates for other hosts, so that many of them cost few messages.
#pragma once

#include "core/peer_messages.h"
#include "core/time.h"

#include <cstddef>

namespace mimosacart {

/// Updates that wait to be sent. The first after a pause waits for Delay,
/// further ones until MinInterval has passed since the last message. The number
/// of messages per second is therefore bounded, whatever happens to servers.
class UpdateBatch {
public:
  /// Time in which the calls to a server that ended fail.
  static constexpr Duration Delay = std::chrono::milliseconds(20);
  static constexpr Duration MinInterval = std::chrono::milliseconds(100);
  /// Largest number of crash notices in one message. The rest is sent next.
  static constexpr std::size_t MaxCrashes = 256;

  void addCrash(Instant Now, CrashNotice Notice);
  void addMember(Instant Now, MemberRecord Record);

  bool isEmpty() const {
    return Waiting.Crashes.empty() && Waiting.Members.empty();
  }
  /// When take() is to be called; Instant::max() if nothing waits.
  Instant dueAt() const { return DueAt; }
  /// Returns the updates of the next message.
  SoftState take(Instant Now);

private:
  void schedule(Instant Now);

  SoftState Waiting;
  Instant DueAt = Instant::max();
  Instant LastSentAt{};
};

} // namespace mimosacart
