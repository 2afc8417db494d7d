/// \file
/// Serves the admin address of an entry host: health, metrics, status, explain.
#include "daemon/entry_host_process.h"
#include "daemon/text_page.h"
#include "platform/json_text.h"

namespace mimosacart {

namespace {

using Json = nlohmann::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
constexpr std::string_view ExplainPrefix = "/v1/explain/";

HttpResponse makeJsonPage(const Json &Value) {
  return {StatusOk, {{"Content-Type", "application/json"}}, toJsonText(Value)};
}

Json toJson(const MemberRecord &Member) {
  return {{"host", Member.Host.value()},
          {"status", toString(Member.Status)},
          {"leaving", Member.Leaving},
          {"data_centre", Member.DataCentre},
          {"callers", Member.CallerAddress},
          {"incarnation", Member.Incarnation.value()}};
}

Json toJson(const ServerView &View) {
  return {{"server", View.Server.Name.value()},
          {"address", View.Server.Address},
          {"state", toString(View.State)},
          {"in_flight", View.InFlight},
          {"limit", View.Limit},
          {"slots", View.Server.Slots},
          {"mean_ms", toMilliseconds(View.MeanServiceTime)},
          {"calls", View.Calls}};
}

} // namespace

void EntryHostProcess::onAdminRequest(const HttpRequest &Request,
                                      HttpExchange &Exchange) {
  const std::string &Target = Request.Target;
  if (Target == "/health/live") {
    Exchange.respond(makeTextPage(StatusOk, "live\n"));
    return;
  }
  if (Target == "/health/ready") {
    const bool IsReady = Core.ready();
    const char *NotReadyText =
        Core.stopping() ? "draining\n" : "no configuration\n";
    Exchange.respond(makeTextPage(IsReady ? StatusOk : StatusUnavailable,
                                  IsReady ? "ready\n" : NotReadyText));
    return;
  }
  if (Target == "/metrics") {
    Exchange.respond(makeTextPage(
        StatusOk, HostMetrics.render(Core.counters(), Peers.counters(),
                                     CallerEndpoint.connections())));
    return;
  }
  if (Target == "/v1/status") {
    Exchange.respond(makeStatusPage());
    return;
  }
  if (Target.rfind(ExplainPrefix, 0) == 0) {
    Exchange.respond(makeExplainPage(Target.substr(ExplainPrefix.size())));
    return;
  }
  Exchange.respond(makeTextPage(StatusNotFound, "no such page\n"));
}

HttpResponse EntryHostProcess::makeStatusPage() const {
  const ConfigurationPtr Current = Core.configuration();
  Json Members = Json::array();
  for (const MemberRecord &Member : Core.members().all())
    Members.push_back(toJson(Member));
  Json Servers = Json::array();
  for (const ServerView &View : Core.servers(now()))
    Servers.push_back(toJson(View));
  const NodeCounters Counters = Core.counters();
  return makeJsonPage({{"host", Settings.Name.value()},
                       {"data_centre", Settings.DataCentre},
                       {"ready", Core.ready()},
                       {"stopping", Core.stopping()},
                       {"generation", Current ? Current->Number.value() : 0},
                       {"digest", Current ? Current->Digest : ""},
                       {"members", Members},
                       {"servers", Servers},
                       {"open_requests", Counters.OpenRequests},
                       {"queued", Counters.QueuedAttempts},
                       {"running", Counters.RunningCalls},
                       {"claims", Counters.Claims}});
}

HttpResponse
EntryHostProcess::makeExplainPage(const std::string &TraceId) const {
  Json Spans = Json::array();
  const Instant Now = now();
  for (const Span &TraceSpan : Traces.find(TraceId)) {
    Json Fields = Json::object();
    for (const auto &[Key, Value] : TraceSpan.Fields)
      Fields[Key] = Value;
    Spans.push_back(
        {{"name", TraceSpan.Name},
         {"age_ms", toMilliseconds(Now - TraceSpan.Start)},
         {"duration_ms", toMilliseconds(TraceSpan.End - TraceSpan.Start)},
         {"fields", Fields}});
  }
  return makeJsonPage({{"host", Settings.Name.value()}, {"spans", Spans}});
}

} // namespace mimosacart
