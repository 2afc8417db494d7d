/// \file
/// The connections of an HttpServer.
#pragma once

#include "net/http_server.h"
#include "net/message_reader.h"
#include "net/one_shot_timer.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace mimosacart {

class HttpSession;

/// What the sessions of a server share with it.
struct HttpServerState {
  asio::io_context &Context;
  HttpServerLimits Limits;
  const HttpServer::Handler Handle;
  const HttpServer::RefusalHook Refuse;
  const InvalidMessageHook ReportInvalid;
  const std::shared_ptr<MemoryBudget> Memory;
  /// No connection is accepted, and open ones are closed after their response.
  bool Stopping = false;
  /// Connections are closed after their next response.
  bool Draining = false;
  /// The server is gone, and so may be what its hooks refer to.
  bool Destroyed = false;
  std::unordered_map<std::string, std::size_t> ConnectionsByAddress;
  std::unordered_set<HttpSession *> Sessions;
};

/// Time that a stopping server waits for the first request of a connection that
/// a client has just opened.
constexpr Duration LastRequestWait = std::chrono::milliseconds(300);

/// One connection; keeps itself alive while an operation is outstanding.
class HttpSession : public HttpExchange,
                    public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(std::shared_ptr<HttpServerState> ServerState, tcp::socket Socket,
              std::string RemoteAddress);
  ~HttpSession() override;
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  void start() { waitForRequest(); }
  /// Closes the connection unless a request is in progress, has arrived but is
  /// not read yet, or may follow as the first one of the connection.
  void closeIfIdle();
  void respond(HttpResponse Response) override;
  void onGone(std::function<void()> Hook) override {
    GoneHook = std::move(Hook);
  }
  bool isGone() override { return !AwaitingResponse || hasEnded(); }

private:
  void waitForRequest();
  void closeIfIdleAfter(Duration Wait);
  bool hasUnreadBytes() const;
  /// Whether the client has closed or reset the connection and sent nothing
  /// before that is still to be read.
  bool hasEnded();
  void readRequest();
  void readMore();
  void onReclaim();
  void onRead(const beast::error_code &Error, std::size_t Bytes);
  /// Continues after bytes of the request have been parsed.
  void onParsed(const std::optional<MessageError> &Invalid);
  void onRequest();
  void watchForClose();
  void refuse(const MessageError &Error);
  void reportInvalid(const MessageError &Error) const {
    if (Server->ReportInvalid && !Server->Destroyed)
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

  std::shared_ptr<HttpServerState> Server;
  beast::tcp_stream Stream;
  const std::string RemoteAddress;
  beast::flat_buffer Buffer;
  std::optional<MessageReader<true>> Reader;
  http::response<http::span_body<const char>> Outgoing;
  /// The bytes of the response that is being written.
  Payload OutgoingBody;
  std::function<void()> GoneHook;
  /// Limits waiting for a request and reading it.
  OneShotTimer ReadTimer;
  bool ReadTimedOut = false;
  bool AwaitingRequest = true;
  bool HadRequest = false;
  /// Bytes of a refused request that are still read.
  std::size_t BytesToDiscard = 0;
  bool IsHead = false;
  bool AwaitingResponse = false;
  bool KeepAlive = true;
};

} // namespace mimosacart
