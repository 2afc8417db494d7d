/// \file
/// A loopback TCP proxy that injects faults into the connections through it.
#pragma once

#include "net/asio.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacart {

/// Fault that a proxy injects into its connections.
enum class LinkFault : std::uint8_t {
  /// Bytes are forwarded unchanged.
  None,
  /// Bytes are forwarded with a delay.
  Delay,
  /// Open connections and new ones are reset.
  Reset,
  /// Bytes from the target are dropped; bytes to it are forwarded.
  OneWay,
  /// Bytes are dropped in both directions; connections stay open.
  Silence,
};

/// Name of \p Value in the soak's output.
const char *toString(LinkFault Value);

/// Accepts connections on one address and forwards them to a target address.
class FaultProxy {
public:
  using CopyHook = std::function<std::optional<std::chrono::milliseconds>(
      std::string_view Block)>;

  /// \p Target is the address, with port, that connections are forwarded to.
  FaultProxy(asio::io_context &Context, std::string Target);

  /// Binds to \p Address; false if that fails.
  bool listen(const std::string &Address);
  /// Sets the fault for open and new connections. A connection that has been
  /// set to OneWay or Silence may have lost bytes, so it keeps its fault when
  /// \p NewFault is None.
  void setFault(LinkFault NewFault);
  /// Holds all bytes of connections from the IP address \p Source, in both
  /// directions, until reconnect() has been called as often. The bytes are then
  /// forwarded, as a network delivers what a sender's system repeats, unless an
  /// end has reset the connection or it was opened during the cut.
  void cutOff(const std::string &Source);
  void reconnect(const std::string &Source);
  /// \p Hook returns the time after which a block of bytes from the target is
  /// forwarded once more; nothing if it is not.
  void copyBlocks(CopyHook Hook) { DrawCopyDelay = std::move(Hook); }

private:
  class ProxiedConnection;

  void accept();
  void updateCuts(const std::string &Source);

  asio::io_context &Context;
  const std::string Target;
  tcp::acceptor Acceptor;
  LinkFault Fault = LinkFault::None;
  CopyHook DrawCopyDelay;
  /// Number of cuts of each source.
  std::map<std::string, unsigned> Cuts;
  std::vector<std::weak_ptr<ProxiedConnection>> Connections;
};

} // namespace mimosacart
