/// \file
/// Blocking TCP connections and HTTP/1.1 message heads of the stand-ins.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

/// An IPv4 address and a port.
struct Endpoint {
  std::string Ip;
  unsigned short Port = 0;

  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

/// The head of a request or a response.
struct MessageHead {
  /// The first line, split at its first two blanks.
  std::string First;
  std::string Second;
  std::string Third;
  /// Names are in lower case.
  std::map<std::string, std::string> Fields;

  std::string field(const std::string &Name) const;
  std::size_t contentLength() const;
};

/// Owns a connected socket. Every call blocks.
class Connection {
public:
  explicit Connection(int Descriptor) : Descriptor(Descriptor) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  Connection(Connection &&Other) noexcept;
  Connection &operator=(Connection &&Other) noexcept;

  /// Connects to \p Target. \p ReceiveBytes sets the size of the receive
  /// buffer; zero leaves it to the system.
  static std::optional<Connection> open(const Endpoint &Target,
                                        int ReceiveBytes);

  /// Each returns false at the end of the connection.
  bool writeAll(std::string_view Bytes);
  bool readHead(MessageHead &Head);
  bool skip(std::size_t Bytes);
  /// Reads at most \p MaxBytes of a body; zero at the end of the connection.
  std::size_t readSome(std::size_t MaxBytes);
  bool readBody(std::size_t Bytes, std::string &Body);

private:
  bool fill();

  int Descriptor;
  std::string Buffer;
};

/// Accepts connections on \p Local for as long as the process runs; \p Serve
/// runs on a thread of its own for each. Returns false if the address cannot be
/// used.
bool serveConnections(const Endpoint &Local,
                      std::function<void(Connection &)> Serve);

} // namespace review
