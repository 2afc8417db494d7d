/// \file
/// Tells other owners when the load of a service changes between idle and
/// busy, within a budget of bytes.
#pragma once

#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/time.h"
#include "core/token_bucket.h"

#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// Bounds of what load reports may cost.
struct LoadReportBudget {
  double BytesPerSecond = 12'000;
  double BurstBytes = 12'000;
  /// Reports of one service are at least this far apart.
  Duration MinInterval = std::chrono::milliseconds(2);
};

/// Collects changed services and reports the largest changes first.
class LoadReporter {
public:
  struct Hooks {
    std::function<ServiceLoad(const ServiceName &)> Load;
    std::function<std::vector<HostName>(const ServiceName &)> Audience;
    std::function<void(const HostName &, PeerBody)> Send;
  };

  LoadReporter(LoadReportBudget Budget, Hooks Callbacks);

  /// Marks \p Service as changed.
  void touch(const ServiceName &Service) { Changed.insert(Service); }

  /// Sends what the budget allows; the rest stays marked.
  void flush(Instant Now);

  /// Bytes spent so far, as estimated for the budget.
  double bytesSpent() const { return Spent; }
  /// Reports put off because the budget was used up.
  std::uint64_t deferred() const { return Deferred; }

private:
  struct Candidate {
    ServiceLoad Load;
    std::uint32_t Difference = 0;
  };

  std::vector<Candidate> candidates();

  const LoadReportBudget Budget;
  const Hooks Callbacks;
  TokenBucket Bytes;
  std::set<ServiceName> Changed;
  std::unordered_map<ServiceName, ServiceLoad> LastSent;
  Instant LastFlush{};
  double Spent = 0;
  std::uint64_t Deferred = 0;
};

} // namespace mimosacart
