/// \file
/// Polls the platform for the current configuration and the host list.
#pragma once

#include "core/configuration.h"
#include "daemon/event_log.h"
#include "platform/platform_client.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace mimosacart {

/// Polls the platform's head row and host list. Fetches and validates
/// configurations.
class ConfigurationWatcher {
public:
  struct Hooks {
    /// Called with the id in the head row after each successful poll.
    std::function<void(const ConfigurationId &)> HeadRead;
    /// Called with each valid configuration from the platform or a peer.
    std::function<void(ConfigurationPtr)> ConfigurationReceived;
    /// Called with the host list after each successful poll.
    std::function<void(const PlatformHosts &)> HostsRead;
  };

  /// \p Interval is the pause from the end of one poll to the next.
  ConfigurationWatcher(boost::asio::io_context &Context,
                       PlatformClient &Platform, Duration Interval,
                       EventLog &Log, Hooks Callbacks);
  ~ConfigurationWatcher();
  ConfigurationWatcher(const ConfigurationWatcher &) = delete;
  ConfigurationWatcher &operator=(const ConfigurationWatcher &) = delete;

  void start();
  /// Reads the configuration with \p ConfigId from the object store.
  void fetch(const ConfigurationId &ConfigId);
  /// Verifies the digest of a configuration that a peer sent, then parses it.
  void acceptFromPeer(const ConfigurationId &ConfigId,
                      const std::string &Bytes);

private:
  struct Timer;

  void schedulePoll();
  void poll();
  /// Parses a configuration and passes it on, or logs why it is invalid.
  void accept(const ConfigurationId &ConfigId, const std::string &Bytes,
              const std::string &Source);
  /// Logs when the platform becomes reachable or unreachable.
  void recordReachable(bool Reachable);

  PlatformClient &Platform;
  const Duration Interval;
  EventLog &Log;
  const Hooks Callbacks;
  std::unique_ptr<Timer> PollTimer;
  bool PlatformReachable = true;
};

} // namespace mimosacart
