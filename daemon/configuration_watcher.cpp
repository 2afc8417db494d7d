#include "daemon/configuration_watcher.h"

#include "net/asio.h"
#include "settings/configuration_file.h"

namespace mimosacart {

struct ConfigurationWatcher::Timer {
  explicit Timer(asio::io_context &Context) : Value(Context) {}
  asio::steady_timer Value;
};

ConfigurationWatcher::ConfigurationWatcher(asio::io_context &Context,
                                           PlatformClient &Platform,
                                           Duration Interval, EventLog &Log,
                                           Hooks Use)
    : Platform(Platform), Interval(Interval), Log(Log), Use(std::move(Use)),
      PollTimer(std::make_unique<Timer>(Context)) {}

ConfigurationWatcher::~ConfigurationWatcher() = default;

void ConfigurationWatcher::start() { poll(); }

void ConfigurationWatcher::schedulePoll() {
  PollTimer->Value.expires_after(Interval);
  PollTimer->Value.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      poll();
  });
}

void ConfigurationWatcher::poll() {
  Platform.readHead([this](const PlatformResult<HeadRow> &Result) {
    const bool Answered =
        Result.has_value() || Result.error() == PlatformError::NotFound;
    noteReachable(Answered);
    if (Result.has_value())
      Use.HeadSeen(
          {Result.value().Current.Number, Result.value().Current.Digest});
    // The next poll begins only after this one has ended, so that a slow
    // platform never sees more than one read of each kind from a host.
    Platform.readHosts([this](const PlatformResult<PlatformHosts> &Hosts) {
      if (Hosts.has_value())
        Use.HostsSeen(Hosts.value());
      schedulePoll();
    });
  });
}

void ConfigurationWatcher::noteReachable(bool Reachable) {
  if (Reachable == PlatformReachable)
    return;
  PlatformReachable = Reachable;
  if (Reachable)
    Log.info("platform_reachable", {});
  else
    Log.error("platform_unreachable", {});
}

void ConfigurationWatcher::fetch(const ConfigurationMark &Mark) {
  Platform.readObject(Mark.Digest,
                      [this, Mark](const PlatformResult<std::string> &Result) {
                        if (Result.has_value())
                          accept(Mark, Result.value(), "platform");
                      });
}

void ConfigurationWatcher::offer(const ConfigurationMark &Mark,
                                 const std::string &Bytes) {
  if (sha256(Bytes) != Mark.Digest) {
    Log.error("configuration_rejected",
              {{"digest", Mark.Digest}, {"reason", "digest differs"}});
    return;
  }
  accept(Mark, Bytes, "peer");
}

void ConfigurationWatcher::accept(const ConfigurationMark &Mark,
                                  const std::string &Bytes,
                                  const std::string &Source) {
  const Checked<Configuration> Parsed = parseConfiguration(Bytes, Mark.Digest);
  if (Parsed.has_error()) {
    Log.error("configuration_rejected",
              {{"digest", Mark.Digest},
               {"source", Source},
               {"reason", format(Parsed.error().front())}});
    return;
  }
  VersionedConfiguration Accepted{Mark.Number, Mark.Digest, Bytes,
                                  Parsed.value()};
  Use.Arrived(
      std::make_shared<const VersionedConfiguration>(std::move(Accepted)));
}

} // namespace mimosacart
