#include "core/memory_budget.h"

#include <algorithm>
#include <utility>

namespace mimosacart {

bool MemoryBudget::change(std::size_t Before, std::size_t After) {
  const std::size_t Others = Held - Before;
  if (After > Before) {
    if (After > Limit - Others)
      return false;
    const std::size_t Free = Limit - Others - After;
    if (After / FreeShare > Free)
      return false;
  }
  Held = Others + After;
  return true;
}

bool MemoryBudget::reclaimFromLonger(std::size_t Bytes) {
  const auto Longest = std::max_element(
      Reclaimable.begin(), Reclaimable.end(),
      [](const MemoryReservation *Left, const MemoryReservation *Right) {
        return Left->Counted < Right->Counted;
      });
  if (Longest == Reclaimable.end() || (*Longest)->Counted <= Bytes)
    return false;
  MemoryReservation &Ended = **Longest;
  const std::function<void()> Hook = std::move(Ended.ReclaimHook);
  Ended.onReclaim({});
  Ended.release();
  Hook();
  return true;
}

MemoryReservation::MemoryReservation(MemoryReservation &&Other) noexcept {
  *this = std::move(Other);
}

MemoryReservation &
MemoryReservation::operator=(MemoryReservation &&Other) noexcept {
  if (this == &Other)
    return *this;
  onReclaim({});
  release();
  std::function<void()> Hook = std::move(Other.ReclaimHook);
  Other.onReclaim({});
  Budget = std::move(Other.Budget);
  Counted = std::exchange(Other.Counted, 0);
  onReclaim(std::move(Hook));
  return *this;
}

void MemoryReservation::onReclaim(std::function<void()> Hook) {
  ReclaimHook = std::move(Hook);
  if (!Budget)
    return;
  if (ReclaimHook)
    Budget->Reclaimable.insert(this);
  else
    Budget->Reclaimable.erase(this);
}

bool MemoryReservation::resize(std::size_t Bytes) {
  if (!Budget)
    return true;
  const std::size_t Wanted =
      Bytes > UncountedBytes ? Bytes - UncountedBytes : 0;
  while (!Budget->change(Counted, Wanted))
    if (Wanted > Budget->largestMessage() || !Budget->reclaimFromLonger(Wanted))
      return false;
  Counted = Wanted;
  return true;
}

void MemoryReservation::release() {
  if (Budget)
    Budget->change(Counted, 0);
  Counted = 0;
}

} // namespace mimosacart
