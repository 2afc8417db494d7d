#include "direct/update_batch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosacart {

void UpdateBatch::addCrash(Instant Now, CrashNotice Notice) {
  Waiting.Crashes.push_back(std::move(Notice));
  schedule(Now);
}

void UpdateBatch::addMember(Instant Now, MemberRecord Record) {
  Waiting.Members.push_back(std::move(Record));
  schedule(Now);
}

void UpdateBatch::schedule(Instant Now) {
  if (DueAt == Instant::max())
    DueAt = std::max(Now + Delay, LastSentAt + MinInterval);
}

SoftState UpdateBatch::take(Instant Now) {
  SoftState Result = std::exchange(Waiting, {});
  LastSentAt = Now;
  DueAt = Instant::max();
  if (Result.Crashes.size() > MaxCrashes) {
    const auto Rest =
        Result.Crashes.begin() + static_cast<std::ptrdiff_t>(MaxCrashes);
    Waiting.Crashes.assign(std::make_move_iterator(Rest),
                           std::make_move_iterator(Result.Crashes.end()));
    Result.Crashes.erase(Rest, Result.Crashes.end());
    schedule(Now);
  }
  return Result;
}

} // namespace mimosacart
