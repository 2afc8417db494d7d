/// \file
/// Filters out duplicates among the numbered messages of one sender.
#pragma once

#include <bitset>
#include <cstdint>

namespace mimosacart {

/// Tracks which of the latest sequence numbers were seen.
class SequenceWindow {
public:
  /// Returns whether \p Sequence is seen for the first time. Numbers that are
  /// too old for the window are treated as duplicates; 0 is never valid.
  bool accept(std::uint64_t Sequence) {
    if (Sequence == 0 || Sequence + Width <= Highest)
      return false;
    if (Sequence > Highest) {
      clearUpTo(Sequence);
      Highest = Sequence;
    }
    const std::size_t Slot = Sequence % Width;
    if (Seen[Slot])
      return false;
    Seen[Slot] = true;
    return true;
  }

private:
  /// Number of latest sequence numbers that are tracked.
  static constexpr std::uint64_t Width = 4096;

  /// Marks the numbers after \c Highest up to \p Sequence as not seen.
  void clearUpTo(std::uint64_t Sequence) {
    if (Sequence - Highest >= Width) {
      Seen.reset();
      return;
    }
    for (std::uint64_t Number = Highest + 1; Number <= Sequence; ++Number)
      Seen[Number % Width] = false;
  }

  std::bitset<Width> Seen;
  std::uint64_t Highest = 0;
};

} // namespace mimosacart
