/// \file
/// Settings of one process, read from its TOML file.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "settings/toml_reader.h"

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
