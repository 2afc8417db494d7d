#include "core/result_sender.h"

namespace mimosacart {

namespace {

constexpr Duration ResendInterval = std::chrono::milliseconds(500);
/// The origin forgets its attempt about then (DispatchPolicy).
constexpr Duration Lifetime = std::chrono::seconds(60);
/// Results kept; a longer list means that an origin is gone for good.
constexpr std::size_t MaxOpen = 10'000;

} // namespace

void ResultSender::deliver(Instant Now, const AttemptKey &Key,
                           AttemptAnswer Message) {
  Message.NeedsAck = true;
  if (Open.size() < MaxOpen)
    Open[Key] = {Message, Now + ResendInterval, Now + Lifetime};
  Send(Key.Origin, std::move(Message));
}

void ResultSender::tick(Instant Now) {
  if (Open.empty() || Now < NextLook)
    return;
  NextLook = Now + ResendInterval / 2;
  for (auto Next = Open.begin(); Next != Open.end();) {
    const auto Current = Next++;
    Parcel &Kept = Current->second;
    if (Now >= Kept.GiveUpAt) {
      Open.erase(Current);
      continue;
    }
    if (Now < Kept.NextAt)
      continue;
    Kept.NextAt = Now + ResendInterval;
    Send(Current->first.Origin, Kept.Message);
  }
}

} // namespace mimosacart
