/// \file
/// Distinct types for names and numbers that must not be confused.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mimosacart {

/// A value of type \p T that can only be compared with ids of the same \p Tag.
template <typename Tag, typename T> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(T Value) : Value(std::move(Value)) {}

  const T &value() const { return Value; }

  friend bool operator==(const StrongId &, const StrongId &) = default;
  friend auto operator<=>(const StrongId &, const StrongId &) = default;

private:
  T Value{};
};

/// Name of an entry host, unique in the fleet.
using HostName = StrongId<struct HostNameTag, std::string>;
/// Name of a service in the configuration.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
/// Name of a backend server, unique in the configuration.
using ServerName = StrongId<struct ServerNameTag, std::string>;
/// Identifies one run of an entry host's process; a later run of the same host
/// has a greater number.
using IncarnationId = StrongId<struct IncarnationTag, std::uint64_t>;
/// Identifies a request while this process handles it.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;
/// Identifies a call from this process to a backend server.
using CallId = StrongId<struct CallIdTag, std::uint64_t>;
/// Identifies one attempt to run a request; unique within the incarnation that
/// created it.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;
/// Position of a configuration in the sequence that the platform's table
/// defines.
using Generation = StrongId<struct GenerationTag, std::uint64_t>;

} // namespace mimosacart

/// Hashes an id by its value.
template <typename Tag, typename T>
struct std::hash<mimosacart::StrongId<Tag, T>> {
  std::size_t operator()(const mimosacart::StrongId<Tag, T> &Id) const {
    return std::hash<T>()(Id.value());
  }
};
