/// \file
/// A backend server stand-in of the soak: executes each request for a fixed
/// time, reports its load, and notifies the soak of each execution and answer.
#pragma once

#include "net/asio.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace mimosacart {

/// A request that a backend server executes or answers.
struct ServerEvent {
  std::string RequestId;
  std::string Service;
  /// Id of the server.
  std::string Server;
  /// The answer says that the server is leaving.
  bool Leaving = false;
  /// Pause that the refusal asks for; zero if it asks for none.
  std::chrono::milliseconds Pause{};
  /// Workspace that the request names, and whether it carries a key.
  std::string Workspace;
  bool HasKey = false;
};

/// What a server says about the requests that it takes.
struct AnnouncedWishes {
  /// Value of the Server-Limit header; may be invalid. Empty if not sent.
  std::string Limit;
  bool Leaving = false;
  /// All requests are refused, with a Retry-After of this length, if not zero.
  std::chrono::milliseconds Pause{};
};

/// What a server does to requests instead of running them.
enum class ServerTrouble : std::uint8_t {
  None,
  /// Answers 500.
  Breaks,
  /// Answers that the request has not run.
  Refuses,
};

/// Listens on one address until it is destroyed.
class SoakServer {
public:
  struct Hooks {
    /// Called when the execution of a request starts.
    std::function<void(const ServerEvent &)> ExecutionStarted;
    /// Called when a request has reached the server that it names.
    std::function<void(const ServerEvent &)> Arrived;
    /// Called just before the server sends its answer.
    std::function<void(const ServerEvent &)> AnswerSent;
    /// Called with each request that arrives, also if it names another server.
    std::function<void(const ServerEvent &)> Reached;
  };

  SoakServer(asio::io_context &Context, std::string Id, std::string Service,
             Hooks Callbacks);

  /// Binds to \p Address; false if that fails.
  bool listen(const std::string &Address) {
    return Http->listen(Address).has_value();
  }
  /// Multiplies the execution time of later requests and the reported slowness
  /// by \p Factor.
  void setSlowness(unsigned Factor) { SlownessFactor = Factor; }
  void announce(AnnouncedWishes NewWishes) { Wishes = std::move(NewWishes); }
  bool isIdle() const { return ExecutingCount == 0; }
  void setTrouble(ServerTrouble Kind) { Trouble = Kind; }
  const std::string &id() const { return Id; }
  const std::string &service() const { return Service; }

private:
  void onRequest(const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange);
  /// Answers the request and returns true if the server has trouble with it.
  bool answerInTrouble(const ServerEvent &Event,
                       const std::shared_ptr<HttpExchange> &Exchange);
  /// Value of the X-Server-Load header: requests in execution, 0, concurrency
  /// limit and slowness in percent.
  std::string formatLoad() const;
  /// Headers of every answer: the load and what the server asks for.
  std::vector<HeaderField> makeHeaders() const;

  asio::io_context &Context;
  const std::string Id;
  const std::string Service;
  const Hooks Callbacks;
  /// Number of requests in execution.
  unsigned ExecutingCount = 0;
  unsigned SlownessFactor = 1;
  AnnouncedWishes Wishes;
  ServerTrouble Trouble = ServerTrouble::None;
  /// Expires with the server, so that pending timers do not access it.
  std::shared_ptr<int> LifetimeToken = std::make_shared<int>(0);
  std::unique_ptr<HttpServer> Http;
};

} // namespace mimosacart
