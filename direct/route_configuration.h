/// \file
/// Configuration of routes and services, as immutable values.
#pragma once

#include "core/ids.h"
#include "core/key_digest.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosacart {

/// One of the services that a route's requests are distributed over.
struct WeightedService {
  ServiceName Service;
  unsigned Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

/// Configuration of the requests to one host and path prefix.
struct HostRoute {
  std::string Name;
  /// Host name that callers send, without a port.
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  /// Whether a server may run a request more than once.
  bool Idempotent = false;
  /// Upper bound of the time from arrival to answer.
  Duration Timeout{};
  /// Latency objective: an answer within this time has the full value for the
  /// caller.
  Duration Objective{};
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Greatest number of servers that one request is sent to.
  unsigned MaxAttempts = 1;
  /// Whether requests need a key if the configuration has workspaces.
  bool NeedsKey = true;
  /// Regions whose servers may run the requests; empty if all may.
  std::set<std::string> Regions;
  /// Never empty.
  std::vector<WeightedService> Services;

  friend bool operator==(const HostRoute &, const HostRoute &) = default;
};

/// Settings that all servers of one service share.
struct ServiceSettings {
  ServiceName Name;
  std::string HealthPath;
  /// Connections that a server accepts from the whole fleet.
  unsigned Connections = 0;
  /// Requests a second that a cold server takes from all hosts together; not
  /// set if cold servers take any number.
  std::optional<double> ColdRequestsPerSecond;

  friend bool operator==(const ServiceSettings &,
                         const ServiceSettings &) = default;
};

/// Requests that a workspace may send, all hosts together: a token bucket.
struct WorkspaceQuota {
  double RequestsPerSecond = 0;
  /// Size of the bucket in requests.
  double Burst = 0;

  friend bool operator==(const WorkspaceQuota &,
                         const WorkspaceQuota &) = default;
};

/// A group of callers with their keys and limits.
struct Workspace {
  std::string Name;
  std::vector<KeyDigest> Keys;
  /// Replaces the priority of the route.
  std::optional<unsigned> Priority;
  /// Not set if the workspace may send any number of requests.
  std::optional<WorkspaceQuota> Quota;
  /// Regions whose servers may run the requests; empty if all may.
  std::set<std::string> Regions;

  friend bool operator==(const Workspace &, const Workspace &) = default;
};

using WorkspacePtr = std::shared_ptr<const Workspace>;

/// Limits on the size and the duration of callers' requests and on idle
/// connections.
struct CallerRequestLimits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 64U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);

  friend bool operator==(const CallerRequestLimits &,
                         const CallerRequestLimits &) = default;
};

/// One accepted configuration.
struct RouteConfiguration {
  /// Increases with each configuration.
  std::uint64_t Version = 0;
  std::vector<HostRoute> Routes;
  std::map<ServiceName, ServiceSettings> Services;
  /// Not set if callers need no keys. If it is empty, no key is valid.
  std::optional<std::vector<Workspace>> Workspaces;
  CallerRequestLimits Limits;

  friend bool operator==(const RouteConfiguration &,
                         const RouteConfiguration &) = default;
};

using RouteConfigurationPtr = std::shared_ptr<const RouteConfiguration>;

} // namespace mimosacart
