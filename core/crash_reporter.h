/// \file
/// Reports a request that may have crashed a backend server to the other hosts
/// before its caller can resend it.
#pragma once

#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/time.h"
#include "core/work_queue.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace mimosacart {

/// Holds the result of a call that ended in a crash until every reachable peer
/// has confirmed the crash report. A caller that resends the request as soon as
/// it receives the failure thus reaches only hosts that know of the crash.
class CrashReporter {
public:
  struct Hooks {
    std::function<void(const HostName &, PeerBody)> Send;
    /// Delivers a result that was held back.
    std::function<void(const WorkItem &, const AttemptResult &)> Release;
  };

  explicit CrashReporter(Hooks Callbacks) : Callbacks(std::move(Callbacks)) {}

  /// Sends \p Notice, the crash seen during \p Attempt, to \p Peers.
  void report(Instant Now, const AttemptKey &Attempt, const CrashNotice &Notice,
              const std::vector<HostName> &Peers);

  /// Stores \p Result if peers have yet to confirm the crash report of its
  /// attempt. Returns false if the result can be delivered at once.
  bool hold(const WorkItem &Item, const AttemptResult &Result);

  /// Handles the confirmation of a crash report by \p From.
  void onAck(const HostName &From, std::uint64_t EventId);
  /// Releases results whose reports are not fully confirmed in time.
  void tick(Instant Now);

private:
  struct Report {
    AttemptKey Attempt;
    /// Peers that have not confirmed the report.
    std::set<HostName> UnconfirmedPeers;
    /// Time at which the result is released without all confirmations.
    Instant ReleaseAt{};
    std::optional<std::pair<WorkItem, AttemptResult>> HeldResult;
  };

  void release(std::map<std::uint64_t, Report>::iterator Position);

  const Hooks Callbacks;
  std::map<std::uint64_t, Report> Reports;
};

} // namespace mimosacart
