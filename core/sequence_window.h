/// \file
/// Lets each numbered message of a sender through once.
#pragma once

#include <bitset>
#include <cstdint>

namespace mimosacart {

/// Remembers which of the latest sequence numbers were seen.
class SequenceWindow {
public:
  /// True the first time that \p Sequence is seen. Numbers that have fallen
  /// out of the window are taken for duplicates.
  bool accept(std::uint64_t Sequence) {
    if (Sequence == 0 || Sequence + Width <= Highest)
      return false;
    if (Sequence > Highest) {
      forgetUpTo(Sequence);
      Highest = Sequence;
    }
    const std::size_t Slot = Sequence % Width;
    if (Seen[Slot])
      return false;
    Seen[Slot] = true;
    return true;
  }

private:
  static constexpr std::uint64_t Width = 4096;

  void forgetUpTo(std::uint64_t Sequence) {
    if (Sequence - Highest >= Width) {
      Seen.reset();
      return;
    }
    for (std::uint64_t Next = Highest + 1; Next <= Sequence; ++Next)
      Seen[Next % Width] = false;
  }

  std::bitset<Width> Seen;
  std::uint64_t Highest = 0;
};

} // namespace mimosacart
