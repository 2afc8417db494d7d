/// \file
/// An HTTP/1.1 server for callers and operators.
#pragma once

#include "core/memory_budget.h"
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
  /// How long a connection may wait for its next request.
  Duration IdleTimeout = std::chrono::seconds(60);
  /// Limits reading one request, and writing one response.
  Duration ReadTimeout = std::chrono::seconds(10);
};

/// A received request that waits for its response.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends the response. Only the first call has an effect.
  virtual void respond(HttpResponse Response) = 0;
  /// Sets the hook that is called if the client closes the connection before
  /// the response is sent.
  virtual void onGone(std::function<void()> Hook) = 0;
  /// Whether the client has closed the connection, also before the hook of
  /// onGone() is called. Does not block.
  virtual bool isGone() = 0;
};

/// Accepts connections and passes each request to a handler.
///
/// A malformed, oversized or late request is answered by the refusal hook and
/// closes only its own connection.
class HttpServer {
public:
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;
  /// Builds the response to a request that could not be read.
  using RefusalHook = std::function<HttpResponse(NetError)>;

  /// \p ReportInvalid may be empty. \p Memory limits the requests that the
  /// server holds, from their first byte until the handler has dropped their
  /// bodies; it may be null.
  HttpServer(boost::asio::io_context &Context, HttpServerLimits Limits,
             Handler Handle, RefusalHook Refuse,
             InvalidMessageHook ReportInvalid = {},
             std::shared_ptr<MemoryBudget> Memory = nullptr);
  /// Calls no hook any more; responses to open exchanges are still written.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Replaces the limits; they apply to later requests and connections.
  void setLimits(const HttpServerLimits &Limits);

  /// Keeps serving, but closes idle connections now and every other connection
  /// after its next response.
  void drain();

  /// Binds to \p Address and starts to accept connections.
  boost::outcome_v2::result<void, std::error_code>
  listen(const std::string &Address);

  /// Stops accepting connections and closes idle ones; open exchanges finish.
  void stop();

  /// Number of open connections.
  std::size_t connections() const;

  class Impl;

private:
  std::shared_ptr<Impl> Shared;
};

} // namespace mimosacart
