/// \file
/// Settings of one process, read from its TOML file.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "settings/toml_reader.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacart {

/// Limits against hostile or broken callers.
struct CallerLimits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 1U << 20U;
  std::size_t Connections = 20'000;
  std::size_t ConnectionsPerAddress = 10'000;
  /// A connection without a request is closed after this.
  Duration IdleTimeout = std::chrono::seconds(60);
  /// A request that is not whole by then is refused.
  Duration ReadTimeout = std::chrono::seconds(10);
};

/// For a host that takes servers and routes from the store and calls the
/// servers itself.
struct DirectSettings {
  /// Where callers ask for the entry hosts to use.
  std::string DirectoryAddress;
  /// Where the platform asks whether this host is ready.
  std::string ReadinessAddress;
  /// How long callers may keep the list of entry hosts.
  Duration DirectoryLifetime = std::chrono::seconds(1);
  /// Repeats allowed for the whole fleet in a window: a share of the requests
  /// and a fixed number.
  double RetryShare = 0.2;
  double RetrySlack = 50;
  Duration RetryWindow = std::chrono::seconds(10);
  /// A stopping process is killed after this.
  Duration StopGrace = std::chrono::seconds(6);
};

/// Everything that an entry host is told by its settings.
struct HostSettings {
  HostName Name;
  std::string DataCentre;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string AdminAddress;
  std::string PlatformAddress;
  Duration PlatformPoll = std::chrono::seconds(1);
  Duration PlatformTimeout = std::chrono::seconds(2);
  std::vector<std::string> SeedAddresses;
  CallerLimits Limits;
  Duration EntriesLifetime = std::chrono::seconds(5);
  Duration StopTimeout = std::chrono::seconds(60);
  std::string LogLevel = "info";
  /// Name of the balancing policy; see core/balancing.h.
  std::string Balancing = "slot-ownership";
  /// Set if the file has a table for it.
  std::optional<DirectSettings> Direct;
};

/// Parses and checks a whole settings file; \p File names it in errors.
Checked<HostSettings> parseHostSettings(std::string_view Text,
                                        const std::string &File);

/// Where `mimosacartctl` finds the platform and the entry hosts.
struct OperatorSettings {
  std::string PlatformAddress;
  Duration PlatformTimeout = std::chrono::seconds(5);
  std::vector<std::string> AdminAddresses;
  std::string SubmittedBy;
};

/// Parses and checks an operator's settings file.
Checked<OperatorSettings> parseOperatorSettings(std::string_view Text,
                                                const std::string &File);

} // namespace mimosacart
