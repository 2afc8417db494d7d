/// \file
/// Bounds the memory of the messages that a process holds.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace mimosacart {

class MemoryReservation;

/// Number of bytes that the messages of one kind may hold together.
///
/// No message may take what the others need: each may grow only while it holds
/// at most FreeShare times what then stays free (a dynamic threshold, as in the
/// buffers of switches). If one does not fit all the same, longer ones that can
/// be ended are ended for it, the longest first.
class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t Limit) : Limit(Limit) {}

  std::size_t limit() const { return Limit; }
  /// Bytes held now.
  std::size_t held() const { return Held; }
  /// Size of the largest message that fits while no other is held.
  std::size_t largestMessage() const {
    return Limit / (FreeShare + 1) * FreeShare;
  }

private:
  friend class MemoryReservation;

  static constexpr std::size_t FreeShare = 2;

  /// Changes a reservation of \p Before bytes to \p After bytes; returns false
  /// and changes nothing if that does not fit.
  bool change(std::size_t Before, std::size_t After);
  /// Ends the longest of the messages that can be ended and hold more than
  /// \p Bytes; returns false if there is none.
  bool reclaimFromLonger(std::size_t Bytes);

  const std::size_t Limit;
  std::size_t Held = 0;
  /// Reservations of messages that can be ended.
  std::set<MemoryReservation *> Reclaimable;
};

/// The bytes that one message holds of a budget. Gives them back at its end.
class MemoryReservation {
public:
  /// Bytes of each message that are not counted, so that common messages are
  /// served while the budget is used up. The number of connections bounds them.
  static constexpr std::size_t UncountedBytes = 16U << 10U;

  /// Without a budget, a reservation always fits.
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> Budget = nullptr)
      : Budget(std::move(Budget)) {}
  ~MemoryReservation() {
    onReclaim({});
    release();
  }
  MemoryReservation(MemoryReservation &&Other) noexcept;
  MemoryReservation &operator=(MemoryReservation &&Other) noexcept;

  /// Lets the budget end the message: \p Hook must free its memory at once. It
  /// is called at most once, with nothing reserved any more. An empty hook
  /// takes that back.
  void onReclaim(std::function<void()> Hook);

  /// Changes the size to \p Bytes; returns false and keeps the size if that
  /// does not fit. A smaller size always fits.
  [[nodiscard]] bool resize(std::size_t Bytes);
  void release();

private:
  friend class MemoryBudget;

  std::shared_ptr<MemoryBudget> Budget;
  /// Bytes counted in the budget.
  std::size_t Counted = 0;
  std::function<void()> ReclaimHook;
};

} // namespace mimosacart
