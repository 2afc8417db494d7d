#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>
#include <sys/resource.h>

namespace mimosacart {

namespace {

/// Upper bounds in seconds of the buckets of the request time.
const prometheus::Histogram::BucketBoundaries RequestBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
/// Upper bounds in seconds of the buckets of the added time.
const prometheus::Histogram::BucketBoundaries AddedBuckets = {
    0.0001, 0.0002, 0.0004, 0.0007, 0.001, 0.0013, 0.002,
    0.004,  0.01,   0.03,   0.1,    0.3,   1};

/// Processor time of this process, in user and kernel mode.
double readCpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  constexpr double MicrosecondsPerSecond = 1e6;
  const auto Seconds = [](const timeval &Value) {
    return static_cast<double>(Value.tv_sec) +
           static_cast<double>(Value.tv_usec) / MicrosecondsPerSecond;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

prometheus::Family<prometheus::Counter> &
makeCounter(prometheus::Registry &Registry, const std::string &Name,
            const std::string &Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

prometheus::Family<prometheus::Histogram> &
makeHistogram(prometheus::Registry &Registry, const std::string &Name,
              const std::string &Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(Registry);
}

} // namespace

Metrics::Metrics()
    : Requests(makeCounter(Registry, "mimosacart_requests_total",
                           "Requests answered, by outcome and reason")),
      RequestSeconds(makeHistogram(Registry, "mimosacart_request_seconds",
                                   "Time from arrival to answer")),
      AddedSeconds(makeHistogram(Registry, "mimosacart_added_seconds",
                                 "Time to answer less the server's part")),
      PeerMessages(makeCounter(Registry, "mimosacart_peer_messages_total",
                               "Messages to and from peers, by type")),
      PeerBytes(makeCounter(Registry, "mimosacart_peer_bytes_total",
                            "Bytes to and from peers, by type")),
      StateGauge(prometheus::BuildGauge()
                     .Name("mimosacart_state")
                     .Help("Numbers that go up and down, by name")
                     .Register(Registry)),
      ForeignMessages(makeCounter(Registry, "mimosacart_foreign_messages_total",
                                  "Peer messages that could not be read")
                          .Add({})),
      Probes(makeCounter(Registry, "mimosacart_probes_total",
                         "Health probes sent to backend servers")
                 .Add({})) {}

void Metrics::countReply(const CallerReply &Reply) {
  const auto Refused = outcomeOf(*Reply.Reply);
  Requests
      .Add({{"service", Reply.Service},
            {"kind", Reply.Kind},
            {"outcome", Refused ? toString(*Refused) : "answered"},
            {"reason", toString(Reply.Reason)}})
      .Increment();
  if (Refused)
    return;
  RequestSeconds
      .Add({{"service", Reply.Service}, {"kind", Reply.Kind}}, RequestBuckets)
      .Observe(toSeconds(Reply.Total));
  if (Reply.ServiceTime > Duration::zero())
    AddedSeconds
        .Add({{"service", Reply.Service}, {"kind", Reply.Kind}}, AddedBuckets)
        .Observe(toSeconds(Reply.Total - Reply.ServiceTime));
}

void Metrics::countPeerMessage(const std::string &Direction,
                               const std::string &Type, std::size_t Bytes) {
  PeerMessages.Add({{"direction", Direction}, {"type", Type}}).Increment();
  PeerBytes.Add({{"direction", Direction}, {"type", Type}})
      .Increment(static_cast<double>(Bytes));
}

void Metrics::countForeignMessage() { ForeignMessages.Increment(); }

void Metrics::countProbe() { Probes.Increment(); }

void Metrics::setGauge(const std::string &Name, double Value) {
  StateGauge.Add({{"name", Name}}).Set(Value);
}

std::string Metrics::render(const NodeCounters &Counters,
                            const PeerTransportCounters &Transport,
                            std::size_t CallerConnections) {
  const auto Set = [this](const std::string &Name, auto Value) {
    setGauge(Name, static_cast<double>(Value));
  };
  Set("retries", Counters.Retries);
  Set("hedges", Counters.Hedges);
  Set("forwards", Counters.Forwards);
  Set("peer_messages_dropped", Counters.MessagesDropped);
  Set("peer_messages_not_sent", Transport.MessagesNotSent);
  Set("load_report_bytes", Counters.LoadReportBytes);
  Set("load_reports_deferred", Counters.LoadReportsDeferred);
  Set("open_requests", Counters.OpenRequests);
  Set("queued_attempts", Counters.QueuedAttempts);
  Set("running_calls", Counters.RunningCalls);
  Set("claims", Counters.Claims);
  Set("claim_answer_bytes", Counters.ClaimAnswerBytes);
  Set("journal_waiting", Counters.JournalWaiting);
  Set("journal_dropped", Counters.JournalDropped);
  Set("caller_connections", CallerConnections);
  Set("process_cpu_seconds", readCpuSeconds());
  std::ostringstream Output;
  prometheus::TextSerializer().Serialize(Output, Registry.Collect());
  return Output.str();
}

} // namespace mimosacart
