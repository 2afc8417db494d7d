#include "http.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t ReadBytes = 65536;
constexpr int AcceptPollMs = 50;
constexpr int Backlog = 512;

bool parseAddress(const std::string &Address, sockaddr_in &Result) {
  const std::size_t Colon = Address.find(':');
  if (Colon == std::string::npos)
    return false;
  Result = {};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(
      std::strtoul(Address.c_str() + Colon + 1, nullptr, 10)));
  return inet_pton(AF_INET, Address.substr(0, Colon).c_str(),
                   &Result.sin_addr) == 1;
}

void disableDelay(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

std::string word(const std::string &Line, unsigned Index) {
  std::size_t Start = 0;
  for (; Index > 0; --Index) {
    Start = Line.find(' ', Start);
    if (Start == std::string::npos)
      return "";
    ++Start;
  }
  return Line.substr(Start, Line.find(' ', Start) - Start);
}

} // namespace

std::string HttpMessage::field(std::string_view Name) const {
  for (const auto &[Key, Value] : Headers)
    if (Key.size() == Name.size() &&
        strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
      return Value;
  return "";
}

std::string HttpMessage::method() const { return word(StartLine, 0); }

std::string HttpMessage::target() const { return word(StartLine, 1); }

unsigned HttpMessage::status() const {
  return static_cast<unsigned>(
      std::strtoul(word(StartLine, 1).c_str(), nullptr, 10));
}

const char *toString(ReadEnd Value) {
  switch (Value) {
  case ReadEnd::Complete:
    return "complete";
  case ReadEnd::Closed:
    return "closed";
  case ReadEnd::Truncated:
    return "truncated";
  case ReadEnd::Reset:
    return "reset";
  case ReadEnd::TimedOut:
    return "timed-out";
  case ReadEnd::Malformed:
    return "malformed";
  }
  return "unknown";
}

Connection::Connection(int Socket) : Socket(Socket) {
  if (Socket >= 0)
    disableDelay(Socket);
}

Connection::~Connection() {
  if (Socket >= 0)
    ::close(Socket);
}

std::unique_ptr<Connection> Connection::open(const std::string &Address) {
  sockaddr_in Peer{};
  if (!parseAddress(Address, Peer))
    return std::make_unique<Connection>(-1);
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Peer), sizeof(Peer)) == 0)
    return std::make_unique<Connection>(Socket);
  ::close(Socket);
  return std::make_unique<Connection>(-1);
}

bool Connection::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

void Connection::shutdown() const { ::shutdown(Socket, SHUT_RDWR); }

ReadEnd Connection::fill(int TimeoutMs) {
  pollfd Input{Socket, POLLIN, 0};
  const int Ready = poll(&Input, 1, TimeoutMs);
  if (Ready == 0)
    return ReadEnd::TimedOut;
  const std::size_t Size = Buffer.size();
  Buffer.resize(Size + ReadBytes);
  const ssize_t Received = recv(Socket, Buffer.data() + Size, ReadBytes, 0);
  Buffer.resize(Size + (Received > 0 ? static_cast<std::size_t>(Received) : 0));
  if (Received > 0)
    return ReadEnd::Complete;
  return Received == 0 ? ReadEnd::Closed : ReadEnd::Reset;
}

ReadEnd Connection::readLine(std::string &Line, int TimeoutMs) {
  std::size_t End = Buffer.find("\r\n");
  while (End == std::string::npos) {
    const ReadEnd Result = fill(TimeoutMs);
    if (Result != ReadEnd::Complete)
      return Result;
    End = Buffer.find("\r\n");
  }
  Line = Buffer.substr(0, End);
  Buffer.erase(0, End + 2);
  return ReadEnd::Complete;
}

ReadEnd Connection::readLength(HttpMessage &Message, std::size_t Length,
                               int TimeoutMs) {
  while (Buffer.size() < Length) {
    const ReadEnd Result = fill(TimeoutMs);
    if (Result != ReadEnd::Complete)
      return Result;
  }
  Message.Body += Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return ReadEnd::Complete;
}

