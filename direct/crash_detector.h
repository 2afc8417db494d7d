/// \file
/// Detects which requests may have crashed a server: those whose calls ended
/// without an answer shortly before the server turned out to have ended.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "direct/served_requests.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mimosacart {

/// What speaks for a crash of a server by a request.
struct CrashEvidence {
  std::uint64_t Fingerprint = 0;
  ServerName Server;
  /// Where the call was sent. A process whose earlier ids are still in
  /// discovery has one address.
  std::string Address;
  Instant CallStartedAt{};
  Instant CallEndedAt{};
};

/// Remembers calls without an answer for a short time and reports a crash for
/// each of them once there is evidence that the server has ended.
class CrashDetector {
public:
  /// Called once for each request that may have crashed a server.
  using CrashHook = std::function<void(Instant, const CrashEvidence &)>;

  /// Time within which the end of a server is attributed to a call without an
  /// answer; long enough for the server's next entry in discovery.
  static constexpr Duration SuspicionLifetime = std::chrono::seconds(6);
  /// A request that a server ran to its end this long before, or later, did not
  /// crash the server of the call. Not longer than copies may be sent on after
  /// the third crash: the request may crash servers from some moment on.
  static constexpr Duration EarlierSuccess = std::chrono::seconds(3);
  /// Calls remembered for each server; the oldest are dropped first.
  static constexpr std::size_t MaxSuspectsPerServer = 64;

  explicit CrashDetector(CrashHook OnCrash) : OnCrash(std::move(OnCrash)) {}

  /// A call ended without an answer, or was cancelled.
  void addSuspect(const CrashEvidence &Call);
  /// A server ran a request with \p Fingerprint to its end.
  void onServed(Instant Now, std::uint64_t Fingerprint) {
    Served.record(Now, Fingerprint);
  }
  /// Whether a server ran such a request to its end at \p At, shortly before or
  /// later.
  bool wasServedAround(Instant At, std::uint64_t Fingerprint) const;
  /// The server answered a call or a probe, so that silence from now on says
  /// nothing about earlier calls.
  void onAnswered(const ServerName &Server);
  /// The server does not answer, or another one answers at its address.
  void onSilent(Instant Now, const ServerName &Server);
  /// Discovery shows that the server has ended, by a new incarnation or a
  /// missing entry, although it answers or was not asked.
  void onEnded(Instant Now, const ServerName &Server);

private:
  struct Suspect {
    CrashEvidence Evidence;
    /// The server has answered since.
    bool ServerAnswered = false;
  };

  /// Reports the server's recent suspects and forgets all of them.
  void report(Instant Now, const ServerName &Server, bool IncludeAnswered);

  const CrashHook OnCrash;
  ServedRequests Served;
  std::map<ServerName, std::vector<Suspect>> Suspects;
};

} // namespace mimosacart
