/// \file
/// The Asio and Beast headers used by net/, precompiled, and helpers for them.
#pragma once

#include <utility> // Missing from the coroutine header of Asio 1.74.

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

/// Parses `ip:port`; no value if \p Address has any other form.
std::optional<tcp::endpoint> parseEndpoint(const std::string &Address);

/// Opens \p Acceptor and listens on \p Address. Returns false if that fails;
/// the acceptor is then closed, so that another address can be tried.
bool listenOn(tcp::acceptor &Acceptor, const std::string &Address);

/// Opens \p Socket and lets its connection come from the IP address \p Source,
/// with a port that the system chooses. Returns false if that fails.
bool openFrom(tcp::socket &Socket, const std::string &Source);

/// Sets the options for all connections: small writes are sent without delay,
/// and a connection whose peer no longer responds is closed.
void setConnectionOptions(tcp::socket &Socket);

/// Copies the header fields of a Beast message.
template <typename Fields>
std::vector<HeaderField> copyFields(const Fields &Source) {
  std::vector<HeaderField> Result;
  for (const auto &Field : Source)
    Result.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Result;
}

/// Copies header fields into a Beast message, except those that isHopByHop()
/// excludes.
template <typename Message>
void insertFields(const std::vector<HeaderField> &Source, Message &Target) {
  for (const HeaderField &Field : Source)
    if (!isHopByHop(Field.Name))
      Target.insert(Field.Name, Field.Value);
}

} // namespace mimosacart
