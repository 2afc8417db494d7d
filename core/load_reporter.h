/// \file
/// Reports significant load changes of a service to its other owners, within a
/// budget of bytes.
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

/// Limits on the traffic of load reports.
struct LoadReportBudget {
  /// Bytes that the budget earns per second.
  double BytesPerSecond = 12'000;
  /// Initial value and capacity of the budget, in bytes.
  double BurstBytes = 12'000;
  /// Minimum time between two rounds of reports.
  Duration MinInterval = std::chrono::milliseconds(2);
};

/// Collects the services whose load changed and reports the largest changes
/// first.
class LoadReporter {
public:
  struct Hooks {
    /// Returns the current load of the service at this host.
    std::function<ServiceLoad(const ServiceName &)> Load;
    /// Returns the hosts to which changes of the service are reported.
    std::function<std::vector<HostName>(const ServiceName &)> Recipients;
    std::function<void(const HostName &, PeerBody)> Send;
  };

  LoadReporter(LoadReportBudget Budget, Hooks Callbacks);

  /// Marks the load of \p Service as changed.
  void touch(const ServiceName &Service) { Changed.insert(Service); }

  /// Sends as many reports as the budget allows; services whose report was
  /// deferred stay marked.
  void flush(Instant Now);

  /// Estimated size of all reports sent so far, in bytes.
  double bytesSpent() const { return BytesSpent; }
  /// Number of times a report was deferred because the budget was exhausted.
  std::uint64_t deferred() const { return DeferredCount; }

private:
  struct Candidate {
    ServiceLoad Load;
    /// Size of the change since the last report; larger changes are reported
    /// first.
    std::uint32_t Difference = 0;
  };

  std::vector<Candidate> collectCandidates();

  const LoadReportBudget Budget;
  const Hooks Callbacks;
  TokenBucket ByteBudget;
  std::set<ServiceName> Changed;
  std::unordered_map<ServiceName, ServiceLoad> LastSent;
  Instant LastFlush{};
  double BytesSpent = 0;
  std::uint64_t DeferredCount = 0;
};

} // namespace mimosacart
