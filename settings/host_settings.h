/// \file
/// Settings of an entry host and of `mimosacartctl`, each read from a TOML
/// file.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "settings/toml_reader.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacart {

/// Limits on callers' connections and requests that protect an entry host from
/// hostile or faulty callers.
struct CallerLimits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 1U << 20U;
  std::size_t Connections = 20'000;
  /// Limit on the connections from one IP address.
  std::size_t ConnectionsPerAddress = 10'000;
  /// A connection without a request in progress is closed after this time.
  Duration IdleTimeout = std::chrono::seconds(60);
  /// A request that is not complete after this time is refused.
  Duration ReadTimeout = std::chrono::seconds(10);
};

/// Bounds of the quotas of workspaces: in any Window the fleet admits at most
/// the requests of the quota, times 1 + Overrun, plus Slack.
struct QuotaBounds {
  Duration Window = std::chrono::seconds(5);
  double Overrun = 0.1;
  double Slack = 20;

  friend bool operator==(const QuotaBounds &, const QuotaBounds &) = default;
};

/// Bounds on the requests to a cold server: in any second the fleet sends at
/// most those that its service names, times Overrun, plus Slack.
struct ColdServerBounds {
  double Overrun = 1;
  double Slack = 0;

  friend bool operator==(const ColdServerBounds &,
                         const ColdServerBounds &) = default;
};

/// Settings of an entry host that reads servers and routes from the store and
/// calls the servers directly.
struct DirectSettings {
  /// Listen address where callers request the list of entry hosts.
  std::string DirectoryAddress;
  /// Listen address where the platform probes the readiness of this host.
  std::string ReadinessAddress;
  /// Time for which callers may cache the list of entry hosts.
  Duration DirectoryLifetime = std::chrono::seconds(1);
  /// Limits on the retries of the whole fleet to each service, hedges included:
  /// in each RetryWindow at most RetryShare times the number of requests, plus
  /// RetrySlack.
  double RetryShare = 0.2;
  double RetrySlack = 50;
  Duration RetryWindow = std::chrono::seconds(10);
  /// Whether the whole fleet starts for the first time, with an empty store.
  bool IsFirstStart = false;
  /// Grace period of a planned stop; the process is killed at its end.
  Duration StopGrace = std::chrono::seconds(6);
  QuotaBounds Quotas;
  ColdServerBounds ColdServers;
  /// Hedges of idempotent requests to a service, as a share of its requests; 0
  /// switches hedging off. Not set: a fixed share of the retry limits.
  std::optional<double> HedgeShare;
};

/// Settings of an entry host.
struct HostSettings {
  HostName Name;
  std::string DataCentre;
  /// Region of each data centre; empty if regions do not matter.
  std::map<std::string, std::string> Regions;
  /// Memory that the process may use, in bytes. Bounds the messages that it
  /// holds.
  std::size_t MemoryBytes = std::size_t(512) << 20U;
  std::string CallerAddress;
  std::string PeerAddress;
  /// The address at which peers reach this host, if that is not PeerAddress
  /// since something between them forwards connections; else empty.
  std::string AdvertisedPeerAddress;
  /// IP address that connections to servers, the store and peers come from;
  /// empty if the system chooses it.
  std::string SourceAddress;
  std::string AdminAddress;
  std::string PlatformAddress;
  /// Interval at which the host polls the platform.
  Duration PlatformPoll = std::chrono::seconds(1);
  Duration PlatformTimeout = std::chrono::seconds(2);
  /// Peer addresses of entry hosts through which this host joins the fleet.
  std::vector<std::string> SeedAddresses;
  CallerLimits Limits;
  /// Time for which callers may cache the list of entry hosts.
  Duration EntriesLifetime = std::chrono::seconds(5);
  /// Time after which a planned stop is cut short.
  Duration StopTimeout = std::chrono::seconds(60);
  std::string LogLevel = "info";
  /// Name of a balancing policy in core/balancing.h.
  std::string Balancing = "slot-ownership";
  /// Present if the file contains a `direct` table.
  std::optional<DirectSettings> Direct;

  /// The address that peers are told of.
  const std::string &toldPeerAddress() const {
    return AdvertisedPeerAddress.empty() ? PeerAddress : AdvertisedPeerAddress;
  }
};

/// Parses and checks an entry host's settings file. \p Text is its contents;
/// \p File is the file name for error messages.
Checked<HostSettings> parseHostSettings(std::string_view Text,
                                        const std::string &File);

/// Settings of `mimosacartctl`: addresses of the platform and the entry hosts.
struct OperatorSettings {
  std::string PlatformAddress;
  Duration PlatformTimeout = std::chrono::seconds(5);
  std::vector<std::string> AdminAddresses;
  /// Operator's name, recorded with each configuration that is applied.
  std::string SubmittedBy;
};

/// Parses and checks an operator's settings file. \p Text is its contents;
/// \p File is the file name for error messages.
Checked<OperatorSettings> parseOperatorSettings(std::string_view Text,
                                                const std::string &File);

} // namespace mimosacart
