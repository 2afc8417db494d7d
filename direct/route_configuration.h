/// \file
/// What operators want of each route, as immutable values.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosacart {

/// One of the services that share the requests of a route.
struct WeightedService {
  ServiceName Service;
  unsigned Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

/// How requests to one host and path prefix are treated.
struct HostRoute {
  std::string Name;
  /// Host name that callers send, without a port.
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  /// Whether a request may run more than once.
  bool Idempotent = false;
  /// Upper bound of the time from arrival to answer.
  Duration Timeout{};
  /// An answer within this time is worth most to the caller.
  Duration Objective{};
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Servers that one request may be sent to.
  unsigned MaxAttempts = 1;
  /// Never empty.
  std::vector<WeightedService> Services;

  bool isMostUrgent() const { return Priority == 0; }

  friend bool operator==(const HostRoute &, const HostRoute &) = default;
};

/// What all servers of one service have in common.
struct ServiceSettings {
  ServiceName Name;
  std::string HealthPath;
  /// Connections that a server accepts from the whole fleet.
  unsigned Connections = 0;

  friend bool operator==(const ServiceSettings &,
                         const ServiceSettings &) = default;
};

/// What callers may send, and how long they may take or stay idle.
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
  /// Greater for each later configuration.
  std::uint64_t Version = 0;
  std::vector<HostRoute> Routes;
  std::map<ServiceName, ServiceSettings> Services;
  CallerRequestLimits Limits;

  friend bool operator==(const RouteConfiguration &,
                         const RouteConfiguration &) = default;
};

using RouteConfigurationPtr = std::shared_ptr<const RouteConfiguration>;

} // namespace mimosacart
