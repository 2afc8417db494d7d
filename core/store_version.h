/// \file
/// Versions of the store's rows.
#pragma once

#include <compare>
#include <cstdint>

namespace mimosacart {

/// A version of the store. Numbers rise with each transaction, but a store that
/// comes back from an older copy gives out some of them again, in a new era. A
/// version of a later era is therefore later, whatever its number.
class StoreVersion {
public:
  /// Before all rows.
  constexpr StoreVersion() = default;
  /// A version of era 0: that of a store, or of a peer, that names no era.
  constexpr StoreVersion(std::uint64_t Number) : Number(Number) {}
  constexpr StoreVersion(std::uint64_t Era, std::uint64_t Number)
      : Era(Era), Number(Number) {}

  constexpr std::uint64_t era() const { return Era; }
  constexpr std::uint64_t number() const { return Number; }
  /// The version before this one in its era.
  constexpr StoreVersion previous() const { return {Era, Number - 1}; }

  /// Compares the eras first.
  friend constexpr auto operator<=>(const StoreVersion &,
                                    const StoreVersion &) = default;

private:
  std::uint64_t Era = 0;
  std::uint64_t Number = 0;
};

} // namespace mimosacart
