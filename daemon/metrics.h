/// \file
/// Prometheus metrics of an entry host. docs/METRICS.md describes them.
#pragma once

#include "core/node.h"
#include "net/peer_transport.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace mimosacart {

/// Records requests, peer messages and probes, and renders all metrics as text.
class Metrics {
public:
  Metrics();

  /// Records the outcome and the latency of a reply to a caller.
  void countReply(const CallerReply &Reply);
  /// Counts one peer message. \p Direction is `in` or `out`.
  void countPeerMessage(const std::string &Direction, const std::string &Type,
                        std::size_t Bytes);
  /// Counts a peer message that could not be decoded.
  void countForeignMessage();
  void countProbe();

  /// Returns all metrics in the Prometheus text format, with the current values
  /// of \p Counters.
  std::string render(const NodeCounters &Counters,
                     const PeerTransportCounters &Transport,
                     std::size_t CallerConnections);

private:
  /// Sets the gauge `mimosacart_state` whose label `name` is \p Name.
  void setGauge(const std::string &Name, double Value);

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &RequestSeconds;
  prometheus::Family<prometheus::Histogram> &AddedSeconds;
  prometheus::Family<prometheus::Counter> &PeerMessages;
  prometheus::Family<prometheus::Counter> &PeerBytes;
  prometheus::Family<prometheus::Gauge> &StateGauge;
  prometheus::Counter &ForeignMessages;
  prometheus::Counter &Probes;
};

} // namespace mimosacart
