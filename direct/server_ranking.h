/// \file
/// Ranks servers by when they are expected to answer.
#pragma once

#include "direct/server_load_table.h"
#include "direct/server_registry.h"

#include <random>
#include <set>
#include <vector>

namespace mimosacart {

/// Constants of the ranking.
struct RankingPolicy {
  /// Figures younger than this are as good as those of a new probe.
  Duration FreshFor = std::chrono::milliseconds(20);
  /// Figures younger than this are better than none.
  Duration RecentFor = std::chrono::milliseconds(80);
  /// Figures older than this say nothing.
  Duration StaleAfter = std::chrono::milliseconds(400);
  /// A server whose expected time exceeds its usual one by this factor is
  /// only taken if no better one is found.
  double GoodFactor = 1.5;
  /// Added for a server in another data centre, whose bytes cost more, in
  /// usual times.
  double DistanceFactor = 0.6;
  /// Added for each recent failure beyond those that most servers have.
  Duration FailureCost = std::chrono::milliseconds(500);
  /// Added for a server that calls itself unhealthy.
  Duration UnhealthyCost = std::chrono::milliseconds(2000);
  /// Servers work this many times slower while they warm up.
  double WarmUpFactor = 2;
  /// Servers slow down once this part of their slots is busy.
  double KneeShare = 0.8;
  double KneeFactor = 1.7;
  /// Time that unknown figures are expected to cost, as a factor.
  double UnknownFactor = 1.4;
};

/// A server with what is expected of it.
struct RankedServer {
  const DiscoveredServer *Server = nullptr;
  /// Expected time to the answer, also as a multiple of the usual time.
  Duration Expected{};
  double Factor = 1;
  /// Expected time with the costs of the policy.
  Duration Cost{};
  /// Time since the server told its load; the greatest value if it did not.
  Duration LoadAge = Duration::max();
  /// The figures are young enough to rely on.
  bool Fresh = false;
  /// They are young enough to prefer the server to one that is not known.
  bool Recent = false;
  /// The server is expected to answer about as fast as it usually does.
  bool Good = false;
  /// A slot is free.
  bool Idle = false;
  /// One more request does not slow the server's others down.
  bool HasHeadroom = false;
};

/// Ranks candidates. \p Baseline is the time that the work takes on a server
/// that is neither slow nor busy.
class ServerRanking {
public:
  ServerRanking(RankingPolicy Policy, std::string DataCentre,
                std::uint64_t Seed)
      : Policy(Policy), DataCentre(std::move(DataCentre)), Random(Seed) {}

  /// Best first; servers of equal cost are in random order.
  std::vector<RankedServer>
  rank(Instant Now, const std::vector<const DiscoveredServer *> &Servers,
       const ServerLoadTable &ServerLoads, Duration Baseline);

  const RankingPolicy &policy() const { return Policy; }

private:
  /// \p Common is the failure score that most servers have in common.
  RankedServer judge(Instant Now, const DiscoveredServer &Server,
                     const ServerLoadState &Of, Duration Baseline,
                     double Common) const;

  const RankingPolicy Policy;
  const std::string DataCentre;
  std::mt19937_64 Random;
};

} // namespace mimosacart
