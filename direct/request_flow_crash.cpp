/// \file
/// Requests of RequestFlow that are suspected of crashing servers.
#include "direct/request_flow.h"

namespace mimosacart {

bool RequestFlow::isQuarantined(const FlowState &Flow) const {
  return Callbacks.CrashCount(Flow.Request.Fingerprint) >= Policy.MaxCrashes;
}

/// Also called for an answer that comes after its request has ended.
void RequestFlow::recordServed(Instant Now, std::uint64_t Fingerprint) {
  Crashes.onServed(Now, Fingerprint);
  if (Callbacks.CrashCount(Fingerprint) > 0)
    Callbacks.CrashesExcused(Fingerprint);
}

void RequestFlow::checkForCrash(Instant Now, const OpenCall &Call) {
  Crashes.addSuspect(
      {Call.Fingerprint, Call.Server, Call.Address, Call.StartedAt, Now});
  const DiscoveredServer *Server = Registry.find(Call.Server);
  if (Server == nullptr) {
    Crashes.onEnded(Now, Call.Server);
    return;
  }
  if (Constraints.isQuiet(Now, Call.Server))
    return;
  // Idle connections may have gone silent by themselves.
  startProbe(Call.HealthPath, *Server, true);
}

} // namespace mimosacart
