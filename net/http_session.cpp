#include "net/http_session.h"

#include "core/text.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace mimosacart {

namespace {

constexpr unsigned HttpVersion11 = 11;
/// Bounds of reading the rest of a refused request.
constexpr Duration LingerTime = std::chrono::seconds(2);
constexpr std::size_t MaxDiscardedBytes = 64U << 20U;
constexpr std::size_t DiscardBytes = 16U << 10U;
/// Status in place of a response that cannot be written.
constexpr unsigned StatusBadGateway = 502;

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

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServerState> ServerState,
                         tcp::socket Socket, std::string RemoteAddress)
    : Server(std::move(ServerState)), Stream(std::move(Socket)),
      RemoteAddress(std::move(RemoteAddress)), ReadTimer(Server->Context) {
  Server->Sessions.insert(this);
  ++Server->ConnectionsByAddress[this->RemoteAddress];
}

HttpSession::~HttpSession() {
  OutgoingBody.onReclaim({});
  Server->Sessions.erase(this);
  const auto Found = Server->ConnectionsByAddress.find(RemoteAddress);
  if (--Found->second == 0)
    Server->ConnectionsByAddress.erase(Found);
}

void HttpSession::closeIfIdle() {
  if (!AwaitingRequest || hasUnreadBytes())
    return;
  if (HadRequest)
    close();
  else
    closeIfIdleAfter(LastRequestWait);
}

void HttpSession::closeIfIdleAfter(Duration Wait) {
  ReadTimer.start(Wait, [Self = shared_from_this()] {
    if (!Self->hasUnreadBytes())
      Self->close();
  });
}

bool HttpSession::hasUnreadBytes() const {
  beast::error_code Ignored;
  return Stream.socket().available(Ignored) > 0;
}

void HttpSession::waitForRequest() {
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

void HttpSession::readRequest() {
  AwaitingRequest = false;
  HadRequest = true;
  IsHead = false;
  Reader.emplace(Buffer,
                 MessageLimits{Server->Limits.HeaderBytes,
                               Server->Limits.BodyBytes, Server->Memory});
  Reader->onReclaim([this] { onReclaim(); });
  // A timer is used because the stream's own timeout would close the stream
  // before the refusal is sent.
  Stream.expires_never();
  ReadTimer.start(Server->Limits.ReadTimeout, [Self = shared_from_this()] {
    Self->ReadTimedOut = true;
    Self->Stream.cancel();
  });
  if (Buffer.size() > 0)
    onParsed(Reader->parse(0));
  else
    readMore();
}

void HttpSession::readMore() {
  Stream.async_read_some(
      Reader->prepare(),
      [Self = shared_from_this()](beast::error_code Error, std::size_t Bytes) {
        Self->onRead(Error, Bytes);
      });
}

/// Ends the request for a shorter one; the read in progress then ends.
void HttpSession::onReclaim() {
  Reader.reset();
  Buffer.clear();
  Stream.cancel();
}

void HttpSession::onRead(const beast::error_code &Error, std::size_t Bytes) {
  if (!Reader) {
    ReadTimer.cancel();
    refuse({NetError::NoMemory, "a shorter request needs the memory"});
    return;
  }
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

void HttpSession::onParsed(const std::optional<MessageError> &Invalid) {
  if (!Invalid && !Reader->isDone()) {
    readMore();
    return;
  }
  ReadTimer.cancel();
  IsHead = Reader->message().method() == http::verb::head;
  if (Invalid)
    refuse(*Invalid);
  else if (Server->Destroyed)
    close();
  else
    onRequest();
}

void HttpSession::onRequest() {
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

bool HttpSession::hasEnded() {
  char Byte = 0;
  // Asio's receive would wait for bytes on a socket that it has not set to
  // non-blocking mode.
  const ssize_t Peeked = ::recv(Stream.socket().native_handle(), &Byte, 1,
                                MSG_PEEK | MSG_DONTWAIT);
  // More bytes are a pipelined request, which is read after the response.
  if (Peeked >= 0)
    return Peeked == 0;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

void HttpSession::watchForClose() {
  Stream.socket().async_wait(
      tcp::socket::wait_read,
      [Weak = weak_from_this()](beast::error_code Error) {
        const auto Self = Weak.lock();
        if (!Self || Error || !Self->AwaitingResponse)
          return;
        if (!Self->hasEnded())
          return;
        Self->AwaitingResponse = false;
        const std::function<void()> Hook = std::move(Self->GoneHook);
        Self->GoneHook = nullptr;
        Self->close();
        if (Hook && !Self->Server->Destroyed)
          Hook();
      });
}

void HttpSession::respond(HttpResponse Response) {
  if (!AwaitingResponse)
    return;
  AwaitingResponse = false;
  GoneHook = nullptr;
  write(std::move(Response),
        KeepAlive && !Server->Stopping && !Server->Draining);
}

void HttpSession::refuse(const MessageError &Error) {
  if (Server->Destroyed) {
    close();
    return;
  }
  Reader.reset();
  reportInvalid(Error);
  const bool IsTooLong =
      Error.Kind == NetError::BodyTooLarge || Error.Kind == NetError::NoMemory;
  BytesToDiscard = IsTooLong ? MaxDiscardedBytes : 0;
  write(Server->Refuse(Error.Kind), false);
}

void HttpSession::makeOutgoing(HttpResponse Response, bool StayOpen) {
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

void HttpSession::write(HttpResponse Response, bool StayOpen) {
  try {
    makeOutgoing(std::move(Response), StayOpen);
  } catch (const std::exception &Thrown) {
    reportInvalid({NetError::Malformed, Thrown.what()});
    makeOutgoing({StatusBadGateway, {}, ""}, StayOpen);
  }
  OutgoingBody.onReclaim([this] {
    reportInvalid({NetError::NoMemory, "a shorter response needs the memory"});
    close();
  });
  Stream.expires_after(Server->Limits.ReadTimeout);
  http::async_write(Stream, Outgoing,
                    [Self = shared_from_this(),
                     StayOpen](beast::error_code Error, std::size_t /*Bytes*/) {
                      Self->onWritten(Error, StayOpen);
                    });
}

void HttpSession::onWritten(const beast::error_code &Error, bool StayOpen) {
  Outgoing = {};
  OutgoingBody.onReclaim({});
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

void HttpSession::discardRequest() {
  Buffer.clear();
  Stream.async_read_some(
      Buffer.prepare(DiscardBytes),
      [Self = shared_from_this()](beast::error_code Error, std::size_t Bytes) {
        Self->onDiscarded(Error, Bytes);
      });
}

void HttpSession::onDiscarded(const beast::error_code &Error,
                              std::size_t Bytes) {
  BytesToDiscard -= std::min(BytesToDiscard, Bytes);
  if (Error || BytesToDiscard == 0)
    close();
  else
    discardRequest();
}

void HttpSession::close() {
  ReadTimer.cancel();
  beast::error_code Ignored;
  Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  Stream.close();
}

} // namespace mimosacart
