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
    std::function<void(const ConfigurationMark &)> HeadSeen;
    std::function<void(ConfigurationPtr)> Arrived;
    std::function<void(const PlatformHosts &)> HostsSeen;
  };

  ConfigurationWatcher(boost::asio::io_context &Context,
                       PlatformClient &Platform, Duration Interval,
                       EventLog &Log, Hooks Use);
  ~ConfigurationWatcher();
  ConfigurationWatcher(const ConfigurationWatcher &) = delete;
  ConfigurationWatcher &operator=(const ConfigurationWatcher &) = delete;

  void start();
  /// Reads the bytes behind \p Mark from the object store.
  void fetch(const ConfigurationMark &Mark);
  /// Checks bytes that a peer sent.
  void offer(const ConfigurationMark &Mark, const std::string &Bytes);

private:
  struct Timer;

  void schedulePoll();
  void poll();
  void accept(const ConfigurationMark &Mark, const std::string &Bytes,
              const std::string &Source);
  void noteReachable(bool Reachable);

  PlatformClient &Platform;
  const Duration Interval;
  EventLog &Log;
  const Hooks Use;
  std::unique_ptr<Timer> PollTimer;
  bool PlatformReachable = true;
};

} // namespace mimosacart
