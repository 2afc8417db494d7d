/// \file
/// Blocking HTTP/1.1 over loopback sockets for the stand-ins of the review.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A request or a response.
struct HttpMessage {
  /// Request line or status line.
  std::string StartLine;
  Fields Headers;
  std::string Body;

  /// Value of the first header \p Name; empty if there is none.
  std::string field(std::string_view Name) const;
  std::string method() const;
  std::string target() const;
  unsigned status() const;
};

/// How reading a message ended.
enum class ReadEnd {
  Complete,
  /// The peer closed the connection before the first byte.
  Closed,
  /// The peer closed the connection within the message.
  Truncated,
  Reset,
  TimedOut,
  Malformed,
};

const char *toString(ReadEnd Value);

/// One TCP connection.
class Connection {
public:
  /// Takes over an open socket; -1 means that there is no connection.
  explicit Connection(int Socket);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Connects to `ip:port`.
  static std::unique_ptr<Connection> open(const std::string &Address);

  bool isOpen() const { return Socket >= 0; }
  bool send(std::string_view Bytes) const;
  /// Reads the next message. A response without a length ends with the
  /// connection.
  ReadEnd read(HttpMessage &Message, bool IsResponse, int TimeoutMs);
  /// Ends pending reads of another thread.
  void shutdown() const;

private:
  ReadEnd fill(int TimeoutMs);
  ReadEnd readLength(HttpMessage &Message, std::size_t Length, int TimeoutMs);
  ReadEnd readChunks(HttpMessage &Message, int TimeoutMs);
  ReadEnd readLine(std::string &Line, int TimeoutMs);

  int Socket;
  std::string Buffer;
};

/// Accepts connections and serves each on a thread of its own.
class Listener {
public:
  using ServeHook = std::function<void(Connection &)>;

  Listener(const std::string &Address, ServeHook Serve);
  /// Closes all connections and waits for their threads.
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  bool isListening() const { return Socket >= 0; }

private:
  void accept();

  int Socket = -1;
  const ServeHook Serve;
  std::atomic<bool> Stopped = false;
  std::mutex Lock;
  std::set<Connection *> Open;
  std::atomic<unsigned> Running = 0;
  std::thread Acceptor;
};

/// Formats a message with a Content-Length.
std::string formatMessage(const std::string &StartLine, const Fields &Headers,
                          const std::string &Body);

} // namespace review
