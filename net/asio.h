/// \file
/// The Asio and Beast headers that this folder's sources share; precompiled.
#pragma once

#include <utility> // Asio 1.74 forgets it in its coroutine header.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/http_message.h"

#include <optional>
#include <string>

namespace mimosacart {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp; // NOLINT: the library's spelling.

/// Reads `ip:port`; nothing if \p Address is anything else.
std::optional<tcp::endpoint> parseEndpoint(const std::string &Address);

/// Sets what every connection of ours needs: no delay of small writes, and an
/// end of connections that went silent.
void setConnectionOptions(tcp::socket &Socket);

/// Copies the fields of a Beast message.
template <typename Fields>
std::vector<HeaderField> copyFields(const Fields &From) {
  std::vector<HeaderField> Result;
  for (const auto &Field : From)
    Result.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Result;
}

/// Copies fields into a Beast message, leaving out those of one connection.
template <typename Message>
void insertFields(const std::vector<HeaderField> &From, Message &To) {
  for (const HeaderField &Field : From)
    if (!isHopByHop(Field.Name))
      To.insert(Field.Name, Field.Value);
}

} // namespace mimosacart
