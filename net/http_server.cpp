#include "net/http_server.h"

#include "net/http_session.h"

namespace mimosacart {

namespace {

/// Pause after a failed accept, which fails again at once while the process has
/// no file descriptors left.
constexpr Duration AcceptRetryPause = std::chrono::milliseconds(50);

} // namespace

class HttpServer::Impl : public HttpServerState,
                         public std::enable_shared_from_this<Impl> {
public:
  explicit Impl(HttpServerState State)
      : HttpServerState(std::move(State)), Acceptor(Context),
        AcceptRetry(Context) {}

  boost::outcome_v2::result<void, std::error_code>
  listen(const std::string &Address);
  void stop();
  void drain();

private:
  void accept();
  void acceptLater();
  /// Accepts the connections that wait in the acceptor's queue.
  void acceptWaiting();
  void startSession(tcp::socket Socket);
  void closeIdleSessions();

  tcp::acceptor Acceptor;
  OneShotTimer AcceptRetry;
};

boost::outcome_v2::result<void, std::error_code>
HttpServer::Impl::listen(const std::string &Address) {
  if (!listenOn(Acceptor, Address))
    return NetError::BadAddress;
  accept();
  return boost::outcome_v2::success();
}

void HttpServer::Impl::accept() {
  Acceptor.async_accept(
      [Self = shared_from_this()](beast::error_code Error, tcp::socket Socket) {
        if (Self->Stopping || Error == asio::error::operation_aborted)
          return;
        if (Error) {
          Self->acceptLater();
          return;
        }
        Self->startSession(std::move(Socket));
        Self->accept();
      });
}

void HttpServer::Impl::startSession(tcp::socket Socket) {
  beast::error_code Error;
  setConnectionOptions(Socket);
  const auto Remote = Socket.remote_endpoint(Error);
  const std::string Address =
      Error ? std::string() : Remote.address().to_string();
  const auto Found = ConnectionsByAddress.find(Address);
  const std::size_t OfAddress =
      Found == ConnectionsByAddress.end() ? 0 : Found->second;
  if (Sessions.size() >= Limits.Connections ||
      OfAddress >= Limits.ConnectionsPerAddress)
    return;
  std::make_shared<HttpSession>(shared_from_this(), std::move(Socket), Address)
      ->start();
}

void HttpServer::Impl::acceptWaiting() {
  beast::error_code Error;
  Acceptor.non_blocking(true, Error);
  while (!Error) {
    tcp::socket Socket(Context);
    Acceptor.accept(Socket, Error);
    if (!Error)
      startSession(std::move(Socket));
  }
}

void HttpServer::Impl::acceptLater() {
  AcceptRetry.start(AcceptRetryPause,
                    [Self = shared_from_this()] { Self->accept(); });
}

void HttpServer::Impl::stop() {
  Stopping = true;
  AcceptRetry.cancel();
  beast::error_code Ignored;
  if (Acceptor.is_open())
    acceptWaiting();
  Acceptor.close(Ignored);
  closeIdleSessions();
}

void HttpServer::Impl::closeIdleSessions() {
  const std::unordered_set<HttpSession *> OpenSessions = Sessions;
  for (HttpSession *OpenSession : OpenSessions)
    OpenSession->closeIfIdle();
}

void HttpServer::Impl::drain() {
  Draining = true;
  closeIdleSessions();
}

HttpServer::HttpServer(asio::io_context &Context, HttpServerLimits Limits,
                       Handler Handle, RefusalHook Refuse,
                       InvalidMessageHook ReportInvalid,
                       std::shared_ptr<MemoryBudget> Memory)
    : Shared(std::make_shared<Impl>(HttpServerState{Context,
                                                    Limits,
                                                    std::move(Handle),
                                                    std::move(Refuse),
                                                    std::move(ReportInvalid),
                                                    std::move(Memory),
                                                    false,
                                                    false,
                                                    false,
                                                    {},
                                                    {}})) {}

HttpServer::~HttpServer() {
  Shared->stop();
  Shared->Destroyed = true;
}

boost::outcome_v2::result<void, std::error_code>
HttpServer::listen(const std::string &Address) {
  return Shared->listen(Address);
}

void HttpServer::stop() { Shared->stop(); }

void HttpServer::drain() { Shared->drain(); }

void HttpServer::setLimits(const HttpServerLimits &Limits) {
  Shared->Limits = Limits;
}

std::size_t HttpServer::connections() const { return Shared->Sessions.size(); }

} // namespace mimosacart
