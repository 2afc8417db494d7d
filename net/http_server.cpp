#include "net/http_server.h"

#include "core/text.h"
#include "net/message_reader.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace mimosacart {

namespace {

constexpr unsigned HttpVersion11 = 11;
/// Bounds of reading the rest of a refused request.
constexpr Duration LingerTime = std::chrono::seconds(2);
constexpr std::size_t MaxDiscardedBytes = 64U << 20U;
constexpr std::size_t DiscardBytes = 16U << 10U;
/// Status in place of a response that cannot be written.
constexpr unsigned StatusBadGateway = 502;
/// Pause after a failed accept, which fails again at once while the process has
/// no file descriptors left.
constexpr Duration AcceptRetryPause = std::chrono::milliseconds(50);
/// Time that a stopping server waits for the first request of a connection that
/// a client has just opened.
constexpr Duration LastRequestWait = std::chrono::milliseconds(300);

/// Checks what the parser leaves to its users.
std::optional<MessageError> checkRequest(const HttpRequest &Request) {
  const auto HostFields =
      std::count_if(Request.Headers.begin(), Request.Headers.end(),
                    [](const HeaderField &Field) {
                      return equalsIgnoringCase(Field.Name, "Host");
                    });
  // HTTP/1.1 allows only one Host field; several may be a request smuggling
  // attempt.
  if (HostFields > 1)
    return MessageError{NetError::Malformed, "several Host fields"};
  // RFC 9110, section 9.3.8; such a request could not be forwarded.
  if (Request.Method == "TRACE" && !Request.Body.empty())
    return MessageError{NetError::Malformed, "a TRACE request has a body"};
  return std::nullopt;
}

class Session;

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, HttpServerLimits Limits, Handler Handle,
       RefusalHook Refuse, InvalidMessageHook ReportInvalid,
       std::shared_ptr<MemoryBudget> Memory)
      : Context(Context), Acceptor(Context), AcceptRetry(Context),
        Limits(Limits), Handle(std::move(Handle)), Refuse(std::move(Refuse)),
        ReportInvalid(std::move(ReportInvalid)), Memory(std::move(Memory)) {}

  boost::outcome_v2::result<void, std::error_code>
  listen(const std::string &Address);
  void stop();
  void drain();
  void accept();
  void acceptLater();
  /// Accepts the connections that wait in the acceptor's queue.
  void acceptWaiting();
  void startSession(tcp::socket Socket);

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptRetry;
  HttpServerLimits Limits;
  const Handler Handle;
  const RefusalHook Refuse;
  const InvalidMessageHook ReportInvalid;
  const std::shared_ptr<MemoryBudget> Memory;
  /// No connection is accepted, and open ones are closed after their response.
  bool Stopping = false;
  /// Connections are closed after their next response.
  bool Draining = false;
  std::unordered_map<std::string, std::size_t> ConnectionsByAddress;
  std::unordered_set<Session *> Sessions;
};

namespace {

/// One connection; keeps itself alive while an operation is outstanding.
class Session : public HttpExchange,
                public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<HttpServer::Impl> ServerImpl, tcp::socket Socket,
          std::string RemoteAddress);
  ~Session() override;
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void start() { waitForRequest(); }
  /// Closes the connection unless a request is in progress, has arrived but is
  /// not read yet, or may follow as the first one of the connection.
  void closeIfIdle();
  void respond(HttpResponse Response) override;
  void onGone(std::function<void()> Hook) override {
    GoneHook = std::move(Hook);
  }

private:
  void waitForRequest();
  void closeIfIdleAfter(Duration Wait);
  bool hasUnreadBytes() const;
  void readRequest();
  void readMore();
  void onRead(const beast::error_code &Error, std::size_t Bytes);
  /// Continues after bytes of the request have been parsed.
  void onParsed(const std::optional<MessageError> &Invalid);
  void onRequest();
  void watchForClose();
  void refuse(const MessageError &Error);
  void reportInvalid(const MessageError &Error) const {
    if (Server->ReportInvalid)
      Server->ReportInvalid(RemoteAddress, Error);
  }
  void write(HttpResponse Response, bool StayOpen);
  void onWritten(const beast::error_code &Error, bool StayOpen);
  /// Reads the rest of a request that is too long, since closing the connection
  /// with unread bytes would reset it before the client has read the refusal.
  void discardRequest();
  void onDiscarded(const beast::error_code &Error, std::size_t Bytes);
  /// Makes the message for write(). Throws if the response cannot be written.
  void makeOutgoing(HttpResponse Response, bool StayOpen);
  void close();

  std::shared_ptr<HttpServer::Impl> Server;
  beast::tcp_stream Stream;
  const std::string RemoteAddress;
  beast::flat_buffer Buffer;
  std::optional<MessageReader<true>> Reader;
  http::response<http::span_body<const char>> Outgoing;
  /// The bytes of the response that is being written.
  Payload OutgoingBody;
  std::function<void()> GoneHook;
  asio::steady_timer ReadTimer;
  bool ReadTimedOut = false;
  bool AwaitingRequest = true;
  bool HadRequest = false;
  /// Bytes of a refused request that are still read.
  std::size_t BytesToDiscard = 0;
  bool IsHead = false;
  bool AwaitingResponse = false;
  bool KeepAlive = true;
};

