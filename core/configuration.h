/// \file
/// The operators' declarative file as immutable values.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosacart {

/// Order in which waiting requests get a free slot.
enum class PriorityClass : std::uint8_t { High, Normal, Low };

/// How one kind of request is recognised and treated.
struct RequestKind {
  std::string Name;
  std::string Method;
  /// Absolute path; a `*` segment matches any one segment.
  std::string Path;
  bool Idempotent = false;
  /// Upper bound of the time from arrival to answer.
  Duration Deadline{};
  PriorityClass Priority = PriorityClass::Normal;
  /// Further attempts allowed after a failed one; 0 unless idempotent.
  unsigned Retries = 0;
  /// Whether a slow attempt may be doubled on another server.
  bool Hedge = false;

  friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

/// One target that runs requests of a service.
struct BackendServer {
  ServerName Name;
  /// IP address and port.
  std::string Address;
  std::string DataCentre;
  /// Requests that the server runs at the same time.
  unsigned Slots = 1;
  /// Connections that the server accepts from the whole fleet.
  unsigned Connections = 1;

  friend bool operator==(const BackendServer &,
                         const BackendServer &) = default;
};

/// A set of backend servers that answer the same kinds of request.
struct Service {
  ServiceName Name;
  std::vector<BackendServer> Servers;
  std::vector<RequestKind> Kinds;

  friend bool operator==(const Service &, const Service &) = default;
};

/// One whole file of the operators.
struct Configuration {
  std::vector<Service> Services;

  friend bool operator==(const Configuration &,
                         const Configuration &) = default;
};

/// A configuration with its place in the order of all accepted ones.
struct VersionedConfiguration {
  Generation Number;
  /// Lower-case hexadecimal SHA-256 of the file's bytes.
  std::string Digest;
  /// The file's bytes, kept so that peers can be served.
  std::string Bytes;
  Configuration Content;
};

/// Shared, immutable configuration.
using ConfigurationPtr = std::shared_ptr<const VersionedConfiguration>;

/// Names of one row of the table, as hosts tell each other.
struct ConfigurationId {
  Generation Number;
  std::string Digest;

  friend bool operator==(const ConfigurationId &,
                         const ConfigurationId &) = default;
};

} // namespace mimosacart
