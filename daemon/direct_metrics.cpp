#include "daemon/direct_metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace mimosacart {

namespace {

/// Upper bounds in seconds of the buckets of the request time.
const prometheus::Histogram::BucketBoundaries RequestBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8};
/// Upper bounds in seconds of the buckets of the added time.
const prometheus::Histogram::BucketBoundaries AddedBuckets = {
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.003, 0.005,
    0.01,   0.02,   0.05,   0.1,   0.2,   0.5};

} // namespace

DirectMetrics::DirectMetrics()
    : Requests(prometheus::BuildCounter()
                   .Name("mimosacart_requests_total")
                   .Help("Requests answered, by outcome and reason")
                   .Register(Registry)),
      RequestSeconds(prometheus::BuildHistogram()
                         .Name("mimosacart_request_seconds")
                         .Help("Time from arrival to answer")
                         .Register(Registry)),
      AddedSeconds(
          prometheus::BuildHistogram()
              .Name("mimosacart_added_seconds")
              .Help("The part of it in which no server had the request")
              .Register(Registry)),
      StateGauge(prometheus::BuildGauge()
                     .Name("mimosacart_state")
                     .Help("Numbers that go up and down, by name")
                     .Register(Registry)),
      StoreCallsGauge(prometheus::BuildGauge()
                          .Name("mimosacart_store_calls")
                          .Help("Calls to the store so far, by cause")
                          .Register(Registry)),
      RetryBudgetGauge(prometheus::BuildGauge()
                           .Name("mimosacart_retry_budget")
                           .Help("Retries of this host in a window")
                           .Register(Registry)) {}

void DirectMetrics::countReply(const FlowResult &Result) {
  const bool IsAnswered = Result.Reply != nullptr;
  Requests
      .Add({{"service", Result.Service.value()},
            {"kind", Result.Route},
            {"outcome",
             IsAnswered ? "answered" : toString(Result.Refused.Outcome)},
            {"status", IsAnswered ? std::to_string(Result.Reply->Status) : ""},
            {"reason", toString(Result.Refused.Reason)}})
      .Increment();
  RequestSeconds
      .Add({{"service", Result.Service.value()}, {"kind", Result.Route}},
           RequestBuckets)
      .Observe(toSeconds(Result.Total));
  AddedSeconds
      .Add({{"service", Result.Service.value()}, {"kind", Result.Route}},
           AddedBuckets)
      .Observe(toSeconds(Result.Added));
}

std::string DirectMetrics::render(DirectNode &Core,
                                  const PeerTransportCounters &Transport,
                                  const StoreCallsByCause &StoreCalls,
                                  const MessageMemory &Memory,
                                  std::size_t CallerConnections) {
  const auto Set = [this](const std::string &Name, auto Value) {
    StateGauge.Add({{"name", Name}}).Set(static_cast<double>(Value));
  };
  const FlowCounters &Counters = Core.counters();
  Set("server_calls", Counters.Calls);
  Set("probes", Counters.Probes);
  Set("repeats", Counters.Retries);
  Set("hedges", Counters.Hedges);
  Set("hedges_sent", Counters.HedgesSent);
  Set("hedges_won", Counters.HedgesWon);
  for (std::size_t Index = 1; Index < Counters.HedgesRefused.size(); ++Index)
    Set(std::string("hedges_refused_") +
            toString(static_cast<HedgeRefusal>(Index)),
        Counters.HedgesRefused.at(Index));
  Set("held", Counters.Held);
  Set("sends_to_gone_callers", Counters.SendsToGoneCallers);
  Set("late_sends", Counters.LateSends);
  Set("yielded", Counters.Yielded);
  Set("holds_cut_short", Counters.HoldsCutShort);
  Set("invalid_wishes", Counters.InvalidWishes);
  Set("open_requests", Core.openRequests());
  Set("crash_notices", Core.crashNotices());
  const ServerConstraints &Constraints = Core.constraints();
  Set("limited_servers", Constraints.limitedServers());
  Set("leaving_servers", Constraints.leavingServers());
  Set("quiet_servers", Constraints.quietServers(Core.latestEvent()));
  Set("cold_servers", Constraints.coldServers(Core.latestEvent()));
  Set("evacuated_data_centres", Core.evacuated().size());
  Set("servers", Core.servers());
  Set("hosts", Core.hosts());
  Set("sharing_hosts", Core.sharingHosts());
  for (const RetryBudgetState &Budget : Core.retryBudgets()) {
    const std::string &Service = Budget.Service.value();
    RetryBudgetGauge.Add({{"service", Service}, {"part", "used"}})
        .Set(static_cast<double>(Budget.Used));
    RetryBudgetGauge.Add({{"service", Service}, {"part", "allowed"}})
        .Set(Budget.Allowed);
  }
  const QuotaCounters Quotas = Core.quotaCounters();
  Set("quota_admitted", Quotas.Admitted);
  Set("quota_refused", Quotas.Refused);
  Set("quota_from_reserve", Quotas.FromReserve);
  Set("quota_waiting", Quotas.Waiting);
  Set("quota_leases", Quotas.Leases);
  Set("quota_lent", Quotas.Lent);
  Set("quota_lending", Quotas.Lending);
  Set("ready", Core.ready() ? 1 : 0);
  Set("configuration_version", Core.configurationVersion());
  Set("routes_table_version", Core.tableVersion(StoreTable::Routes).number());
  Set("servers_table_version", Core.tableVersion(StoreTable::Servers).number());
  Set("store_era", Core.storeEra());
  for (const StoreTable Table : {StoreTable::Routes, StoreTable::Servers}) {
    const TableFreshness Freshness = Core.tableFreshness(Table);
    const std::string Prefix = toString(Table);
    if (Freshness.ConfirmedAgo)
      Set(Prefix + "_confirmed_ms", wholeMilliseconds(*Freshness.ConfirmedAgo));
    Set(Prefix + "_requests", Freshness.Requests);
    Set(Prefix + "_requests_unanswered", Freshness.RequestsUnanswered);
  }
  Set("message_delay_ms", wholeMilliseconds(Core.messageDelay()));
  std::uint64_t AllStoreCalls = 0;
  for (const auto &[Cause, Calls] : StoreCalls) {
    StoreCallsGauge.Add({{"cause", Cause}}).Set(static_cast<double>(Calls));
    AllStoreCalls += Calls;
  }
  Set("store_calls", AllStoreCalls);
  Set("peer_messages_sent", Transport.MessagesSent);
  Set("peer_bytes_sent", Transport.BytesSent);
  Set("peer_messages_not_sent", Transport.MessagesNotSent);
  Set("caller_connections", CallerConnections);
  Set("request_bytes", Memory.Requests->held());
  Set("answer_bytes", Memory.Answers->held());
  std::ostringstream Output;
  prometheus::TextSerializer().Serialize(Output, Registry.Collect());
  return Output.str();
}

} // namespace mimosacart