Session::Session(std::shared_ptr<HttpServer::Impl> ServerImpl,
                 tcp::socket Socket, std::string RemoteAddress)
    : Server(std::move(ServerImpl)), Stream(std::move(Socket)),
      RemoteAddress(std::move(RemoteAddress)), ReadTimer(Server->Context) {
  Server->Sessions.insert(this);
  ++Server->ConnectionsByAddress[this->RemoteAddress];
}

Session::~Session() {
  Server->Sessions.erase(this);
  const auto Found = Server->ConnectionsByAddress.find(RemoteAddress);
  if (--Found->second == 0)
    Server->ConnectionsByAddress.erase(Found);
}

void Session::closeIfIdle() {
  if (!AwaitingRequest || hasUnreadBytes())
    return;
  if (HadRequest)
    close();
  else
    closeIfIdleAfter(LastRequestWait);
}

void Session::closeIfIdleAfter(Duration Wait) {
  ReadTimer.expires_after(Wait);
  ReadTimer.async_wait([Self = shared_from_this()](beast::error_code Error) {
    if (!Error && Self->AwaitingRequest && !Self->hasUnreadBytes())
      Self->close();
  });
}

bool Session::hasUnreadBytes() const {
  beast::error_code Ignored;
  return Stream.socket().available(Ignored) > 0;
}

void Session::waitForRequest() {
  if (Buffer.size() > 0) {
    readRequest();
    return;
  }
  AwaitingRequest = true;
  const bool IsEnding = Server->Stopping || Server->Draining;
  if (IsEnding && HadRequest && !hasUnreadBytes()) {
    close();
    return;
  }
  closeIfIdleAfter(Server->Stopping ? LastRequestWait
                                    : Server->Limits.IdleTimeout);
  Stream.expires_never();
  // The bytes stay in the socket until the handler runs. Bytes that a pending
  // read had taken would be invisible to closeIfIdle().
  Stream.socket().async_wait(
      tcp::socket::wait_read,
      [Self = shared_from_this()](beast::error_code Error) {
        if (Error)
          Self->close();
        else
          Self->readRequest();
      });
}

void Session::readRequest() {
  AwaitingRequest = false;
  HadRequest = true;
  IsHead = false;
  Reader.emplace(Buffer,
                 MessageLimits{Server->Limits.HeaderBytes,
                               Server->Limits.BodyBytes, Server->Memory});
  // A timer is used because the stream's own timeout would close the stream
  // before the refusal is sent.
  Stream.expires_never();
  ReadTimer.expires_after(Server->Limits.ReadTimeout);
  ReadTimer.async_wait([Self = shared_from_this()](beast::error_code Error) {
    if (Error)
      return;
    Self->ReadTimedOut = true;
    Self->Stream.cancel();
  });
  if (Buffer.size() > 0)
    onParsed(Reader->parse(0));
  else
    readMore();
}

void Session::readMore() {
  Stream.async_read_some(
      Reader->prepare(),
      [Self = shared_from_this()](beast::error_code Error, std::size_t Bytes) {
        Self->onRead(Error, Bytes);
      });
}

void Session::onRead(const beast::error_code &Error, std::size_t Bytes) {
  if (Error && ReadTimedOut) {
    refuse({NetError::TimedOut, "the request is not complete in time"});
    return;
  }
  if (Error) {
    ReadTimer.cancel();
    close();
    return;
  }
  onParsed(Reader->parse(Bytes));
}

void Session::onParsed(const std::optional<MessageError> &Invalid) {
  if (!Invalid && !Reader->isDone()) {
    readMore();
    return;
  }
  ReadTimer.cancel();
  IsHead = Reader->message().method() == http::verb::head;
  if (Invalid)
    refuse(*Invalid);
  else
    onRequest();
}

void Session::onRequest() {
  KeepAlive = Reader->keepAlive();
  const auto &Message = Reader->message();
  HttpRequest Request{std::string(Message.method_string()),
                      std::string(Message.target()), Reader->takeFields(),
                      Reader->takeBody(), RemoteAddress};
  Reader.reset();
  if (const auto Invalid = checkRequest(Request)) {
    refuse(*Invalid);
    return;
  }
  AwaitingResponse = true;
  Stream.expires_never();
  watchForClose();
  try {
    Server->Handle(std::move(Request), shared_from_this());
  } catch (const std::exception &Thrown) {
    reportInvalid({NetError::Malformed, Thrown.what()});
    respond({StatusBadGateway, {}, ""});
  }
}

