#include "direct/crash_detector.h"

#include <set>
#include <utility>

namespace mimosacart {

void CrashDetector::addSuspect(const CrashEvidence &Call) {
  const Instant Now = Call.CallEndedAt;
  std::vector<Suspect> &Calls = Suspects[Call.Server];
  std::erase_if(Calls, [Now](const Suspect &Earlier) {
    return Now - Earlier.Evidence.CallEndedAt > SuspicionLifetime;
  });
  if (Calls.size() == MaxSuspectsPerServer)
    Calls.erase(Calls.begin());
  Calls.push_back({Call, false});
}

void CrashDetector::onAnswered(const ServerName &Server) {
  const auto Found = Suspects.find(Server);
  if (Found == Suspects.end())
    return;
  for (Suspect &Call : Found->second)
    Call.ServerAnswered = true;
}

bool CrashDetector::wasServedAround(Instant At,
                                    std::uint64_t Fingerprint) const {
  const std::optional<Instant> ServedAt = Served.lastServed(Fingerprint);
  return ServedAt && *ServedAt >= At - EarlierSuccess;
}

void CrashDetector::onSilent(Instant Now, const ServerName &Server) {
  report(Now, Server, false);
}

void CrashDetector::onEnded(Instant Now, const ServerName &Server) {
  report(Now, Server, true);
}

void CrashDetector::report(Instant Now, const ServerName &Server,
                           bool IncludeAnswered) {
  const auto Found = Suspects.find(Server);
  if (Found == Suspects.end())
    return;
  const std::vector<Suspect> Calls = std::move(Found->second);
  Suspects.erase(Found);
  std::vector<Suspect> Remaining;
  std::set<std::uint64_t> Reported;
  for (const Suspect &Call : Calls) {
    if (Now - Call.Evidence.CallEndedAt > SuspicionLifetime)
      continue;
    if (wasServedAround(Call.Evidence.CallStartedAt, Call.Evidence.Fingerprint))
      continue;
    if (Call.ServerAnswered && !IncludeAnswered)
      Remaining.push_back(Call);
    else if (Reported.insert(Call.Evidence.Fingerprint).second)
      OnCrash(Now, Call.Evidence);
  }
  if (!Remaining.empty())
    Suspects[Server] = std::move(Remaining);
}

} // namespace mimosacart
