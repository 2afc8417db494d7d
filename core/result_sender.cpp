#include "core/result_sender.h"

namespace mimosacart {

namespace {

constexpr Duration ResendInterval = std::chrono::milliseconds(500);
/// Time after which a result is no longer resent. By about then the origin has
/// dropped the attempt (DispatchPolicy::LateAnswerWindow).
constexpr Duration GiveUpAfter = std::chrono::seconds(60);
/// Maximum number of results kept for resending. More can only pile up if an
/// origin is permanently gone; further results are sent once.
constexpr std::size_t MaxUnconfirmed = 10'000;

} // namespace

void ResultSender::deliver(Instant Now, const AttemptKey &Key,
                           AttemptAnswer Message) {
  Message.NeedsAck = true;
  if (Unconfirmed.size() < MaxUnconfirmed)
    Unconfirmed[Key] = {Message, Now + ResendInterval, Now + GiveUpAfter};
  Send(Key.Origin, std::move(Message));
}

void ResultSender::tick(Instant Now) {
  if (Unconfirmed.empty() || Now < NextCheckAt)
    return;
  NextCheckAt = Now + ResendInterval / 2;
  for (auto Next = Unconfirmed.begin(); Next != Unconfirmed.end();) {
    const auto Current = Next++;
    PendingResult &Pending = Current->second;
    if (Now >= Pending.GiveUpAt) {
      Unconfirmed.erase(Current);
      continue;
    }
    if (Now < Pending.ResendAt)
      continue;
    Pending.ResendAt = Now + ResendInterval;
    Send(Current->first.Origin, Pending.Message);
  }
}

} // namespace mimosacart