void Session::watchForClose() {
  Stream.socket().async_wait(
      tcp::socket::wait_read,
      [Weak = weak_from_this()](beast::error_code Error) {
        const auto Self = Weak.lock();
        if (!Self || Error || !Self->AwaitingResponse)
          return;
        char Byte = 0;
        beast::error_code Failure;
        const std::size_t Peeked = Self->Stream.socket().receive(
            asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
        // More bytes are a pipelined request, which is read after the response.
        if (Peeked > 0 && !Failure)
          return;
        Self->AwaitingResponse = false;
        const std::function<void()> Hook = std::move(Self->GoneHook);
        Self->GoneHook = nullptr;
        Self->close();
        if (Hook)
          Hook();
      });
}

void Session::respond(HttpResponse Response) {
  if (!AwaitingResponse)
    return;
  AwaitingResponse = false;
  GoneHook = nullptr;
  write(std::move(Response),
        KeepAlive && !Server->Stopping && !Server->Draining);
}

void Session::refuse(const MessageError &Error) {
  Reader.reset();
  reportInvalid(Error);
  const bool IsTooLong =
      Error.Kind == NetError::BodyTooLarge || Error.Kind == NetError::NoMemory;
  BytesToDiscard = IsTooLong ? MaxDiscardedBytes : 0;
  write(Server->Refuse(Error.Kind), false);
}

void Session::makeOutgoing(HttpResponse Response, bool StayOpen) {
  Outgoing = {};
  Outgoing.version(HttpVersion11);
  Outgoing.result(Response.Status);
  insertFields(Response.Headers, Outgoing);
  OutgoingBody = std::move(Response.Body);
  const std::string &Bytes = OutgoingBody;
  Outgoing.body() = {Bytes.data(), Bytes.size()};
  Outgoing.keep_alive(StayOpen);
  Outgoing.prepare_payload();
  // A response to HEAD keeps its Content-Length, but has no body.
  if (IsHead)
    Outgoing.body() = {};
}

void Session::write(HttpResponse Response, bool StayOpen) {
  try {
    makeOutgoing(std::move(Response), StayOpen);
  } catch (const std::exception &Thrown) {
    reportInvalid({NetError::Malformed, Thrown.what()});
    makeOutgoing({StatusBadGateway, {}, ""}, StayOpen);
  }
  Stream.expires_after(Server->Limits.ReadTimeout);
  http::async_write(Stream, Outgoing,
                    [Self = shared_from_this(),
                     StayOpen](beast::error_code Error, std::size_t /*Bytes*/) {
                      Self->onWritten(Error, StayOpen);
                    });
}

void Session::onWritten(const beast::error_code &Error, bool StayOpen) {
  Outgoing = {};
  OutgoingBody = {};
  if (Buffer.size() == 0)
    Buffer.shrink_to_fit();
  if (!Error && StayOpen) {
    waitForRequest();
    return;
  }
  if (Error || BytesToDiscard == 0) {
    close();
    return;
  }
  beast::error_code Ignored;
  Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  Stream.expires_after(LingerTime);
  discardRequest();
}

void Session::discardRequest() {
  Buffer.clear();
  Stream.async_read_some(
      Buffer.prepare(DiscardBytes),
      [Self = shared_from_this()](beast::error_code Error, std::size_t Bytes) {
        Self->onDiscarded(Error, Bytes);
      });
}

void Session::onDiscarded(const beast::error_code &Error, std::size_t Bytes) {
  BytesToDiscard -= std::min(BytesToDiscard, Bytes);
  if (Error || BytesToDiscard == 0)
    close();
  else
    discardRequest();
}

void Session::close() {
  ReadTimer.cancel();
  beast::error_code Ignored;
  Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  Stream.close();
}

} // namespace

boost::outcome_v2::result<void, std::error_code>
HttpServer::Impl::listen(const std::string &Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return NetError::BadAddress;
  beast::error_code Error;
  Acceptor.open(Endpoint->protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(*Endpoint, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error) {
    // The acceptor is closed so that another address can be tried.
    beast::error_code Ignored;
    Acceptor.close(Ignored);
    return NetError::BadAddress;
  }
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
  std::make_shared<Session>(shared_from_this(), std::move(Socket), Address)
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
  AcceptRetry.expires_after(AcceptRetryPause);
  AcceptRetry.async_wait([Self = shared_from_this()](beast::error_code Error) {
    if (!Error && !Self->Stopping)
      Self->accept();
  });
}

void HttpServer::Impl::stop() {
  Stopping = true;
  AcceptRetry.cancel();
  beast::error_code Ignored;
  if (Acceptor.is_open())
    acceptWaiting();
  Acceptor.close(Ignored);
  const std::unordered_set<Session *> OpenSessions = Sessions;
  for (Session *OpenSession : OpenSessions)
    OpenSession->closeIfIdle();
}

void HttpServer::Impl::drain() {
  Draining = true;
  const std::unordered_set<Session *> OpenSessions = Sessions;
  for (Session *OpenSession : OpenSessions)
    OpenSession->closeIfIdle();
}

HttpServer::HttpServer(asio::io_context &Context, HttpServerLimits Limits,
                       Handler Handle, RefusalHook Refuse,
                       InvalidMessageHook ReportInvalid,
                       std::shared_ptr<MemoryBudget> Memory)
    : Shared(std::make_shared<Impl>(Context, Limits, std::move(Handle),
                                    std::move(Refuse), std::move(ReportInvalid),
                                    std::move(Memory))) {}

HttpServer::~HttpServer() { Shared->stop(); }

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
