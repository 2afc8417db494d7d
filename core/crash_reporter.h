/// \file
/// Tells the fleet of a request that may have crashed a server before anybody
/// can send that request again.
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

/// Holds the result of a crashed call until every reachable peer knows of the
/// crash. A caller that sends the request again the moment it is told of the
/// failure then meets nobody who has not heard.
class CrashReporter {
public:
  struct Hooks {
    std::function<void(const HostName &, PeerBody)> Send;
    /// Lets a held result go on its way.
    std::function<void(const WorkItem &, const AttemptResult &)> Release;
  };

  explicit CrashReporter(Hooks Callbacks) : Callbacks(std::move(Callbacks)) {}

  /// Reports \p Notice, which was seen on \p Attempt, to \p Peers.
  void report(Instant Now, const AttemptKey &Attempt, const CrashNotice &Notice,
              const std::vector<HostName> &Peers);

  /// Keeps the result if its crash is still being reported; false if the
  /// result need not wait.
  bool hold(const WorkItem &Item, const AttemptResult &Result);

  void onAck(const HostName &From, std::uint64_t EventId);
  /// Releases results whose peers stay silent.
  void tick(Instant Now);

private:
  struct Report {
    AttemptKey Attempt;
    std::set<HostName> Unheard;
    Instant Until{};
    std::optional<std::pair<WorkItem, AttemptResult>> Held;
  };

  void release(std::map<std::uint64_t, Report>::iterator Where);

  const Hooks Callbacks;
  std::map<std::uint64_t, Report> Reports;
};

} // namespace mimosacart
