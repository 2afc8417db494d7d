/// \file
/// Bounds of the quotas of workspaces and the shares that follow from them.
#pragma once

#include "core/time.h"
#include "direct/route_configuration.h"

#include <algorithm>

namespace mimosacart {

/// In any Window the fleet admits at most what a quota allows, times
/// 1 + Overrun, plus Slack.
struct QuotaLimits {
  Duration Window = std::chrono::seconds(5);
  double Overrun = 0.1;
  double Slack = 20;

  friend bool operator==(const QuotaLimits &, const QuotaLimits &) = default;

  /// Time for which lent tokens are valid. Tokens that were lent before a
  /// window and are used in it count as overrun; the rest of the overrun is
  /// left for the reserve. The minimum covers a round trip between hosts.
  Duration leaseLifetime() const {
    constexpr double LeasePart = 0.6;
    return std::clamp<Duration>(scaled(Window, Overrun * LeasePart),
                                std::chrono::milliseconds(100),
                                std::chrono::seconds(1));
  }

  /// Time without loans when the lender changes: hosts may differ for 2.5 s on
  /// which hosts are reachable, and the last leases have to expire.
  Duration pause() const {
    return std::chrono::milliseconds(2500) + leaseLifetime();
  }

  /// Size of the lender's bucket. A bucket of one token would lose the tokens
  /// earned between two requests, so a part of the slack is added to a small
  /// burst.
  double bucketSize(const WorkspaceQuota &Quota) const {
    constexpr double SlackPart = 0.25;
    return std::max(Quota.Burst, 1 + Slack * SlackPart);
  }

  /// Requests in a window that all hosts together may admit without a lender.
  double reserve(const WorkspaceQuota &Quota) const {
    // The rest covers what views that differ for a moment cost.
    constexpr double UsedPart = 0.8;
    const double Rate = Quota.RequestsPerSecond;
    const double Left = Overrun * Rate * toSeconds(Window) +
                        (1 + Overrun) * Quota.Burst + Slack -
                        Rate * toSeconds(leaseLifetime()) - bucketSize(Quota);
    return std::max(0.0, Left * UsedPart);
  }
};

} // namespace mimosacart
