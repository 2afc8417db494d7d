/// \file
/// Stores the latest spans of this host for `mimosacartctl explain`.
#pragma once

#include "core/caller_request_handler.h"

#include <deque>
#include <string>
#include <vector>

namespace mimosacart {

/// Keeps the latest spans, at most a given number.
class TraceRing {
public:
  explicit TraceRing(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds a span and drops the oldest one if the ring is full.
  void add(Span NewSpan);
  /// Returns the spans of \p TraceId, in the order in which they were added.
  std::vector<Span> find(const std::string &TraceId) const;

private:
  const std::size_t Capacity;
  std::deque<Span> Spans;
};

} // namespace mimosacart
