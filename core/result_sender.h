/// \file
/// Brings results of requests that may run once only to their origin, however
/// often the way there is cut.
#pragma once

#include "core/peer_messages.h"
#include "core/time.h"
#include "core/work_queue.h"

#include <functional>
#include <map>

namespace mimosacart {

/// Sends each result again until its origin confirms it. A lost result would
/// leave the outcome unknown for ever, although this host knows it.
class ResultSender {
public:
  using SendHook = std::function<void(const HostName &, PeerBody)>;

  explicit ResultSender(SendHook Send) : Send(std::move(Send)) {}

  /// Sends \p Message to the origin named in \p Key and keeps it.
  void deliver(Instant Now, const AttemptKey &Key, AttemptAnswer Message);
  /// The origin has taken the result.
  void onAck(const AttemptKey &Key) { Open.erase(Key); }
  /// Sends what was not confirmed again; gives up what is too old.
  void tick(Instant Now);

  std::size_t unconfirmed() const { return Open.size(); }

private:
  struct Parcel {
    AttemptAnswer Message;
    Instant NextAt{};
    Instant GiveUpAt{};
  };

  const SendHook Send;
  std::map<AttemptKey, Parcel> Open;
  Instant NextLook{};
};

} // namespace mimosacart
