/// \file
/// Notices of crashed servers in FleetGossip. Many may come at once, so each
/// host sends and logs them in batches.
#include "direct/fleet_gossip.h"

#include <utility>

namespace mimosacart {

namespace {

/// All hosts that served a request excuse a crash reported of it. Each tells
/// the others after this time for each rank before it, unless it was told.
constexpr Duration ExcuseDelayPerRank = std::chrono::milliseconds(20);
/// Each host with an open request reports the same crash of a server. A server
/// that crashed needs longer to be back and crash again.
constexpr NoticeLifetimes CrashNoticeLifetimes = {.SameEndInterval =
                                                      std::chrono::seconds(3)};
/// Number of different requests that a log line of a batch names.
constexpr std::size_t MaxLoggedFingerprints = 16;

} // namespace

NoticeLifetimes FleetGossip::crashNoticeLifetimes() {
  return CrashNoticeLifetimes;
}

void FleetGossip::addCrash(Instant At, std::uint64_t Fingerprint,
                           const ServerName &Server) {
  Now = At;
  Records.onCrashReported(Fingerprint);
  OwnUpdates.addCrash(Now,
                      Notices.addCrash(Now, Fingerprint, Server, ++LastEvent));
}

void FleetGossip::excuseCrashes(Instant At, std::uint64_t Fingerprint) {
  Now = At;
  for (CrashNotice &Notice : Notices.excuseCrashes(Now, Fingerprint))
    OwnUpdates.addCrash(Now, std::move(Notice));
}

void FleetGossip::onCrashRecordsRead(Instant At,
                                     std::vector<CrashNotice> Recorded) {
  Now = At;
  Records.onRead(Recorded);
  for (CrashNotice &Notice : Recorded) {
    Notice.Remaining = CrashNoticeLifetimes.CrashLifetime;
    if (Notices.mergeCrash(Now, Notice))
      OwnUpdates.addCrash(Now, std::move(Notice));
  }
}

std::size_t FleetGossip::crashes(std::uint64_t Fingerprint) const {
  return Notices.crashCount(Now, Fingerprint);
}

void FleetGossip::mergeCrash(CrashNotice Notice, bool Forward) {
  const std::uint64_t Fingerprint = Notice.Fingerprint;
  const bool Told = Notice.Excused;
  if (Told)
    UntoldExcuses.erase(Fingerprint);
  if (!Notices.isNews(Notice))
    return;
  Notice.Excused = Told || Callbacks.WasServed(Fingerprint);
  if (!Notices.mergeCrash(Now, Notice))
    return;
  if (Notice.Excused && !Told && !UntoldExcuses.contains(Fingerprint))
    UntoldExcuses[Fingerprint] =
        Now + ExcuseDelayPerRank * static_cast<Duration::rep>(reachableRank(
                                       std::to_string(Fingerprint)));
  ToldCrashes.push_back({Fingerprint, Notice.Server, Notice.Excused});
  if (Forward)
    Forwards.addCrash(Now, std::move(Notice));
  if (NextToldLogAt == Instant::max())
    NextToldLogAt = Now + UpdateBatch::MinInterval;
}

void FleetGossip::tellExcuses() {
  if (UntoldExcuses.empty())
    return;
  for (const CrashNotice &Notice : Notices.crashes(Now)) {
    const auto Found = UntoldExcuses.find(Notice.Fingerprint);
    if (Notice.Excused && Found != UntoldExcuses.end() && Found->second <= Now)
      OwnUpdates.addCrash(Now, Notice);
  }
  std::erase_if(UntoldExcuses,
                [this](const auto &Entry) { return Entry.second <= Now; });
}

void FleetGossip::logToldCrashes() {
  if (ToldCrashes.empty())
    return;
  std::set<std::uint64_t> Fingerprints;
  std::size_t ExcusedCount = 0;
  for (const ToldCrash &Told : ToldCrashes) {
    if (Fingerprints.size() < MaxLoggedFingerprints)
      Fingerprints.insert(Told.Fingerprint);
    ExcusedCount += Told.Excused ? 1 : 0;
  }
  std::string List;
  for (const std::uint64_t Fingerprint : Fingerprints)
    List += (List.empty() ? "" : ",") + std::to_string(Fingerprint);
  Callbacks.Log("crash_told", {{"count", std::to_string(ToldCrashes.size())},
                               {"fingerprint", List},
                               {"server", ToldCrashes.front().Server.value()},
                               {"excused", std::to_string(ExcusedCount)}});
  ToldCrashes.clear();
}

void FleetGossip::sendBatches() {
  if (Now >= OwnUpdates.dueAt())
    disseminate(OwnUpdates.take(Now));
  if (Now >= Forwards.dueAt())
    forwardInDataCentre(Forwards.take(Now));
  if (Now < NextToldLogAt)
    return;
  logToldCrashes();
  NextToldLogAt = Instant::max();
}

void FleetGossip::sendWaitingCrashes() {
  while (!OwnUpdates.isEmpty())
    disseminate(OwnUpdates.take(Now));
  while (!Forwards.isEmpty())
    forwardInDataCentre(Forwards.take(Now));
  logToldCrashes();
}

} // namespace mimosacart
