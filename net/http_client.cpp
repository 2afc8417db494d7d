#include "net/http_client.h"

#include "net/asio.h"

#include <deque>
#include <unordered_map>

namespace mimosacart {

namespace {

constexpr unsigned HttpVersion11 = 11;
/// Maximum number of idle connections kept per address.
constexpr std::size_t MaxIdleConnections = 64;
/// Maximum number of bytes received but not yet parsed. Bounds the lines of a
/// chunked body, which the parser does not limit.
constexpr std::size_t MaxUnparsedBytes = 128U << 10U;
/// Maximum number of responses that a call drops because they belong to others.
constexpr unsigned MaxDroppedResponses = 16;
constexpr unsigned FirstFinalStatus = 200;

struct IdleConnection {
  std::unique_ptr<beast::tcp_stream> Stream;
  std::chrono::steady_clock::time_point Since;
};

} // namespace

class HttpClient::Impl {
public:
  Impl(asio::io_context &Context, std::size_t MaxBodyBytes,
       std::size_t MaxBufferedBytes)
      : Context(Context), MaxBodyBytes(MaxBodyBytes),
        MaxBufferedBytes(MaxBufferedBytes) {}

  /// Takes the most recently used connection to \p Address that is still open
  /// and was idle for at most \p MaxIdle; null if there is none.
  std::unique_ptr<beast::tcp_stream> take(const std::string &Address,
                                          Duration MaxIdle);
  /// Adds an idle connection to the pool and drops the oldest if it is full.
  void keep(const std::string &Address,
            std::unique_ptr<beast::tcp_stream> Stream);

