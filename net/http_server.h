/// \file
/// An HTTP/1.1 server for callers and operators.
#pragma once

#include "core/time.h"
#include "net/http_message.h"

#include <boost/outcome/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace mimosacart {

/// Limits of an HttpServer.
struct HttpServerLimits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 1U << 20U;
  std::size_t Connections = 20'000;
  std::size_t ConnectionsPerAddress = 10'000;
  Duration IdleTimeout = std::chrono::seconds(60);
  Duration ReadTimeout = std::chrono::seconds(10);
};

/// One exchange that waits for its response.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends the response; later calls do nothing.
  virtual void respond(HttpResponse Response) = 0;
  /// Sets what to do if the other end goes away before the response.
  virtual void onGone(std::function<void()> Gone) = 0;
};

/// Accepts connections and hands each request to a handler.
///
/// A malformed or oversized request is answered by the refusal hook and
/// closes only its own connection.
class HttpServer {
public:
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;
  /// Builds the response to a request that could not be read.
  using RefusalHook = std::function<HttpResponse(NetError)>;

  HttpServer(boost::asio::io_context &Context, HttpServerLimits Limits,
             Handler Handle, RefusalHook Refuse);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Replaces the limits for requests that are yet to come.
  void setLimits(const HttpServerLimits &Limits);

  /// Goes on serving, but closes each connection with its next response and
  /// those that are idle at once.
  void drain();

  /// Binds to \p Address and starts to accept.
  boost::outcome_v2::result<void, std::error_code>
  listen(const std::string &Address);

  /// Stops to accept and closes idle connections; open exchanges finish.
  void stop();

  std::size_t connections() const;

  class Impl;

private:
  std::shared_ptr<Impl> Shared;
};

} // namespace mimosacart
