#include "soak/soak_server.h"

#include <fmt/format.h>

namespace mimosacart {

using namespace std::chrono_literals;

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

std::vector<HeaderField> SoakServer::makeHeaders() const {
  std::vector<HeaderField> Headers = {{"X-Server-Load", formatLoad()}};
  if (!Wishes.Limit.empty())
    Headers.push_back({"Server-Limit", Wishes.Limit});
  if (Wishes.Leaving)
    Headers.push_back({"Server-Leaving", "1"});
  return Headers;
}

bool SoakServer::answerInTrouble(
    const ServerEvent &Event, const std::shared_ptr<HttpExchange> &Exchange) {
  if (Trouble == ServerTrouble::None)
    return false;
  std::vector<HeaderField> Headers = makeHeaders();
  Headers.push_back({"X-Request-Id", Event.RequestId});
  const bool Refuses = Trouble == ServerTrouble::Refuses;
  if (Refuses)
    Headers.push_back({"X-Not-Executed", "1"});
  else
    Callbacks.ExecutionStarted(Event);
  ServerEvent Answered = Event;
  Answered.Pause = 0ms;
  Callbacks.AnswerSent(Answered);
  Exchange->respond({Refuses ? 503U : 500U, std::move(Headers), ""});
  return true;
}

void SoakServer::onRequest(const HttpRequest &Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target == "/health") {
    std::vector<HeaderField> Headers = makeHeaders();
    Headers.push_back({"X-Instance-Id", Id});
    Exchange->respond({200, std::move(Headers), ""});
    return;
  }
  const std::string RequestId = findFieldOrEmpty(Request, "X-Request-Id");
  ServerEvent Event{RequestId,
                    Service,
                    Id,
                    Wishes.Leaving,
                    Wishes.Pause,
                    findFieldOrEmpty(Request, "X-Tenant-Id"),
                    findField(Request.Headers, "Authorization") != nullptr};
  Callbacks.Reached(Event);
  if (findFieldOrEmpty(Request, "X-Expect-Instance") != Id) {
    Exchange->respond({421,
                       {{"X-Instance-Id", Id},
                        {"X-Request-Id", RequestId},
                        {"X-Not-Executed", "1"}},
                       ""});
    return;
  }
  Callbacks.Arrived(Event);
  if (answerInTrouble(Event, Exchange))
    return;
  if (ExecutingCount >= ConcurrencyLimit || Wishes.Pause > 0ms) {
    std::vector<HeaderField> Headers = makeHeaders();
    Headers.push_back({"X-Not-Executed", "1"});
    Headers.push_back({"X-Request-Id", RequestId});
    if (Wishes.Pause > 0ms)
      Headers.push_back(
          {"Retry-After",
           fmt::format("{:.3f}",
                       std::chrono::duration<double>(Wishes.Pause).count())});
    Callbacks.AnswerSent(Event);
    Exchange->respond({503, std::move(Headers), ""});
    return;
  }
  ++ExecutingCount;
  Callbacks.ExecutionStarted(Event);
  const auto Timer = std::make_shared<asio::steady_timer>(
      Context, ExecutionTime * SlownessFactor);
  Timer->async_wait([this, Timer, Event, Exchange,
                     WeakLifetime = std::weak_ptr<int>(LifetimeToken)](
                        boost::system::error_code) {
    if (WeakLifetime.expired())
      return;
    --ExecutingCount;
    ServerEvent Answered = Event;
    Answered.Leaving = Wishes.Leaving;
    Answered.Pause = 0ms;
    Callbacks.AnswerSent(Answered);
    std::vector<HeaderField> Headers = makeHeaders();
    Headers.push_back({"X-Request-Id", Event.RequestId});
    Headers.push_back({"X-Response-Stamp", "stamp-" + Event.RequestId});
    Exchange->respond({200, std::move(Headers), Event.RequestId + " by " + Id});
  });
}

} // namespace mimosacart
