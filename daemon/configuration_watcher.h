/// \file
/// Follows the platform: the head row, the objects behind it, the host list.
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

/// Polls the platform and turns bytes into checked configurations.
class ConfigurationWatcher {
public:
  struct Hooks {
    std::function<void(const ConfigurationId &)> HeadSeen;
    std::function<void(ConfigurationPtr)> Arrived;
    std::function<void(const PlatformHosts &)> HostsSeen;
  };

  ConfigurationWatcher(boost::asio::io_context &Context,
                       PlatformClient &Platform, Duration Interval,
                       EventLog &Log, Hooks Callbacks);
  ~ConfigurationWatcher();
  ConfigurationWatcher(const ConfigurationWatcher &) = delete;
  ConfigurationWatcher &operator=(const ConfigurationWatcher &) = delete;

  void start();
  /// Reads the bytes behind \p ConfigId from the object store.
  void fetch(const ConfigurationId &ConfigId);
  /// Checks bytes that a peer sent.
  void offer(const ConfigurationId &ConfigId, const std::string &Bytes);

private:
  struct Timer;

  void schedulePoll();
  void poll();
  void accept(const ConfigurationId &ConfigId, const std::string &Bytes,
              const std::string &Source);
  void recordReachable(bool Reachable);

  PlatformClient &Platform;
  const Duration Interval;
  EventLog &Log;
  const Hooks Callbacks;
  std::unique_ptr<Timer> PollTimer;
  bool PlatformReachable = true;
};

} // namespace mimosacart
