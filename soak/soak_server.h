/// \file
/// A backend server of the soak: runs requests for some time, tells its load,
/// and records what it ran.
#pragma once

#include "net/asio.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace mimosacart {

/// What a server did with a request.
struct ServerEvent {
  std::string RequestId;
  std::string Service;
  std::string Server;
};

/// Serves one address until it is destroyed.
class SoakServer {
public:
  struct Hooks {
    /// A request began to run.
    std::function<void(const ServerEvent &)> Ran;
    /// Its answer is on its way.
    std::function<void(const ServerEvent &)> Answered;
  };

  SoakServer(asio::io_context &Context, std::string Id, std::string Service,
             Hooks Callbacks);

  bool listen(const std::string &Address) {
    return Http->listen(Address).has_value();
  }
  /// Work takes this many times as long.
  void setSlowness(unsigned Factor) { Slowness = Factor; }
  const std::string &id() const { return Id; }
  const std::string &service() const { return Service; }

private:
  void onRequest(const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange);
  std::string load() const;

  asio::io_context &Context;
  const std::string Id;
  const std::string Service;
  const Hooks Callbacks;
  unsigned Running = 0;
  unsigned Slowness = 1;
  /// Work ends with the server.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
  std::unique_ptr<HttpServer> Http;
};

} // namespace mimosacart
