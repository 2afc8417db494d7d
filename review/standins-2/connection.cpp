#include "connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr std::size_t ReadBytes = 64U << 10U;
constexpr int ListenBacklog = 256;

sockaddr_in toSocketAddress(const Endpoint &From) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(From.Port);
  inet_pton(AF_INET, From.Ip.c_str(), &Result.sin_addr);
  return Result;
}

std::string trim(std::string_view Text) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  while (!Text.empty() && Text.back() == ' ')
    Text.remove_suffix(1);
  return std::string(Text);
}

void parseFirstLine(std::string_view Line, MessageHead &Head) {
  const std::size_t One = std::min(Line.find(' '), Line.size());
  Head.First = Line.substr(0, One);
  Line.remove_prefix(std::min(One + 1, Line.size()));
  const std::size_t Two = std::min(Line.find(' '), Line.size());
  Head.Second = Line.substr(0, Two);
  Line.remove_prefix(std::min(Two + 1, Line.size()));
  Head.Third = Line;
}

void parseField(std::string_view Line, MessageHead &Head) {
  const std::size_t Colon = Line.find(':');
  if (Colon == Line.npos)
    return;
  std::string Name(Line.substr(0, Colon));
  std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  Head.Fields[Name] = trim(Line.substr(Colon + 1));
}

} // namespace

std::string MessageHead::field(const std::string &Name) const {
  const auto Found = Fields.find(Name);
  return Found == Fields.end() ? std::string() : Found->second;
}

std::size_t MessageHead::contentLength() const {
  const std::string Text = field("content-length");
  return Text.empty() ? 0 : std::stoul(Text);
}

Connection::~Connection() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

Connection::Connection(Connection &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)),
      Buffer(std::move(Other.Buffer)) {}

Connection &Connection::operator=(Connection &&Other) noexcept {
  std::swap(Descriptor, Other.Descriptor);
  std::swap(Buffer, Other.Buffer);
  return *this;
}

std::optional<Connection> Connection::open(const Endpoint &Target,
                                           int ReceiveBytes) {
  Connection Result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (ReceiveBytes > 0)
    ::setsockopt(Result.Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof ReceiveBytes);
  const sockaddr_in Address = toSocketAddress(Target);
  if (::connect(Result.Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0)
    return std::nullopt;
  return Result;
}

bool Connection::writeAll(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Written =
        ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Written <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return true;
}

bool Connection::fill() {
  std::array<char, ReadBytes> Block{};
  const ssize_t Read = ::recv(Descriptor, Block.data(), Block.size(), 0);
  if (Read <= 0)
    return false;
  Buffer.append(Block.data(), static_cast<std::size_t>(Read));
  return true;
}

bool Connection::readHead(MessageHead &Head) {
  constexpr std::string_view End = "\r\n\r\n";
  std::size_t Length = Buffer.find(End);
  while (Length == Buffer.npos) {
    if (!fill())
      return false;
    Length = Buffer.find(End);
  }
  std::string_view Rest = std::string_view(Buffer).substr(0, Length);
  Head = {};
  for (bool IsFirst = true; !Rest.empty(); IsFirst = false) {
    const std::size_t LineEnd = std::min(Rest.find("\r\n"), Rest.size());
    if (IsFirst)
      parseFirstLine(Rest.substr(0, LineEnd), Head);
    else
      parseField(Rest.substr(0, LineEnd), Head);
    Rest.remove_prefix(std::min(LineEnd + 2, Rest.size()));
  }
  Buffer.erase(0, Length + End.size());
  return true;
}

std::size_t Connection::readSome(std::size_t MaxBytes) {
  if (Buffer.empty() && !fill())
    return 0;
  const std::size_t Taken = std::min(MaxBytes, Buffer.size());
  Buffer.erase(0, Taken);
  return Taken;
}

bool Connection::skip(std::size_t Bytes) {
  while (Bytes > 0) {
    const std::size_t Read = readSome(Bytes);
    if (Read == 0)
      return false;
    Bytes -= Read;
  }
  return true;
}

bool Connection::readBody(std::size_t Bytes, std::string &Body) {
  while (Buffer.size() < Bytes)
    if (!fill())
      return false;
  Body = Buffer.substr(0, Bytes);
  Buffer.erase(0, Bytes);
  return true;
}

bool serveConnections(const Endpoint &Local,
                      std::function<void(Connection &)> Serve) {
  const int Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in Address = toSocketAddress(Local);
  if (::bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Listener, ListenBacklog) != 0) {
    ::close(Listener);
    return false;
  }
  std::thread([Listener, Serve = std::move(Serve)] {
    while (true) {
      const int Accepted = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        continue;
      const int NoDelay = 1;
      ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &NoDelay,
                   sizeof NoDelay);
      std::thread([Accepted, Serve] {
        Connection Own(Accepted);
        Serve(Own);
      }).detach();
    }
  }).detach();
  return true;
}

} // namespace review
