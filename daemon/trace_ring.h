/// \file
/// The latest spans of this host, for `mimosacartctl explain`.
#pragma once

#include "core/caller_request_handler.h"

#include <deque>
#include <string>
#include <vector>

namespace mimosacart {

/// Keeps a bounded number of spans.
class TraceRing {
public:
  explicit TraceRing(std::size_t Capacity) : Capacity(Capacity) {}

  void add(Span Value);
  /// Spans of \p TraceId, in the order in which they were added.
  std::vector<Span> find(const std::string &TraceId) const;

private:
  const std::size_t Capacity;
  std::deque<Span> Spans;
};

} // namespace mimosacart
