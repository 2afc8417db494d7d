#include "core/crash_reporter.h"

namespace mimosacart {

namespace {

/// Longest time that a result is held. A peer that has not confirmed by then
/// may be frozen or partitioned, in which case callers can hardly reach it
/// either.
constexpr Duration MaxHold = std::chrono::milliseconds(300);

} // namespace

void CrashReporter::report(Instant Now, const AttemptKey &Attempt,
                           const CrashNotice &Notice,
                           const std::vector<HostName> &Peers) {
  if (Peers.empty())
    return;
  Report NewReport;
  NewReport.Attempt = Attempt;
  NewReport.UnconfirmedPeers = {Peers.begin(), Peers.end()};
  NewReport.ReleaseAt = Now + MaxHold;
  Reports[Notice.EventId] = std::move(NewReport);
  for (const HostName &Peer : Peers)
    Callbacks.Send(Peer, CrashReport{Notice});
}

bool CrashReporter::hold(const WorkItem &Item, const AttemptResult &Result) {
  for (auto &[EventId, Pending] : Reports) {
    if (Pending.Attempt != keyOf(Item))
      continue;
    Pending.HeldResult.emplace(Item, Result);
    return true;
  }
  return false;
}

void CrashReporter::onAck(const HostName &From, std::uint64_t EventId) {
  const auto Found = Reports.find(EventId);
  if (Found == Reports.end())
    return;
  Found->second.UnconfirmedPeers.erase(From);
  if (Found->second.UnconfirmedPeers.empty())
    release(Found);
}

void CrashReporter::tick(Instant Now) {
  for (auto Next = Reports.begin(); Next != Reports.end();) {
    const auto Current = Next++;
    if (Current->second.ReleaseAt <= Now)
      release(Current);
  }
}

void CrashReporter::release(
    std::map<std::uint64_t, Report>::iterator Position) {
  const Report Finished = std::move(Position->second);
  Reports.erase(Position);
  if (Finished.HeldResult)
    Callbacks.Release(Finished.HeldResult->first, Finished.HeldResult->second);
}

} // namespace mimosacart
