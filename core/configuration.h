/// \file
/// The content of the operators' configuration file as immutable values.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosacart {

/// Priority with which waiting requests are given free slots.
enum class PriorityClass : std::uint8_t { High, Normal, Low };

/// How the requests of one kind are recognised and handled.
struct RequestKind {
  std::string Name;
  std::string Method;
  /// Absolute path; a `*` segment matches exactly one arbitrary segment.
  std::string Path;
  bool Idempotent = false;
  /// Longest time from the arrival of a request to its answer.
  Duration Deadline{};
  PriorityClass Priority = PriorityClass::Normal;
  /// Number of retries allowed after a failed attempt; 0 unless idempotent.
  unsigned Retries = 0;
  /// Whether a slow attempt may be duplicated on another server.
  bool Hedge = false;

  friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

/// A server that runs requests of a service.
struct BackendServer {
  ServerName Name;
  /// IP address and port.
  std::string Address;
  std::string DataCentre;
  /// Number of requests that the server runs concurrently.
  unsigned Slots = 1;
  /// Number of connections that the server accepts from all entry hosts
  /// together.
  unsigned Connections = 1;

  friend bool operator==(const BackendServer &,
                         const BackendServer &) = default;
};

/// A set of backend servers that handle the same kinds of request.
struct Service {
  ServiceName Name;
  std::vector<BackendServer> Servers;
  std::vector<RequestKind> Kinds;

  friend bool operator==(const Service &, const Service &) = default;
};

/// The content of one configuration file.
struct Configuration {
  std::vector<Service> Services;

  friend bool operator==(const Configuration &,
                         const Configuration &) = default;
};

/// A configuration with its position in the sequence of all accepted ones.
struct VersionedConfiguration {
  Generation Number;
  /// SHA-256 of the file's bytes in lower-case hexadecimal.
  std::string Digest;
  /// The file's bytes, kept to be sent to peers that request them.
  std::string Bytes;
  Configuration Content;
};

/// Shared, immutable configuration.
using ConfigurationPtr = std::shared_ptr<const VersionedConfiguration>;

/// Identifies a configuration in messages between hosts.
struct ConfigurationId {
  Generation Number;
  std::string Digest;

  friend bool operator==(const ConfigurationId &,
                         const ConfigurationId &) = default;
};

} // namespace mimosacart
