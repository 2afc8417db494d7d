#include "soak/soak_server.h"

#include <fmt/format.h>

namespace mimosacart {

namespace {

/// Concurrency limit of a server, in requests.
constexpr unsigned ConcurrencyLimit = 4;
/// Execution time of a request at slowness factor 1.
constexpr auto ExecutionTime = std::chrono::milliseconds(30);
constexpr unsigned NominalSlownessPercent = 100;

std::string findFieldOrEmpty(const HttpRequest &Request, const char *Name) {
  const std::string *Value = findField(Request.Headers, Name);
  return Value == nullptr ? "" : *Value;
}

} // namespace

SoakServer::SoakServer(asio::io_context &IoContext, std::string Id,
                       std::string Service, Hooks Callbacks)
    : Context(IoContext), Id(std::move(Id)), Service(std::move(Service)),
      Callbacks(std::move(Callbacks)),
      Http(std::make_unique<HttpServer>(
          IoContext, HttpServerLimits{},
          [this](const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onRequest(Request, Exchange);
          },
          [](NetError) {
            return HttpResponse{400, {}, ""};
          })) {}

std::string SoakServer::formatLoad() const {
  return fmt::format("{},0,{},{}", ExecutingCount, ConcurrencyLimit,
                     SlownessFactor * NominalSlownessPercent);
}

void SoakServer::onRequest(const HttpRequest &Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target == "/health") {
    Exchange->respond(
        {200, {{"X-Instance-Id", Id}, {"X-Server-Load", formatLoad()}}, ""});
    return;
  }
  const std::string RequestId = findFieldOrEmpty(Request, "X-Request-Id");
  if (findFieldOrEmpty(Request, "X-Expect-Instance") != Id) {
    Exchange->respond({421, {{"X-Instance-Id", Id}}, ""});
    return;
  }
  if (ExecutingCount >= ConcurrencyLimit) {
    Exchange->respond(
        {503, {{"X-Not-Executed", "1"}, {"X-Server-Load", formatLoad()}}, ""});
    return;
  }
  ++ExecutingCount;
  const ServerEvent Event{RequestId, Service, Id};
  Callbacks.ExecutionStarted(Event);
  const auto Timer = std::make_shared<asio::steady_timer>(
      Context, ExecutionTime * SlownessFactor);
  Timer->async_wait([this, Timer, Event, Exchange,
                     WeakLifetime = std::weak_ptr<int>(LifetimeToken)](
                        boost::system::error_code) {
    if (WeakLifetime.expired())
      return;
    --ExecutingCount;
    Callbacks.AnswerSent(Event);
    Exchange->respond({200,
                       {{"X-Request-Id", Event.RequestId},
                        {"X-Response-Stamp", "stamp-" + Event.RequestId},
                        {"X-Server-Load", formatLoad()}},
                       Event.RequestId + " by " + Id});
  });
}

} // namespace mimosacart
