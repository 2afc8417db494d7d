#include "soak/refusal_copies.h"

namespace mimosacart {

namespace {

/// Longest time between a refusal and its copy, in milliseconds.
constexpr int MaxCopyDelayMs = 30;

} // namespace

std::optional<std::chrono::milliseconds>
RefusalCopies::drawDelay(std::string_view Bytes) {
  const bool IsRefusal =
      Bytes.starts_with("HTTP/1.1 421") || Bytes.starts_with("HTTP/1.1 503");
  if (!IsRefusal)
    return std::nullopt;
  ++Count;
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(0, MaxCopyDelayMs)(Random));
}

} // namespace mimosacart
