#include "net/asio.h"

#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace mimosacart {

namespace {

/// A connection whose peer vanished is closed after about
/// KeepAliveIdleSeconds + KeepAliveProbes * KeepAliveIntervalSeconds.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;
/// A connection is closed if sent data stays unacknowledged for this long.
constexpr unsigned UnacknowledgedLimitMs = 4000;

} // namespace

void setConnectionOptions(tcp::socket &Socket) {
  using KeepIdle =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using KeepInterval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using KeepCount =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  // Errors are ignored: if the socket has failed, its first use reports it.
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(KeepIdle(KeepAliveIdleSeconds), Ignored);
  Socket.set_option(KeepInterval(KeepAliveIntervalSeconds), Ignored);
  Socket.set_option(KeepCount(KeepAliveProbes), Ignored);
  Socket.set_option(UserTimeout(UnacknowledgedLimitMs), Ignored);
}

bool openFrom(tcp::socket &Socket, const std::string &Source) {
  // The port is chosen on connecting, so that one port serves many connections
  // to different addresses.
  using NoPortOnBind =
      asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
  boost::system::error_code Error;
  const auto Ip = asio::ip::make_address(Source, Error);
  const tcp::endpoint Endpoint(Ip, 0);
  if (!Error)
    Socket.open(Endpoint.protocol(), Error);
  if (!Error)
    Socket.set_option(NoPortOnBind(true), Error);
  if (!Error)
    Socket.bind(Endpoint, Error);
  return !Error;
}

std::optional<tcp::endpoint> parseEndpoint(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  const auto Parsed = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Ip = asio::ip::make_address(Host, Error);
  if (Error)
    return std::nullopt;
  return tcp::endpoint(Ip, Port);
}

bool listenOn(tcp::acceptor &Acceptor, const std::string &Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return false;
  boost::system::error_code Error;
  Acceptor.open(Endpoint->protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(*Endpoint, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (!Error)
    return true;
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  return false;
}

} // namespace mimosacart
