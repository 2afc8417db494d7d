#include "daemon/configuration_watcher.h"

#include "net/asio.h"
#include "net/one_shot_timer.h"
#include "settings/configuration_file.h"

namespace mimosacart {

struct ConfigurationWatcher::Timer {
  explicit Timer(asio::io_context &Context) : Value(Context) {}
  OneShotTimer Value;
};

ConfigurationWatcher::ConfigurationWatcher(asio::io_context &Context,
                                           PlatformClient &Platform,
                                           Duration Interval, EventLog &Log,
                                           Hooks Callbacks)
    : Platform(Platform), Interval(Interval), Log(Log),
      Callbacks(std::move(Callbacks)),
      PollTimer(std::make_unique<Timer>(Context)) {}

ConfigurationWatcher::~ConfigurationWatcher() = default;

void ConfigurationWatcher::start() { poll(); }

void ConfigurationWatcher::schedulePoll() {
  PollTimer->Value.start(Interval, [this] { poll(); });
}

void ConfigurationWatcher::poll() {
  Platform.readHead([this](const PlatformResult<HeadRow> &Result) {
    const bool PlatformAnswered =
        Result.has_value() || Result.error() == PlatformError::NotFound;
    recordReachable(PlatformAnswered);
    if (Result.has_value())
      Callbacks.HeadRead(
          {Result.value().Current.Number, Result.value().Current.Digest});
    // The next poll starts only after this one has ended, so that a host never
    // has more than one read of each kind open at a slow platform.
    Platform.readHosts([this](const PlatformResult<PlatformHosts> &Hosts) {
      if (Hosts.has_value())
        Callbacks.HostsRead(Hosts.value());
      schedulePoll();
    });
  });
}

void ConfigurationWatcher::recordReachable(bool Reachable) {
  if (Reachable == PlatformReachable)
    return;
  PlatformReachable = Reachable;
  if (Reachable)
    Log.info("platform_reachable", {});
  else
    Log.error("platform_unreachable", {});
}

void ConfigurationWatcher::fetch(const ConfigurationId &ConfigId) {
  Platform.readObject(
      ConfigId.Digest,
      [this, ConfigId](const PlatformResult<std::string> &Result) {
        if (Result.has_value())
          accept(ConfigId, Result.value(), "platform");
      });
}

void ConfigurationWatcher::acceptFromPeer(const ConfigurationId &ConfigId,
                                          const std::string &Bytes) {
  if (sha256(Bytes) != ConfigId.Digest) {
    Log.error("configuration_rejected",
              {{"digest", ConfigId.Digest}, {"reason", "digest differs"}});
    return;
  }
  accept(ConfigId, Bytes, "peer");
}

void ConfigurationWatcher::accept(const ConfigurationId &ConfigId,
                                  const std::string &Bytes,
                                  const std::string &Source) {
  const Checked<Configuration> Parsed =
      parseConfiguration(Bytes, ConfigId.Digest);
  if (Parsed.has_error()) {
    Log.error("configuration_rejected",
              {{"digest", ConfigId.Digest},
               {"source", Source},
               {"reason", format(Parsed.error().front())}});
    return;
  }
  VersionedConfiguration Accepted{ConfigId.Number, ConfigId.Digest, Bytes,
                                  Parsed.value()};
  Callbacks.ConfigurationReceived(
      std::make_shared<const VersionedConfiguration>(std::move(Accepted)));
}

} // namespace mimosacart
