#include "core/crash_reporter.h"

namespace mimosacart {

namespace {

/// A peer that has not confirmed by then is not waited for: it may be frozen
/// or cut off, and then callers hardly reach it either.
constexpr Duration MaxHold = std::chrono::milliseconds(300);

} // namespace

void CrashReporter::report(Instant Now, const AttemptKey &Attempt,
                           const CrashNotice &Notice,
                           const std::vector<HostName> &Peers) {
  if (Peers.empty())
    return;
  Report Added;
  Added.Attempt = Attempt;
  Added.Unheard = {Peers.begin(), Peers.end()};
  Added.Until = Now + MaxHold;
  Reports[Notice.EventId] = std::move(Added);
  for (const HostName &Peer : Peers)
    Callbacks.Send(Peer, CrashReport{Notice});
}

bool CrashReporter::hold(const WorkItem &Item, const AttemptResult &Result) {
  for (auto &[EventId, Open] : Reports) {
    if (Open.Attempt != keyOf(Item))
      continue;
    Open.Held.emplace(Item, Result);
    return true;
  }
  return false;
}

void CrashReporter::onAck(const HostName &From, std::uint64_t EventId) {
  const auto Found = Reports.find(EventId);
  if (Found == Reports.end())
    return;
  Found->second.Unheard.erase(From);
  if (Found->second.Unheard.empty())
    release(Found);
}

void CrashReporter::tick(Instant Now) {
  for (auto Next = Reports.begin(); Next != Reports.end();) {
    const auto Current = Next++;
    if (Current->second.Until <= Now)
      release(Current);
  }
}

void CrashReporter::release(std::map<std::uint64_t, Report>::iterator Where) {
  const Report Done = std::move(Where->second);
  Reports.erase(Where);
  if (Done.Held)
    Callbacks.Release(Done.Held->first, Done.Held->second);
}

} // namespace mimosacart
