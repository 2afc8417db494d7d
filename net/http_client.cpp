#include "net/http_client.h"

#include "net/message_reader.h"

#include <algorithm>
#include <deque>
#include <map>

namespace mimosacart {

namespace {

constexpr unsigned HttpVersion11 = 11;
/// Maximum number of idle connections kept per address.
constexpr std::size_t MaxIdleConnections = 64;
/// Limit on the header of a response.
constexpr std::size_t MaxHeaderBytes = 8U << 10U;
/// Maximum number of responses that a call drops because they belong to others.
constexpr unsigned MaxDroppedResponses = 16;
constexpr unsigned FirstFinalStatus = 200;
/// Maximum number of identities that a connection remembers; one that would
/// have to remember more is closed.
constexpr std::size_t MaxBarredIdentities = 256;

/// A connection to a server; carries one call at a time.
struct ClientConnection {
  std::unique_ptr<beast::tcp_stream> Stream;
  ConnectionUse Use;
  /// Hashes of the identities whose calls it must not carry.
  std::vector<std::size_t> BarredIdentities;

  bool mayCarry(const HttpCall &Call) const {
    return std::find(BarredIdentities.begin(), BarredIdentities.end(),
                     hashIdentity(Call)) == BarredIdentities.end();
  }
  static std::size_t hashIdentity(const HttpCall &Call) {
    return std::hash<std::string>()(Call.Identity);
  }
};

/// Whether the server has neither closed nor written to an idle connection.
bool isUsable(const ClientConnection &Connection) {
  char Byte = 0;
  beast::error_code Error;
  tcp::socket &Socket = Connection.Stream->socket();
  Socket.non_blocking(true, Error);
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
  return Error == asio::error::would_block;
}

struct IdleConnection {
  ClientConnection Connection;
  std::chrono::steady_clock::time_point Since;
};

} // namespace

class HttpClient::Impl {
public:
  Impl(asio::io_context &Context, std::size_t MaxBodyBytes,
       std::shared_ptr<MemoryBudget> Memory, InvalidMessageHook ReportInvalid,
       std::string Source)
      : Context(Context), MaxBodyBytes(MaxBodyBytes), Memory(std::move(Memory)),
        ReportInvalid(std::move(ReportInvalid)), Source(std::move(Source)) {}

  /// Takes the most recently used connection that is still open, was not idle
  /// for too long and may carry \p Call; nothing if there is none.
  std::optional<ClientConnection> take(const HttpCall &Call);
  /// Adds an idle connection to the pool of \p Call and drops the oldest if it
  /// is full.
  void keep(const HttpCall &Call, ClientConnection Connection);
  /// A connection that is not open yet.
  ClientConnection makeConnection();

