/// \file
/// Prometheus metrics of a host that calls discovered servers itself;
/// docs/METRICS.md lists them.
#pragma once

#include "direct/direct_node.h"
#include "net/peer_transport.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace mimosacart {

/// Counts what happens and renders it as text.
class DirectMetrics {
public:
  DirectMetrics();

  void countReply(const FlowResult &Result);
  /// Text format, with the state of \p Core as of now.
  std::string render(const DirectNode &Core,
                     const PeerTransportCounters &Transport,
                     std::uint64_t StoreCalls, std::size_t CallerConnections);

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &Seconds;
  prometheus::Family<prometheus::Histogram> &Added;
  prometheus::Family<prometheus::Gauge> &State;
};

} // namespace mimosacart
