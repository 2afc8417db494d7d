/// \file
/// Balancing policies: hooks by which ServerPool chooses a backend server.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace mimosacart {

/// Load of one server that is a candidate for a request.
struct ServerChoice {
  unsigned InFlight = 0;
  unsigned Slots = 1;
  /// Mean service time in microseconds; zero before the first successful call.
  double MeanMicroseconds = 0;
};

/// Returns the index of the chosen server. The list is never empty.
using ChooseHook =
    std::function<std::size_t(const std::vector<ServerChoice> &)>;

/// How entry hosts share the backend servers, and how a host chooses among
/// those that it uses.
struct BalancingPolicy {
  /// Whether each server's slots belong to one entry host. If not, every host
  /// uses every server and counts only its own requests there.
  bool SlotOwnership = true;
  ChooseHook Choose;
};

/// Chooses the server with the shortest expected time to answer, from its mean
/// service time and the requests in flight per slot.
ChooseHook chooseFastest();
/// Chooses the servers in turn.
ChooseHook chooseRoundRobin();
/// Chooses the server with the fewest requests of this host per slot; breaks
/// ties at random.
ChooseHook chooseLeastInFlight(std::uint64_t Seed);
/// Chooses the less loaded of two servers drawn at random (power of two
/// choices, Mitzenmacher 2001).
ChooseHook chooseLessLoadedOfTwo(std::uint64_t Seed);

/// Returns the policy called \p Name: `slot-ownership`, `round-robin`,
/// `least-in-flight` or `two-choices`. Any other name gives `slot-ownership`.
BalancingPolicy makeBalancingPolicy(std::string_view Name, std::uint64_t Seed);

} // namespace mimosacart
