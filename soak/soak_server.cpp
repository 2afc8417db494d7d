#include "soak/soak_server.h"

#include <fmt/format.h>

namespace mimosacart {

namespace {

constexpr unsigned Slots = 4;
constexpr auto WorkTime = std::chrono::milliseconds(30);
constexpr unsigned UsualSlowness = 100;

std::string fieldOf(const HttpRequest &Request, const char *Name) {
  const std::string *Found = findField(Request.Headers, Name);
  return Found == nullptr ? "" : *Found;
}

} // namespace

SoakServer::SoakServer(asio::io_context &Io, std::string Id,
                       std::string Service, Hooks Callbacks)
    : Context(Io), Id(std::move(Id)), Service(std::move(Service)),
      Callbacks(std::move(Callbacks)),
      Http(std::make_unique<HttpServer>(
          Io, HttpServerLimits{},
          [this](const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            onRequest(Request, Exchange);
          },
          [](NetError) {
            return HttpResponse{400, {}, ""};
          })) {}

std::string SoakServer::load() const {
  return fmt::format("{},0,{},{}", Running, Slots, Slowness * UsualSlowness);
}

void SoakServer::onRequest(const HttpRequest &Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target == "/health") {
    Exchange->respond(
        {200, {{"X-Instance-Id", Id}, {"X-Server-Load", load()}}, ""});
    return;
  }
  const std::string RequestId = fieldOf(Request, "X-Request-Id");
  if (fieldOf(Request, "X-Expect-Instance") != Id) {
    Exchange->respond({421, {{"X-Instance-Id", Id}}, ""});
    return;
  }
  if (Running >= Slots) {
    Exchange->respond(
        {503, {{"X-Not-Executed", "1"}, {"X-Server-Load", load()}}, ""});
    return;
  }
  ++Running;
  const ServerEvent Event{RequestId, Service, Id};
  Callbacks.Ran(Event);
  const auto Timer =
      std::make_shared<asio::steady_timer>(Context, WorkTime * Slowness);
  Timer->async_wait(
      [this, Timer, Event, Exchange,
       Living = std::weak_ptr<int>(Alive)](boost::system::error_code) {
        if (Living.expired())
          return;
        --Running;
        Callbacks.Answered(Event);
        Exchange->respond({200,
                           {{"X-Request-Id", Event.RequestId},
                            {"X-Response-Stamp", "stamp-" + Event.RequestId},
                            {"X-Server-Load", load()}},
                           Event.RequestId + " by " + Id});
      });
}

} // namespace mimosacart
