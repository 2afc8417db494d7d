#include "daemon/trace_ring.h"

namespace mimosacart {

void TraceRing::add(Span NewSpan) {
  Spans.push_back(std::move(NewSpan));
  if (Spans.size() > Capacity)
    Spans.pop_front();
}

std::vector<Span> TraceRing::find(const std::string &TraceId) const {
  std::vector<Span> Result;
  for (const Span &Candidate : Spans)
    if (Candidate.TraceId == TraceId)
      Result.push_back(Candidate);
  return Result;
}

} // namespace mimosacart
