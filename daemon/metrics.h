/// \file
/// Prometheus metrics of one entry host; docs/METRICS.md lists them.
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

/// Counts what happens and renders it as text.
class Metrics {
public:
  Metrics();

  void countReply(const CallerReply &Reply);
  /// Counts one message to or from a peer.
  void countPeerMessage(const std::string &Direction, const std::string &Type,
                        std::size_t Bytes);
  void countForeignMessage();
  void countProbe();

  /// Metrics in Prometheus' text format, with \p Counters as of now.
  std::string render(const NodeCounters &Counters,
                     const PeerTransportCounters &Transport,
                     std::size_t CallerConnections);

private:
  void setGauge(const std::string &Name, double Value);

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &Seconds;
  prometheus::Family<prometheus::Histogram> &AddedSeconds;
  prometheus::Family<prometheus::Counter> &PeerMessages;
  prometheus::Family<prometheus::Counter> &PeerBytes;
  prometheus::Family<prometheus::Gauge> &State;
  prometheus::Counter &ForeignMessages;
  prometheus::Counter &Probes;
};

} // namespace mimosacart