  asio::io_context &Context;
  const std::size_t MaxBodyBytes;
  const std::size_t MaxBufferedBytes;
  /// Body bytes of all responses that are being read.
  std::size_t BufferedBytes = 0;
  std::unordered_map<std::string, std::deque<IdleConnection>> Idle;
};

std::unique_ptr<beast::tcp_stream>
HttpClient::Impl::take(const std::string &Address, Duration MaxIdle) {
  std::deque<IdleConnection> &Pool = Idle[Address];
  const auto Now = std::chrono::steady_clock::now();
  while (!Pool.empty()) {
    IdleConnection Last = std::move(Pool.back());
    Pool.pop_back();
    if (Now - Last.Since > MaxIdle) {
      // All others have been idle for even longer.
      Pool.clear();
      return nullptr;
    }
    // A connection that the server has closed or written to cannot be reused.
    char Byte = 0;
    beast::error_code Error;
    Last.Stream->socket().non_blocking(true, Error);
    Last.Stream->socket().receive(asio::buffer(&Byte, 1),
                                  tcp::socket::message_peek, Error);
    if (Error == asio::error::would_block)
      return std::move(Last.Stream);
  }
  return nullptr;
}

void HttpClient::Impl::keep(const std::string &Address,
                            std::unique_ptr<beast::tcp_stream> Stream) {
  std::deque<IdleConnection> &Pool = Idle[Address];
  Pool.push_back({std::move(Stream), std::chrono::steady_clock::now()});
  if (Pool.size() > MaxIdleConnections)
    Pool.pop_front();
}

namespace {

/// One call; keeps itself alive until its result is delivered.
class ClientCall : public HttpCallHandle,
                   public std::enable_shared_from_this<ClientCall> {
public:
  ClientCall(std::weak_ptr<HttpClient::Impl> Client, HttpCall Call,
             HttpClient::DoneHook Done)
      : Client(std::move(Client)), Call(std::move(Call)), Done(std::move(Done)),
        Deadline(std::chrono::steady_clock::now() + this->Call.Timeout) {}

  void start();
  void cancel() override;

private:
  void connect(HttpClient::Impl &Pool);
  void exchange();
  void write();
  void onWritten(const beast::error_code &Error);
  void read();
  void onHeader(const beast::error_code &Error);
  void readBody();
  void onBodyPart(const beast::error_code &Error);
  void onRead();
  /// Adds the body bytes read so far to the client's; returns whether they
  /// exceed its limit.
  bool countBytes();
  void releaseBytes();
  void onResponse(HttpResponse Response, bool KeepAlive);
  bool isTooLong() const;
  void finish(HttpResult Result);
  void fail(const beast::error_code &Error, NetError Default);

  std::weak_ptr<HttpClient::Impl> Client;
  HttpCall Call;
  HttpClient::DoneHook Done;
  const std::chrono::steady_clock::time_point Deadline;
  std::unique_ptr<beast::tcp_stream> Stream;
  http::request<http::string_body> Outgoing;
  bool RequestWritten = false;
  beast::flat_buffer Buffer{MaxUnparsedBytes};
  /// Body bytes of the current response that are counted in the client.
  std::size_t CountedBytes = 0;
  unsigned DroppedResponses = 0;
  std::optional<http::response_parser<http::string_body>> Parser;
};

void ClientCall::start() {
  const auto Pool = Client.lock();
  if (Call.MaxIdle > Duration::zero())
    Stream = Pool->take(Call.Address, Call.MaxIdle);
  if (Stream) {
    exchange();
    return;
  }
  connect(*Pool);
}

void ClientCall::connect(HttpClient::Impl &Pool) {
  const auto Endpoint = parseEndpoint(Call.Address);
  Stream = std::make_unique<beast::tcp_stream>(Pool.Context);
  if (!Endpoint) {
    asio::post(Pool.Context, [Self = shared_from_this()] {
      Self->finish(make_error_code(NetError::BadAddress));
    });
    return;
  }
  const bool HasConnectTimeout = Call.ConnectTimeout > Duration::zero();
  Stream->expires_after(HasConnectTimeout
                            ? std::min(Call.ConnectTimeout, Call.Timeout)
                            : Call.Timeout);
  Stream->async_connect(
      *Endpoint, [Self = shared_from_this()](beast::error_code Error) {
        if (!Self->Done)
          return;
        if (Error) {
          Self->finish(make_error_code(NetError::ConnectFailed));
          return;
        }
        setConnectionOptions(Self->Stream->socket());
        Self->exchange();
      });
}

/// Writes and reads at the same time, since a response may arrive before the
/// request is completely written.
void ClientCall::exchange() {
  Stream->expires_at(Deadline);
  write();
  read();
}

void ClientCall::write() {
  Outgoing.version(HttpVersion11);
  Outgoing.method_string(Call.Request.Method);
  Outgoing.target(Call.Request.Target);
  insertFields(Call.Request.Headers, Outgoing);
  if (Outgoing.find(http::field::host) == Outgoing.end())
    Outgoing.set(http::field::host, Call.Address);
  Outgoing.body() = std::move(Call.Request.Body);
  Outgoing.keep_alive(true);
  Outgoing.prepare_payload();
  http::async_write(*Stream, Outgoing,
                    [Self = shared_from_this()](beast::error_code Error,
                                                std::size_t /*Bytes*/) {
                      Self->onWritten(Error);
                    });
}

/// A response may still arrive after a failed write, so only the read
/// determines the result of the call.
void ClientCall::onWritten(const beast::error_code &Error) {
  RequestWritten = !Error;
}

void ClientCall::read() {
  const auto Pool = Client.lock();
  if (!Pool)
    return;
  Parser.emplace();
  Parser->body_limit(Pool->MaxBodyBytes);
  if (Call.Request.Method == "HEAD")
    Parser->skip(true);
  http::async_read_header(*Stream, Buffer, *Parser,
                          [Self = shared_from_this()](beast::error_code Error,
                                                      std::size_t /*Bytes*/) {
                            if (Self->Done)
                              Self->onHeader(Error);
                          });
}

/// Beast 1.74 does not check the declared length of a response against the body
/// limit.
bool ClientCall::isTooLong() const {
  const auto Pool = Client.lock();
  const auto Length = Parser->content_length();
  const bool HasBody = Call.Request.Method != "HEAD";
  return !Pool || (HasBody && Length && *Length > Pool->MaxBodyBytes);
}

void ClientCall::onHeader(const beast::error_code &Error) {
  if (Error) {
    fail(Error, NetError::Broken);
    return;
  }
  if (isTooLong()) {
    finish(make_error_code(NetError::Broken));
    return;
  }
  if (Parser->is_done())
    onRead();
  else
    readBody();
}

void ClientCall::readBody() {
  http::async_read_some(*Stream, Buffer, *Parser,
                        [Self = shared_from_this()](beast::error_code Error,
                                                    std::size_t /*Bytes*/) {
                          if (Self->Done)
                            Self->onBodyPart(Error);
                        });
}

void ClientCall::onBodyPart(const beast::error_code &Error) {
  if (Error) {
    fail(Error, NetError::Broken);
    return;
  }
  if (countBytes()) {
    finish(make_error_code(NetError::Broken));
    return;
  }
  if (Parser->is_done())
    onRead();
  else
    readBody();
}

bool ClientCall::countBytes() {
  const auto Pool = Client.lock();
  if (!Pool)
    return true;
  const std::size_t Size = Parser->get().body().size();
  Pool->BufferedBytes += Size - CountedBytes;
  CountedBytes = Size;
  return Pool->BufferedBytes > Pool->MaxBufferedBytes;
}

void ClientCall::releaseBytes() {
  if (const auto Pool = Client.lock())
    Pool->BufferedBytes -= CountedBytes;
  CountedBytes = 0;
}

void ClientCall::onRead() {
  auto Message = Parser->release();
  // Beast's need_eof() is also true for a response with a length that closes
  // the connection.
  const bool HasLength = Message.has_content_length() || Message.chunked();
  const bool EndsWithConnection =
      Message.need_eof() && !HasLength && Call.Request.Method != "HEAD";
  if (EndsWithConnection && !Call.MayEndWithConnection) {
    finish(make_error_code(NetError::Malformed));
    return;
  }
  const bool KeepAlive = Message.keep_alive() && !EndsWithConnection;
  onResponse(
      {Message.result_int(), copyFields(Message), std::move(Message.body())},
      KeepAlive);
}

void ClientCall::onResponse(HttpResponse Response, bool KeepAlive) {
  // Informational responses precede the answer (RFC 9110, section 15.2).
  const bool Dropped = Response.Status < FirstFinalStatus ||
                       (Call.Accept && !Call.Accept(Response));
  if (Dropped) {
    releaseBytes();
    if (KeepAlive && ++DroppedResponses <= MaxDroppedResponses)
      read();
    else
      finish(make_error_code(NetError::Broken));
    return;
  }
  const auto Pool = Client.lock();
  // Bytes after the response belong to no current call, and the server would
  // take the unwritten rest of the request for the next request.
  const bool Reusable = KeepAlive && RequestWritten && Buffer.size() == 0 &&
                        Pool &&
                        (!Call.AllowsReuse || Call.AllowsReuse(Response));
  if (Reusable) {
    Stream->expires_never();
    Pool->keep(Call.Address, std::move(Stream));
  } else {
    Stream->close();
  }
  finish(std::move(Response));
}

void ClientCall::fail(const beast::error_code &Error, NetError Default) {
  const bool TimedOut = Error == beast::error::timeout;
  finish(make_error_code(TimedOut ? NetError::TimedOut : Default));
}

void ClientCall::finish(HttpResult Result) {
  if (!Done)
    return;
  const HttpClient::DoneHook Hook = std::move(Done);
  Done = nullptr;
  releaseBytes();
  if (Stream && Result.has_error())
    Stream->close();
  Hook(std::move(Result));
}

void ClientCall::cancel() {
  Done = nullptr;
  releaseBytes();
  if (Stream)
    Stream->close();
}

} // namespace

HttpClient::HttpClient(asio::io_context &Context, std::size_t MaxBodyBytes,
                       std::size_t MaxBufferedBytes)
    : Shared(std::make_shared<Impl>(Context, MaxBodyBytes, MaxBufferedBytes)) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCallHandle> HttpClient::call(HttpCall Call, DoneHook Done) {
  auto Started =
      std::make_shared<ClientCall>(Shared, std::move(Call), std::move(Done));
  Started->start();
  return Started;
}

} // namespace mimosacart