  asio::io_context &Context;
  const std::size_t MaxBodyBytes;
  const std::shared_ptr<MemoryBudget> Memory;
  const InvalidMessageHook ReportInvalid;
  const std::string Source;
  /// The idle connections of each address and channel.
  std::map<std::pair<std::string, std::string>, std::deque<IdleConnection>>
      Idle;
  std::uint64_t LastConnection = 0;
};

std::optional<ClientConnection> HttpClient::Impl::take(const HttpCall &Call) {
  std::deque<IdleConnection> &Pool = Idle[{Call.Address, Call.Channel}];
  const auto Now = std::chrono::steady_clock::now();
  auto Next = Pool.end();
  while (Next != Pool.begin()) {
    --Next;
    if (Now - Next->Since > Call.MaxIdle) {
      // All before it have been idle for even longer.
      Pool.erase(Pool.begin(), Next + 1);
      return std::nullopt;
    }
    if (!Next->Connection.mayCarry(Call))
      continue;
    ClientConnection Taken = std::move(Next->Connection);
    Next = Pool.erase(Next);
    if (isUsable(Taken))
      return Taken;
  }
  return std::nullopt;
}

void HttpClient::Impl::keep(const HttpCall &Call, ClientConnection Connection) {
  std::deque<IdleConnection> &Pool = Idle[{Call.Address, Call.Channel}];
  Pool.push_back({std::move(Connection), std::chrono::steady_clock::now()});
  if (Pool.size() > (Call.Channel.empty() ? MaxIdleConnections : 1))
    Pool.pop_front();
}

ClientConnection HttpClient::Impl::makeConnection() {
  return {
      std::make_unique<beast::tcp_stream>(Context), {++LastConnection, 0}, {}};
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
  /// Makes the message for write(). Throws if the request cannot be written.
  void makeOutgoing();
  void write();
  void onWritten(const beast::error_code &Error);
  void startResponse();
  void readMore();
  void onReclaim();
  void onRead(const beast::error_code &Error, std::size_t Bytes);
  void onEnd();
  /// Continues after bytes of the response have been parsed.
  void onParsed(const std::optional<MessageError> &Invalid);
  void onComplete();
  void onResponse(HttpResponse Response, bool KeepAlive);
  /// Keeps further calls with this identity off the connection if \p Response
  /// makes them possible. Returns whether the connection may carry others.
  bool barIdentity(const HttpResponse &Response);
  void finish(HttpResult Result);
  /// Reports an invalid message and ends the call as soon as its handle has
  /// been returned.
  void fail(const MessageError &Error);
  beast::tcp_stream &stream() { return *Connection->Stream; }
  /// Sets whether closing the connection resets it, so that the system drops
  /// the bytes that have not reached the server. Otherwise they may arrive long
  /// after the call has been given up, when a broken link is back.
  void setResetOnClose(bool Resets);

  std::weak_ptr<HttpClient::Impl> Client;
  HttpCall Call;
  HttpClient::DoneHook Done;
  const std::chrono::steady_clock::time_point Deadline;
  std::optional<ClientConnection> Connection;
  http::request<http::span_body<const char>> Outgoing;
  bool RequestWritten = false;
  beast::flat_buffer Buffer;
  unsigned DroppedResponses = 0;
  std::optional<MessageReader<false>> Reader;
};

void ClientCall::start() {
  const auto Pool = Client.lock();
  if (Call.MaxIdle > Duration::zero())
    Connection = Pool->take(Call);
  if (Connection) {
    exchange();
    return;
  }
  connect(*Pool);
}

void ClientCall::connect(HttpClient::Impl &Pool) {
  const auto Endpoint = parseEndpoint(Call.Address);
  Connection = Pool.makeConnection();
  const bool IsOpen =
      Pool.Source.empty() || openFrom(stream().socket(), Pool.Source);
  if (!Endpoint || !IsOpen) {
    const NetError Reason =
        Endpoint ? NetError::ConnectFailed : NetError::BadAddress;
    asio::post(Pool.Context, [Self = shared_from_this(), Reason] {
      Self->finish(make_error_code(Reason));
    });
    return;
  }
  const bool HasConnectTimeout = Call.ConnectTimeout > Duration::zero();
  stream().expires_after(HasConnectTimeout
                             ? std::min(Call.ConnectTimeout, Call.Timeout)
                             : Call.Timeout);
  stream().async_connect(
      *Endpoint, [Self = shared_from_this()](beast::error_code Error) {
        if (!Self->Done)
          return;
        if (Error) {
          Self->finish(make_error_code(NetError::ConnectFailed));
          return;
        }
        setConnectionOptions(Self->stream().socket());
        Self->exchange();
      });
}

/// Writes and reads at the same time, since a response may arrive before the
/// request is completely written.
void ClientCall::exchange() {
  stream().expires_at(Deadline);
  setResetOnClose(true);
  try {
    makeOutgoing();
  } catch (const std::exception &Thrown) {
    fail({NetError::Malformed, Thrown.what()});
    return;
  }
  write();
  startResponse();
}

void ClientCall::setResetOnClose(bool Resets) {
  // Errors are ignored: if the socket has failed, its next use reports it.
  boost::system::error_code Ignored;
  stream().socket().set_option(asio::socket_base::linger(Resets, 0), Ignored);
}

void ClientCall::makeOutgoing() {
  Outgoing.version(HttpVersion11);
  Outgoing.method_string(Call.Request.Method);
  Outgoing.target(Call.Request.Target);
  insertFields(Call.Request.Headers, Outgoing);
  if (Outgoing.find(http::field::host) == Outgoing.end())
    Outgoing.set(http::field::host, Call.Address);
  const std::string &Bytes = Call.Request.Body;
  Outgoing.body() = {Bytes.data(), Bytes.size()};
  Outgoing.keep_alive(true);
  Outgoing.prepare_payload();
}

void ClientCall::write() {
  http::async_write(stream(), Outgoing,
                    [Self = shared_from_this()](beast::error_code Error,
                                                std::size_t /*Bytes*/) {
                      Self->onWritten(Error);
                    });
}

/// A response with a length may still arrive whole after a failed write.
void ClientCall::onWritten(const beast::error_code &Error) {
  RequestWritten = !Error;
}

void ClientCall::startResponse() {
  const auto Pool = Client.lock();
  if (!Pool)
    return;
  Reader.emplace(
      Buffer, MessageLimits{MaxHeaderBytes, Pool->MaxBodyBytes, Pool->Memory},
      Call.Request.Method == "HEAD");
  Reader->onReclaim([this] { onReclaim(); });
  if (Buffer.size() > 0)
    onParsed(Reader->parse(0));
  else
    readMore();
}

void ClientCall::readMore() {
  stream().async_read_some(
      Reader->prepare(),
      [Self = shared_from_this()](beast::error_code Error, std::size_t Bytes) {
        if (Self->Done)
          Self->onRead(Error, Bytes);
      });
}

/// Ends the response for a shorter one; the read in progress then ends.
void ClientCall::onReclaim() {
  Reader.reset();
  stream().close();
}

void ClientCall::onRead(const beast::error_code &Error, std::size_t Bytes) {
  if (!Reader)
    fail({NetError::NoMemory, "a shorter response needs the memory"});
  else if (Error == asio::error::eof)
    onEnd();
  else if (Error == beast::error::timeout)
    finish(make_error_code(NetError::TimedOut));
  else if (Error)
    finish(make_error_code(NetError::Broken));
  else
    onParsed(Reader->parse(Bytes));
}

/// The end of the connection ends a response without a length only if all of
/// the request had been written before. The system reports a reset once: if the
/// write gets it, the read sees an end as after an orderly close.
void ClientCall::onEnd() {
  if (RequestWritten)
    onParsed(Reader->parseEnd());
  else
    fail({NetError::Malformed,
          "the connection ended while the request was being written"});
}

void ClientCall::onParsed(const std::optional<MessageError> &Invalid) {
  if (Invalid)
    fail(*Invalid);
  else if (Reader->isDone())
    onComplete();
  else
    readMore();
}

void ClientCall::onComplete() {
  const auto &Message = Reader->message();
  // Beast's need_eof() is also true for a response with a length that closes
  // the connection.
  const bool HasLength = Message.has_content_length() || Message.chunked();
  // An informational response has no body, whatever its status.
  const bool HasNoBody =
      Call.Request.Method == "HEAD" || Message.result_int() < FirstFinalStatus;
  const bool EndsWithConnection =
      Message.need_eof() && !HasLength && !HasNoBody;
  if (EndsWithConnection && !Call.MayEndWithConnection) {
    finish(make_error_code(NetError::Malformed));
    return;
  }
  const bool KeepAlive = Reader->keepAlive() && !EndsWithConnection;
  onResponse({Message.result_int(), Reader->takeFields(), Reader->takeBody(),
              Connection->Use},
             KeepAlive);
}

void ClientCall::onResponse(HttpResponse Response, bool KeepAlive) {
  // Informational responses precede the answer (RFC 9110, section 15.2).
  const bool Dropped = Response.Status < FirstFinalStatus ||
                       (Call.Accept && !Call.Accept(Response));
  if (Dropped) {
    if (KeepAlive && ++DroppedResponses <= MaxDroppedResponses)
      startResponse();
    else
      finish(make_error_code(NetError::Broken));
    return;
  }
  setResetOnClose(false);
  const auto Pool = Client.lock();
  // Bytes after the response belong to no current call, and the server would
  // take the unwritten rest of the request for the next request.
  const bool Reusable = KeepAlive && RequestWritten && Buffer.size() == 0 &&
                        Pool &&
                        (!Call.AllowsReuse || Call.AllowsReuse(Response)) &&
                        barIdentity(Response);
  if (Reusable) {
    stream().expires_never();
    ++Connection->Use.EarlierCalls;
    Pool->keep(Call, std::move(*Connection));
    Connection.reset();
  } else {
    stream().close();
  }
  finish(std::move(Response));
}

bool ClientCall::barIdentity(const HttpResponse &Response) {
  if (!Call.MayBeSentAgain || !Call.MayBeSentAgain(Response))
    return true;
  std::vector<std::size_t> &Barred = Connection->BarredIdentities;
  Barred.push_back(ClientConnection::hashIdentity(Call));
  return Barred.size() <= MaxBarredIdentities;
}

void ClientCall::fail(const MessageError &Error) {
  const auto Pool = Client.lock();
  if (!Pool)
    return;
  if (Pool->ReportInvalid && Error.Kind != NetError::Broken)
    Pool->ReportInvalid(Call.Address, Error);
  asio::post(Pool->Context, [Self = shared_from_this()] {
    Self->finish(make_error_code(NetError::Broken));
  });
}

void ClientCall::finish(HttpResult Result) {
  if (!Done)
    return;
  const HttpClient::DoneHook Hook = std::move(Done);
  Done = nullptr;
  Reader.reset();
  if (Connection && Result.has_error())
    stream().close();
  Hook(std::move(Result));
}

void ClientCall::cancel() {
  Done = nullptr;
  Reader.reset();
  if (Connection)
    stream().close();
}

} // namespace

HttpClient::HttpClient(asio::io_context &Context, std::size_t MaxBodyBytes,
                       std::shared_ptr<MemoryBudget> Memory,
                       InvalidMessageHook ReportInvalid, std::string Source)
    : Shared(std::make_shared<Impl>(Context, MaxBodyBytes, std::move(Memory),
                                    std::move(ReportInvalid),
                                    std::move(Source))) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCallHandle> HttpClient::call(HttpCall Call, DoneHook Done) {
  auto Started =
      std::make_shared<ClientCall>(Shared, std::move(Call), std::move(Done));
  Started->start();
  return Started;
}

} // namespace mimosacart
