/// \file
/// A loopback proxy that harms the connections through it.
#pragma once

#include "net/asio.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosacart {

/// What a proxy does to the bytes that pass.
enum class LinkFault : std::uint8_t {
  None,
  /// Bytes arrive late.
  Delay,
  /// Open connections and new ones are reset.
  Reset,
  /// Nothing comes back from the far end.
  OneWay,
  /// Nothing passes in either direction; connections stay open.
  Silence,
};

/// Word used for \p Value in reports.
const char *toString(LinkFault Value);

/// Passes connections from one address on to another.
class FaultProxy {
public:
  FaultProxy(asio::io_context &Context, std::string Target);

  /// Binds to \p Address; false if it is taken.
  bool listen(const std::string &Address);
  /// Applies to open connections as well as new ones. Bytes that a silence
  /// held back are lost; their connections stay silent afterwards.
  void setFault(LinkFault Next);

private:
  class Pair;

  void accept();

  asio::io_context &Context;
  const std::string Target;
  tcp::acceptor Acceptor;
  LinkFault Fault = LinkFault::None;
  std::vector<std::weak_ptr<Pair>> Pairs;
};

} // namespace mimosacart