ReadEnd Connection::readChunks(HttpMessage &Message, int TimeoutMs) {
  constexpr int Hexadecimal = 16;
  std::string Line;
  while (true) {
    ReadEnd Result = readLine(Line, TimeoutMs);
    if (Result != ReadEnd::Complete)
      return Result;
    const std::size_t Length = std::strtoul(Line.c_str(), nullptr, Hexadecimal);
    Result = readLength(Message, Length, TimeoutMs);
    if (Result == ReadEnd::Complete)
      Result = readLine(Line, TimeoutMs);
    if (Result != ReadEnd::Complete || Length == 0)
      return Result;
  }
}

ReadEnd Connection::read(HttpMessage &Message, bool IsResponse, int TimeoutMs) {
  Message = {};
  const bool AnyBytes = !Buffer.empty();
  ReadEnd Result = readLine(Message.StartLine, TimeoutMs);
  if (Result != ReadEnd::Complete)
    return Result == ReadEnd::Closed && (AnyBytes || !Buffer.empty())
               ? ReadEnd::Truncated
               : Result;
  std::string Line;
  while (true) {
    Result = readLine(Line, TimeoutMs);
    if (Result == ReadEnd::Closed)
      return ReadEnd::Truncated;
    if (Result != ReadEnd::Complete)
      return Result;
    if (Line.empty())
      break;
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return ReadEnd::Malformed;
    const std::size_t Start = Line.find_first_not_of(" \t", Colon + 1);
    Message.Headers.emplace_back(
        Line.substr(0, Colon),
        Start == std::string::npos ? "" : Line.substr(Start));
  }
  const std::string Length = Message.field("Content-Length");
  if (Message.field("Transfer-Encoding") == "chunked")
    Result = readChunks(Message, TimeoutMs);
  else if (!Length.empty())
    Result = readLength(Message, std::strtoul(Length.c_str(), nullptr, 10),
                        TimeoutMs);
  else if (IsResponse && Message.status() >= 200 && Message.status() != 204) {
    while (Result == ReadEnd::Complete)
      Result = fill(TimeoutMs);
    Message.Body = std::exchange(Buffer, "");
    return Result == ReadEnd::Closed ? ReadEnd::Complete : Result;
  }
  return Result == ReadEnd::Closed ? ReadEnd::Truncated : Result;
}

Listener::Listener(const std::string &Address, ServeHook Serve)
    : Serve(std::move(Serve)) {
  sockaddr_in Own{};
  if (!parseAddress(Address, Own))
    return;
  const int Opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Opened, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (bind(Opened, reinterpret_cast<sockaddr *>(&Own), sizeof(Own)) != 0 ||
      listen(Opened, Backlog) != 0) {
    ::close(Opened);
    return;
  }
  Socket = Opened;
  Acceptor = std::thread([this] { accept(); });
}

Listener::~Listener() {
  Stopped = true;
  if (Acceptor.joinable())
    Acceptor.join();
  if (Socket >= 0)
    ::close(Socket);
  while (Running > 0) {
    {
      const std::lock_guard Guard(Lock);
      for (const Connection *Each : Open)
        Each->shutdown();
    }
    usleep(1000);
  }
}

void Listener::accept() {
  while (!Stopped) {
    pollfd Input{Socket, POLLIN, 0};
    if (poll(&Input, 1, AcceptPollMs) <= 0)
      continue;
    const int Accepted = accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      continue;
    ++Running;
    std::thread([this, Accepted] {
      {
        Connection Client(Accepted);
        {
          const std::lock_guard Guard(Lock);
          Open.insert(&Client);
        }
        if (!Stopped)
          Serve(Client);
        const std::lock_guard Guard(Lock);
        Open.erase(&Client);
      }
      --Running;
    }).detach();
  }
}

std::string formatMessage(const std::string &StartLine, const Fields &Headers,
                          const std::string &Body) {
  std::string Result = StartLine + "\r\n";
  for (const auto &[Key, Value] : Headers)
    Result.append(Key).append(": ").append(Value).append("\r\n");
  Result += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return Result + Body;
}

} // namespace review
