#include "core/expiring_notices.h"

#include "core/hash.h"

#include <algorithm>

namespace mimosacart {

std::uint64_t fingerprintOf(std::string_view Service, std::string_view Kind,
                            std::string_view Target, std::string_view Body) {
  std::uint64_t Result = stableHash(Service);
  Result = stableHash(Kind, Result);
  Result = stableHash(Target, Result);
  return stableHash(Body, Result);
}

bool ExpiringNotices::setDraining(Instant Now, const ServerName &Server,
                                  bool Draining) {
  if (isDraining(Now, Server) == Draining) {
    if (Draining)
      Drains[Server].Until = Now + Lifetimes.DrainLifetime;
    return false;
  }
  Drain &Known = Drains[Server];
  Known = {Known.Version + 1, Draining, Now + Lifetimes.DrainLifetime};
  return true;
}

CrashNotice ExpiringNotices::addCrash(Instant Now, std::uint64_t Fingerprint,
                                      const ServerName &Server,
                                      std::uint64_t EventId) {
  CrashNotice Added{Fingerprint, Server, EventId, Lifetimes.CrashLifetime};
  mergeCrash(Now, Added);
  return Added;
}

bool ExpiringNotices::mergeDrain(Instant Now, const DrainNotice &Received) {
  const Duration Remaining =
      std::min(Received.Remaining, Lifetimes.DrainLifetime);
  if (Remaining <= Duration::zero())
    return false;
  Drain &Known = Drains[Received.Server];
  if (Received.Version < Known.Version)
    return false;
  if (Received.Version > Known.Version) {
    Known = {Received.Version, Received.Draining, Now + Remaining};
    return true;
  }
  // Two hosts may use one version at once; leaving is the safer reading.
  const bool WasDraining = Known.Draining;
  Known.Draining = WasDraining || Received.Draining;
  Known.Until = std::max(Known.Until, Now + Remaining);
  return Known.Draining != WasDraining;
}

bool ExpiringNotices::mergeCrash(Instant Now, const CrashNotice &Received) {
  const Duration Remaining =
      std::min(Received.Remaining, Lifetimes.CrashLifetime);
  if (Remaining <= Duration::zero())
    return false;
  const CrashKey Key{Received.Fingerprint, Received.Server, Received.EventId};
  return CrashesUntil.emplace(Key, Now + Remaining).second;
}

bool ExpiringNotices::isDraining(Instant Now, const ServerName &Server) const {
  const auto Found = Drains.find(Server);
  return Found != Drains.end() && Found->second.Draining &&
         Found->second.Until > Now;
}

std::size_t ExpiringNotices::crashCount(Instant Now,
                                        std::uint64_t Fingerprint) const {
  auto Next = CrashesUntil.lower_bound({Fingerprint, ServerName(), 0});
  std::size_t Count = 0;
  for (; Next != CrashesUntil.end(); ++Next) {
    if (Next->first.Fingerprint != Fingerprint)
      break;
    Count += Next->second > Now ? 1 : 0;
  }
  return Count;
}

std::vector<ServerName> ExpiringNotices::expire(Instant Now) {
  std::vector<ServerName> Returned;
  for (const auto &[Server, Known] : Drains)
    if (Known.Until <= Now && Known.Draining)
      Returned.push_back(Server);
  std::erase_if(Drains,
                [Now](const auto &Entry) { return Entry.second.Until <= Now; });
  std::erase_if(CrashesUntil,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  return Returned;
}

std::vector<DrainNotice> ExpiringNotices::drains(Instant Now) const {
  std::vector<DrainNotice> Result;
  for (const auto &[Server, Known] : Drains)
    Result.push_back(
        {Server, Known.Version, Known.Draining, Known.Until - Now});
  return Result;
}

std::vector<CrashNotice> ExpiringNotices::crashes(Instant Now) const {
  std::vector<CrashNotice> Result;
  for (const auto &[Key, Until] : CrashesUntil)
    Result.push_back({Key.Fingerprint, Key.Server, Key.EventId, Until - Now});
  return Result;
}

std::uint64_t ExpiringNotices::digest() const {
  std::uint64_t Result = 0;
  for (const auto &[Server, Known] : Drains)
    Result += stableHash(Server.value(),
                         Known.Version * 2 + (Known.Draining ? 1 : 0));
  for (const auto &[Key, Until] : CrashesUntil)
    Result += stableHash(Key.Server.value(), Key.Fingerprint + Key.EventId);
  return Result;
}

} // namespace mimosacart
