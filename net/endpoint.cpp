#include "net/asio.h"

#include <charconv>

namespace mimosacart {

std::optional<tcp::endpoint> parseEndpoint(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  const auto Read = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Ip = asio::ip::make_address(Host, Error);
  if (Error)
    return std::nullopt;
  return tcp::endpoint(Ip, Port);
}

} // namespace mimosacart
