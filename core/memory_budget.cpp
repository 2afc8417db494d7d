#include "core/memory_budget.h"

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

MemoryReservation::MemoryReservation(MemoryReservation &&Other) noexcept
    : Budget(std::move(Other.Budget)),
      Counted(std::exchange(Other.Counted, 0)) {}

MemoryReservation &
MemoryReservation::operator=(MemoryReservation &&Other) noexcept {
  if (this == &Other)
    return *this;
  release();
  Budget = std::move(Other.Budget);
  Counted = std::exchange(Other.Counted, 0);
  return *this;
}

bool MemoryReservation::resize(std::size_t Bytes) {
  if (!Budget)
    return true;
  const std::size_t Wanted =
      Bytes > UncountedBytes ? Bytes - UncountedBytes : 0;
  if (!Budget->change(Counted, Wanted))
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
