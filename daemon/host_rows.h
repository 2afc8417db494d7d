/// \file
/// The rows by which entry hosts find each other in the store.
#pragma once

#include "daemon/event_log.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mimosacart {

/// Writes and removes this host's row and reads those of all hosts.
class HostRows {
public:
  using AddressesHook = std::function<void(std::vector<std::string>)>;

  /// \p Name is the key of this host's row.
  HostRows(StoreClient &Store, EventLog &Log, std::string Name,
           std::string PeerAddress)
      : Store(Store), Log(Log), Name(std::move(Name)),
        PeerAddress(std::move(PeerAddress)) {}
  HostRows(const HostRows &) = delete;
  HostRows &operator=(const HostRows &) = delete;

  /// Writes this host's row unless it is there or being written, or again if
  /// the store may have lost it.
  void add();
  /// Makes the next add() write this host's row again, because the store may
  /// have lost it.
  void renew() { MayBeLost = true; }
  /// Removes this host's row if it may be there.
  void remove();
  /// Passes the peer addresses of all hosts with a row to \p Done, unless the
  /// store does not answer.
  void read(AddressesHook Done);
  /// Number of calls to the store so far.
  std::uint64_t calls() const { return Calls; }

private:
  StoreClient &Store;
  EventLog &Log;
  const std::string Name;
  const std::string PeerAddress;
  /// Whether this host's row is in the store or being written.
  bool Added = false;
  /// Whether the store may have lost the row since.
  bool MayBeLost = false;
  std::uint64_t Calls = 0;
};

} // namespace mimosacart
