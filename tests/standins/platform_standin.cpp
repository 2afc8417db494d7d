/// \file
/// Stand-in for the platform: a table with conditional writes, an object
/// store and a host list, all in memory.
///
/// `POST /control` with `mode=up|down|hang|lose-answer|
/// lose-row-answer` and `delay_ms=N`
/// (separated by `&`) sets how it fails; `POST /control/hosts` sets the list.
#include "net/asio.h"
#include "net/http_server.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <map>

DEFINE_string(listen, "127.0.0.1:8000", "address to listen on");

namespace {

using namespace mimosacart;

constexpr std::size_t MaxBodyBytes = 64U << 20U;

enum class Mode { Up, Down, Hang, LoseAnswer, LoseRowAnswer };

/// Versioned rows, objects and the host list.
class PlatformStandin {
public:
  explicit PlatformStandin(asio::io_context &Context) : Context(Context) {}

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) {
    if (Request.Target == "/control") {
      control(Request.Body);
      Exchange->respond({204, {}, ""});
      return;
    }
    if (Request.Target == "/control/hosts") {
      HostList = Request.Body;
      Exchange->respond({204, {}, ""});
      return;
    }
    if (Current == Mode::Down) {
      Exchange->respond({503, {}, "down"});
      return;
    }
    if (Current == Mode::Hang) {
      Held.push_back(std::move(Exchange));
      return;
    }
    const bool IsWrite = Request.Method == "PUT";
    HttpResponse Response = serve(Request);
    const bool IsRow = Request.Target.rfind("/table/", 0) == 0;
    const bool Loses = Current == Mode::LoseAnswer ||
                       (Current == Mode::LoseRowAnswer && IsRow);
    if (Loses && IsWrite) {
      Held.push_back(std::move(Exchange));
      return;
    }
    answerLater(std::move(Exchange), std::move(Response));
  }

private:
  void control(const std::string &Body) {
    if (Body.find("mode=up") != std::string::npos)
      Current = Mode::Up;
    if (Body.find("mode=down") != std::string::npos)
      Current = Mode::Down;
    if (Body.find("mode=hang") != std::string::npos)
      Current = Mode::Hang;
    if (Body.find("mode=lose-row-answer") != std::string::npos)
      Current = Mode::LoseRowAnswer;
    if (Body.find("mode=lose-answer") != std::string::npos)
      Current = Mode::LoseAnswer;
    const std::size_t Delay = Body.find("delay_ms=");
    if (Delay != std::string::npos)
      DelayMs = std::stoi(Body.substr(Delay + 9));
    Held.clear();
  }

  void answerLater(std::shared_ptr<HttpExchange> Exchange,
                   HttpResponse Response) {
    if (DelayMs == 0) {
      Exchange->respond(std::move(Response));
      return;
    }
    const auto Timer = std::make_shared<asio::steady_timer>(
        Context, std::chrono::milliseconds(DelayMs));
    Timer->async_wait(
        [Timer, Exchange = std::move(Exchange),
         Response = std::move(Response)](boost::system::error_code /*Error*/) {
          Exchange->respond(Response);
        });
  }

  HttpResponse serve(const HttpRequest &Request) {
    if (Request.Target == "/hosts")
      return {200, {{"Content-Type", "application/json"}}, HostList};
    if (Request.Target.rfind("/objects/", 0) == 0)
      return serveObject(Request);
    if (Request.Target.rfind("/table/", 0) == 0)
      return serveRow(Request);
    return {404, {}, ""};
  }

  HttpResponse serveObject(const HttpRequest &Request) {
    if (Request.Method == "PUT") {
      Objects[Request.Target] = Request.Body;
      return {201, {}, ""};
    }
    const auto Found = Objects.find(Request.Target);
    if (Found == Objects.end())
      return {404, {}, ""};
    return {200, {}, Found->second};
  }

  HttpResponse serveRow(const HttpRequest &Request) {
    const auto Found = Rows.find(Request.Target);
    if (Request.Method != "PUT") {
      if (Found == Rows.end())
        return {404, {}, ""};
      return {200, {{"ETag", Found->second.first}}, Found->second.second};
    }
    const std::string *Match = findField(Request.Headers, "If-Match");
    const std::string *NoneMatch = findField(Request.Headers, "If-None-Match");
    const bool Refused = (NoneMatch != nullptr && Found != Rows.end()) ||
                         (Match != nullptr && (Found == Rows.end() ||
                                               Found->second.first != *Match));
    if (Refused)
      return {412, {}, ""};
    const std::string Version = fmt::format("\"{}\"", ++LastVersion);
    Rows[Request.Target] = {Version, Request.Body};
    return {200, {{"ETag", Version}}, ""};
  }

  asio::io_context &Context;
  Mode Current = Mode::Up;
  int DelayMs = 0;
  std::uint64_t LastVersion = 0;
  std::map<std::string, std::pair<std::string, std::string>> Rows;
  std::map<std::string, std::string> Objects;
  std::string HostList = R"({"entry_hosts":[],"servers":[]})";
  std::vector<std::shared_ptr<HttpExchange>> Held;
};

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Context(1);
  PlatformStandin Platform(Context);
  HttpServerLimits Limits;
  Limits.BodyBytes = MaxBodyBytes;
  HttpServer Server(
      Context, Limits,
      [&](const HttpRequest &Request, std::shared_ptr<HttpExchange> Exchange) {
        Platform.handle(Request, std::move(Exchange));
      },
      [](NetError) {
        return HttpResponse{400, {}, ""};
      });
  if (Server.listen(FLAGS_listen).has_error()) {
    fmt::print(stderr, "cannot listen on {}\n", FLAGS_listen);
    return 1;
  }
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Context.stop(); });
  Context.run();
  return 0;
}
