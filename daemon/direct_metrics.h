/// \file
/// Prometheus metrics of a host that calls discovered servers itself.
/// docs/METRICS.md describes them.
#pragma once

#include "daemon/message_memory.h"
#include "direct/direct_node.h"
#include "net/peer_transport.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace mimosacart {

/// Number of calls to the store so far, by the name of their cause.
using StoreCallsByCause = std::map<std::string, std::uint64_t>;

/// Records replies to callers and renders all metrics as text.
class DirectMetrics {
public:
  DirectMetrics();

  /// Records the outcome and the latency of a reply to a caller.
  void countReply(const FlowResult &Result);
  /// Returns all metrics in the Prometheus text format, with the current state
  /// of \p Core.
  std::string render(DirectNode &Core, const PeerTransportCounters &Transport,
                     const StoreCallsByCause &StoreCalls,
                     const MessageMemory &Memory,
                     std::size_t CallerConnections);

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &RequestSeconds;
  prometheus::Family<prometheus::Histogram> &AddedSeconds;
  prometheus::Family<prometheus::Gauge> &StateGauge;
  prometheus::Family<prometheus::Gauge> &StoreCallsGauge;
  prometheus::Family<prometheus::Gauge> &RetryBudgetGauge;
};

} // namespace mimosacart
