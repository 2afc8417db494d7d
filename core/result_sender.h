/// \file
/// Delivers results of non-idempotent requests to their origin host despite
/// lost messages and broken connections.
#pragma once

#include "core/peer_messages.h"
#include "core/time.h"
#include "core/work_queue.h"

#include <functional>
#include <map>

namespace mimosacart {

/// Resends each result until its origin confirms it. The request cannot run
/// again, so a lost result would leave its outcome unknown to the caller
/// although this host knows it.
class ResultSender {
public:
  using SendHook = std::function<void(const HostName &, PeerBody)>;

  explicit ResultSender(SendHook Send) : Send(std::move(Send)) {}

  /// Sends \p Message to the origin host in \p Key and keeps it for resending.
  void deliver(Instant Now, const AttemptKey &Key, AttemptAnswer Message);
  /// Handles the origin's confirmation of a result.
  void onAck(const AttemptKey &Key) { Unconfirmed.erase(Key); }
  /// Resends unconfirmed results and gives up on those that are too old.
  void tick(Instant Now);

  /// Number of results that are still being resent.
  std::size_t unconfirmed() const { return Unconfirmed.size(); }

private:
  struct PendingResult {
    AttemptAnswer Message;
    Instant ResendAt{};
    Instant GiveUpAt{};
  };

  const SendHook Send;
  std::map<AttemptKey, PendingResult> Unconfirmed;
  Instant NextCheckAt{};
};

} // namespace mimosacart
