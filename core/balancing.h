/// \file
/// Ways to choose among backend servers, as hooks of ServerPool.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace mimosacart {

/// A server that could take a request now.
struct ServerChoice {
  unsigned InFlight = 0;
  unsigned Slots = 1;
  /// Mean service time in microseconds; zero before the first answer.
  double MeanMicroseconds = 0;
};

/// Returns the index of the chosen server; the list is never empty.
using ChooseHook =
    std::function<std::size_t(const std::vector<ServerChoice> &)>;

/// How a host shares the servers of the fleet with the others.
struct BalancingPolicy {
  /// Whether each server's slots belong to one entry host. If not, every host
  /// uses every server and knows its own requests only.
  bool SlotOwnership = true;
  ChooseHook Choose;
};

/// The server expected to answer first, by its mean and its load.
ChooseHook chooseFastest();
/// One server after the other.
ChooseHook chooseRoundRobin();
/// The server with the fewest requests of this host for its slots; ties are
/// drawn.
ChooseHook chooseLeastInFlight(std::uint64_t Seed);
/// The less loaded of two servers drawn (Mitzenmacher 2001).
ChooseHook chooseOfTwo(std::uint64_t Seed);

/// The policy called \p Name: `slot-ownership`, `round-robin`,
/// `least-in-flight` or `two-choices`. Anything else is `slot-ownership`.
BalancingPolicy makeBalancingPolicy(std::string_view Name, std::uint64_t Seed);

} // namespace mimosacart
