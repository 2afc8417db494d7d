/// \file
/// An HTTP/1.1 client with a pool of idle connections for each address.
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

/// One call to be made.
struct HttpCall {
  /// IP address and port.
  std::string Address;
  HttpRequest Request;
  Duration Timeout{};
  /// Time for a new connection; the whole timeout if it is zero.
  Duration ConnectTimeout{};
  /// Whether a response that has neither a length nor chunks may end with its
  /// connection. Without it such a response is malformed.
  bool MayEndWithConnection = false;
  /// Tells whether a response answers this call. Others are left over from
  /// earlier calls on the connection and are dropped. Empty accepts all.
  std::function<bool(const HttpResponse &)> Accept;
  /// Whether an idle connection may carry the call, and how long it may have
  /// been idle; zero asks for a new connection.
  Duration MaxIdle = std::chrono::seconds(30);
};

using HttpResult = boost::outcome_v2::result<HttpResponse, std::error_code>;

/// A call in progress.
class HttpCallHandle {
public:
  virtual ~HttpCallHandle() = default;
  /// Ends the call without a result; its connection is closed.
  virtual void cancel() = 0;
};

/// Makes calls, one at a time on each connection. A connection whose call
/// failed, timed out or was cancelled is closed and never used again. A
/// response may arrive before the request is wholly written.
class HttpClient {
public:
  using DoneHook = std::function<void(HttpResult)>;

  /// \p MaxBodyBytes bounds what is read of one answer.
  HttpClient(boost::asio::io_context &Context, std::size_t MaxBodyBytes);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts \p Call; \p Done is told its result exactly once, unless the call
  /// is cancelled.
  std::shared_ptr<HttpCallHandle> call(HttpCall Call, DoneHook Done);

  class Impl;

private:
  std::shared_ptr<Impl> Shared;
};

} // namespace mimosacart
