/// \file
/// Ranks servers by expected latency and by the costs of choosing them.
#pragma once

#include "direct/server_load_table.h"
#include "direct/server_registry.h"

#include <random>
#include <set>
#include <vector>

namespace mimosacart {

/// Constants of the ranking.
struct RankingPolicy {
  /// Load newer than this is as good as the result of a new probe.
  Duration MaxFreshLoadAge = std::chrono::milliseconds(20);
  /// Load newer than this makes a server preferable to one of unknown load.
  Duration MaxRecentLoadAge = std::chrono::milliseconds(80);
  /// Load older than this is ignored.
  Duration MaxUsableLoadAge = std::chrono::milliseconds(400);
  /// A server whose latency factor is greater is not nominal.
  double MaxNominalFactor = 1.5;
  /// Cost of a server in another data centre, where traffic is more expensive;
  /// in baseline latencies.
  double OtherDataCentreFactor = 0.6;
  /// Cost of each point of the failure score above the servers' median.
  Duration FailureCost = std::chrono::milliseconds(500);
  /// Cost of a server that reports itself unhealthy.
  Duration UnhealthyCost = std::chrono::milliseconds(2000);
  /// Latency factor of servers that are warming up.
  double WarmUpFactor = 2;
  /// A server with more than two slots is saturated, and slower by the factor,
  /// once one more request would use more than this share of its slots.
  double SaturationShare = 0.8;
  double SaturationFactor = 1.7;
  /// Latency factor assumed for servers of unknown load.
  double UnknownLoadFactor = 1.4;
};

/// A server with its expected latency and cost.
struct RankedServer {
  const DiscoveredServer *Server = nullptr;
  Duration ExpectedLatency{};
  /// Expected latency as a multiple of the baseline.
  double LatencyFactor = 1;
  /// Expected latency plus the costs of the policy.
  Duration Cost{};
  /// Time since the server's load was received; Duration::max() if never.
  Duration LoadAge = Duration::max();
  /// The load is at most MaxFreshLoadAge old, so a probe is not needed. Also
  /// true for a server that does not report its load.
  bool HasFreshLoad = false;
  /// The same for MaxRecentLoadAge: the server is preferable to one of unknown
  /// load.
  bool HasRecentLoad = false;
  /// The server is healthy, has a free slot and few failures, and its latency
  /// factor is at most MaxNominalFactor.
  bool IsNominal = false;
  /// A slot is free.
  bool HasFreeSlot = false;
  /// A slot is free, and one more request does not saturate the server.
  bool HasHeadroom = false;
};

/// Ranks candidate servers for a request.
class ServerRanking {
public:
  ServerRanking(RankingPolicy Policy, std::string DataCentre,
                std::uint64_t Seed)
      : Policy(Policy), DataCentre(std::move(DataCentre)), Random(Seed) {}

  /// Returns the servers by ascending cost; those of equal cost are in random
  /// order. \p Baseline is the latency of the request's route on a server that
  /// is neither slow nor busy.
  std::vector<RankedServer>
  rank(Instant Now, const std::vector<const DiscoveredServer *> &Servers,
       const ServerLoadTable &ServerLoads, Duration Baseline);

  const RankingPolicy &policy() const { return Policy; }

private:
  /// \p CommonFailures is the median failure score of all candidates.
  RankedServer assess(Instant Now, const DiscoveredServer &Server,
                      const ServerLoadState &State, Duration Baseline,
                      double CommonFailures) const;

  const RankingPolicy Policy;
  const std::string DataCentre;
  std::mt19937_64 Random;
};

} // namespace mimosacart
