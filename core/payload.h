/// \file
/// The body of a message.
#pragma once

#include "core/memory_budget.h"

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

namespace mimosacart {

/// Immutable bytes that copies share. The memory that a message reserved for
/// them stays reserved until the last copy is gone.
class Payload {
public:
  Payload() = default;
  Payload(std::string Bytes, MemoryReservation Reserved = MemoryReservation())
      : Shared(std::make_shared<const Content>(
            Content{std::move(Bytes), std::move(Reserved)})) {}
  Payload(const char *Text) : Payload(std::string(Text)) {}

  const std::string &bytes() const {
    static const std::string Empty;
    return Shared ? Shared->Bytes : Empty;
  }
  operator const std::string &() const { return bytes(); }
  std::size_t size() const { return bytes().size(); }
  bool empty() const { return bytes().empty(); }

  /// Lets a shorter message end the use of these bytes; see
  /// MemoryReservation::onReclaim(). Holds for all copies.
  void onReclaim(std::function<void()> Hook) const {
    if (Shared)
      Shared->Reserved.onReclaim(std::move(Hook));
  }

  friend bool operator==(const Payload &Left, const Payload &Right) {
    return Left.Shared == Right.Shared || Left.bytes() == Right.bytes();
  }
  friend std::ostream &operator<<(std::ostream &Out, const Payload &Value) {
    return Out << Value.bytes();
  }

private:
  struct Content {
    std::string Bytes;
    mutable MemoryReservation Reserved;
  };

  std::shared_ptr<const Content> Shared;
};

} // namespace mimosacart
