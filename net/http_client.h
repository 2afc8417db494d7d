/// \file
/// An HTTP/1.1 client with a pool of idle connections per server address.
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

/// A request with its destination and limits.
struct HttpCall {
  /// IP address and port.
  std::string Address;
  HttpRequest Request;
  /// Limits the whole call, including connecting.
  Duration Timeout{};
  /// Limits connecting; zero means that only Timeout applies.
  Duration ConnectTimeout{};
  /// Accepts a response that has neither a length nor chunks and ends when the
  /// server closes the connection. Otherwise such a response is malformed.
  bool MayEndWithConnection = false;
  /// Returns whether a response belongs to this call. Others belong to earlier
  /// calls on the connection and are dropped. An empty hook accepts all.
  std::function<bool(const HttpResponse &)> Accept;
  /// Returns whether the connection may be used for further calls after this
  /// response. An empty hook always allows it.
  std::function<bool(const HttpResponse &)> AllowsReuse;
  /// Names the request to Accept: two calls with the same identity accept each
  /// other's responses. Empty if no later call accepts a response to this one.
  std::string Identity;
  /// Returns whether the request may be sent again after this response. The
  /// connection then carries no other call with the same identity, since a late
  /// copy of the response would be accepted there. An empty hook means never.
  std::function<bool(const HttpResponse &)> MayBeSentAgain;
  /// Calls with different channels never share a connection, so that a surplus
  /// response to one is not accepted by another. A channel other than the empty
  /// one is for calls that follow each other; it keeps one idle connection.
  std::string Channel;
  /// How long a connection may have been idle to be reused for this call; zero
  /// always opens a new connection.
  Duration MaxIdle = std::chrono::seconds(30);
};

using HttpResult = boost::outcome_v2::result<HttpResponse, std::error_code>;

/// A call in progress.
class HttpCallHandle {
public:
  virtual ~HttpCallHandle() = default;
  /// Ends the call without a result and closes its connection.
  virtual void cancel() = 0;
};

/// Makes HTTP calls, one at a time on each connection. A connection whose call
/// failed, timed out or was cancelled is closed and not reused. A response may
/// arrive before the request is completely written.
class HttpClient {
public:
  using DoneHook = std::function<void(HttpResult)>;

  /// \p MaxBodyBytes limits the body of a response, \p Memory the responses
  /// that are held, from their first byte until their bodies are dropped. A
  /// call whose response exceeds either is broken. \p Memory may be null and
  /// \p ReportInvalid empty. Connections come from the IP address \p Source,
  /// or from one that the system chooses if it is empty.
  HttpClient(boost::asio::io_context &Context, std::size_t MaxBodyBytes,
             std::shared_ptr<MemoryBudget> Memory = nullptr,
             InvalidMessageHook ReportInvalid = {}, std::string Source = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts \p Call and passes its result to \p Done exactly once, unless the
  /// call is cancelled.
  std::shared_ptr<HttpCallHandle> call(HttpCall Call, DoneHook Done);

  class Impl;

private:
  std::shared_ptr<Impl> Shared;
};

} // namespace mimosacart
