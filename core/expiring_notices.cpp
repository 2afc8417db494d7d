#include "core/expiring_notices.h"

#include "core/hash.h"

#include <algorithm>
#include <optional>
#include <utility>

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
      Drains[Server].ExpiresAt = Now + Lifetimes.DrainLifetime;
    return false;
  }
  Digest.reset();
  Drain &State = Drains[Server];
  State = {State.Version + 1, Draining, Now + Lifetimes.DrainLifetime};
  return true;
}

CrashNotice ExpiringNotices::addCrash(Instant Now, std::uint64_t Fingerprint,
                                      const ServerName &Server,
                                      std::uint64_t EventId) {
  CrashNotice Notice{Fingerprint, Server, EventId, Lifetimes.CrashLifetime};
  mergeCrash(Now, Notice);
  return Notice;
}

bool ExpiringNotices::mergeDrain(Instant Now, const DrainNotice &Received) {
  const Duration Remaining =
      std::min(Received.Remaining, Lifetimes.DrainLifetime);
  if (Remaining <= Duration::zero())
    return false;
  Digest.reset();
  Drain &State = Drains[Received.Server];
  if (Received.Version < State.Version)
    return false;
  if (Received.Version > State.Version) {
    State = {Received.Version, Received.Draining, Now + Remaining};
    return true;
  }
  // Two hosts may assign the same version independently; treating the server
  // as draining is the safer choice.
  const bool WasDraining = State.Draining;
  State.Draining = WasDraining || Received.Draining;
  State.ExpiresAt = std::max(State.ExpiresAt, Now + Remaining);
  return State.Draining != WasDraining;
}

bool ExpiringNotices::mergeCrash(Instant Now, const CrashNotice &Received) {
  const Duration Remaining =
      std::min(Received.Remaining, Lifetimes.CrashLifetime);
  if (Remaining <= Duration::zero())
    return false;
  const CrashKey Key{Received.Fingerprint, Received.Server, Received.EventId};
  Digest.reset();
  const auto [Found, IsNew] =
      Crashes.emplace(Key, Crash{Now + Remaining, Now, Received.Excused});
  if (IsNew)
    return true;
  return Received.Excused && !std::exchange(Found->second.Excused, true);
}

bool ExpiringNotices::isNews(const CrashNotice &Received) const {
  if (Received.Remaining <= Duration::zero())
    return false;
  const auto Found =
      Crashes.find({Received.Fingerprint, Received.Server, Received.EventId});
  return Found == Crashes.end() || (Received.Excused && !Found->second.Excused);
}

bool ExpiringNotices::isDraining(Instant Now, const ServerName &Server) const {
  const auto Found = Drains.find(Server);
  return Found != Drains.end() && Found->second.Draining &&
         Found->second.ExpiresAt > Now;
}

std::size_t ExpiringNotices::crashCount(Instant Now,
                                        std::uint64_t Fingerprint) const {
  auto Next = Crashes.lower_bound({Fingerprint, ServerName(), 0});
  std::map<ServerName, std::vector<Instant>> EndsByServer;
  for (; Next != Crashes.end(); ++Next) {
    if (Next->first.Fingerprint != Fingerprint)
      break;
    if (Next->second.ExpiresAt > Now && !Next->second.Excused)
      EndsByServer[Next->first.Server].push_back(Next->second.SeenAt);
  }
  std::size_t Count = 0;
  for (auto &[Server, Ends] : EndsByServer) {
    std::sort(Ends.begin(), Ends.end());
    std::optional<Instant> Last;
    for (const Instant End : Ends) {
      if (Last && End - *Last < Lifetimes.SameEndInterval)
        continue;
      ++Count;
      Last = End;
    }
  }
  return Count;
}

std::vector<CrashNotice>
ExpiringNotices::countedCrashes(Instant Now, std::uint64_t Fingerprint) const {
  std::vector<CrashNotice> Result;
  auto Next = Crashes.lower_bound({Fingerprint, ServerName(), 0});
  for (; Next != Crashes.end(); ++Next) {
    const auto &[Key, State] = *Next;
    if (Key.Fingerprint != Fingerprint)
      break;
    if (State.ExpiresAt > Now && !State.Excused)
      Result.push_back(
          {Key.Fingerprint, Key.Server, Key.EventId, State.ExpiresAt - Now});
  }
  return Result;
}

std::vector<CrashNotice>
ExpiringNotices::excuseCrashes(Instant Now, std::uint64_t Fingerprint) {
  std::vector<CrashNotice> Result = countedCrashes(Now, Fingerprint);
  for (CrashNotice &Notice : Result) {
    Notice.Excused = true;
    mergeCrash(Now, Notice);
  }
  return Result;
}

void ExpiringNotices::renewCrashes(Instant Now, std::uint64_t Fingerprint) {
  auto Next = Crashes.lower_bound({Fingerprint, ServerName(), 0});
  for (; Next != Crashes.end(); ++Next) {
    if (Next->first.Fingerprint != Fingerprint)
      break;
    if (Next->second.ExpiresAt > Now)
      Next->second.ExpiresAt = Now + Lifetimes.CrashLifetime;
  }
}

std::vector<ServerName> ExpiringNotices::expire(Instant Now) {
  std::vector<ServerName> UndrainedServers;
  for (const auto &[Server, State] : Drains)
    if (State.ExpiresAt <= Now && State.Draining)
      UndrainedServers.push_back(Server);
  const std::size_t CountBefore = Drains.size() + Crashes.size();
  std::erase_if(Drains, [Now](const auto &Entry) {
    return Entry.second.ExpiresAt <= Now;
  });
  std::erase_if(Crashes, [Now](const auto &Entry) {
    return Entry.second.ExpiresAt <= Now;
  });
  if (Drains.size() + Crashes.size() != CountBefore)
    Digest.reset();
  return UndrainedServers;
}

std::vector<DrainNotice> ExpiringNotices::drains(Instant Now) const {
  std::vector<DrainNotice> Result;
  for (const auto &[Server, State] : Drains)
    Result.push_back(
        {Server, State.Version, State.Draining, State.ExpiresAt - Now});
  return Result;
}

std::vector<CrashNotice> ExpiringNotices::crashes(Instant Now) const {
  std::vector<CrashNotice> Result;
  for (const auto &[Key, State] : Crashes)
    Result.push_back({Key.Fingerprint, Key.Server, Key.EventId,
                      State.ExpiresAt - Now, State.Excused});
  return Result;
}

std::uint64_t ExpiringNotices::digest() const {
  if (Digest)
    return *Digest;
  std::uint64_t Result = 0;
  for (const auto &[Server, State] : Drains)
    Result += stableHash(Server.value(),
                         State.Version * 2 + (State.Draining ? 1 : 0));
  for (const auto &[Key, State] : Crashes) {
    const std::uint64_t Hash =
        stableHash(Key.Server.value(), Key.Fingerprint + Key.EventId);
    Result += State.Excused ? stableHash("excused", Hash) : Hash;
  }
  Digest = Result;
  return Result;
}

} // namespace mimosacart
