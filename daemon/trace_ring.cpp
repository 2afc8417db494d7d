#include "daemon/trace_ring.h"

namespace mimosacart {

void TraceRing::add(Span Value) {
  Spans.push_back(std::move(Value));
  if (Spans.size() > Capacity)
    Spans.pop_front();
}

std::vector<Span> TraceRing::find(const std::string &TraceId) const {
  std::vector<Span> Result;
  for (const Span &Each : Spans)
    if (Each.TraceId == TraceId)
      Result.push_back(Each);
  return Result;
}

} // namespace mimosacart
