#include "direct/crash_records.h"

#include <algorithm>

namespace mimosacart {

void CrashRecords::onCrashReported(std::uint64_t Fingerprint) {
  Records.try_emplace(Fingerprint);
}

void CrashRecords::onChanged(std::uint64_t Fingerprint, bool Succeeded) {
  const auto Found = Records.find(Fingerprint);
  if (Found == Records.end())
    return;
  Record &Entry = Found->second;
  if (Succeeded && Entry.Removing && !Entry.MayBeLost)
    Records.erase(Found);
  else if (Succeeded || Entry.Removing)
    Entry.State = RecordState::Written;
  else
    Entry.State = RecordState::Unwritten;
}

void CrashRecords::onRead(const std::vector<CrashNotice> &Recorded) {
  HasRead = true;
  for (const CrashNotice &Notice : Recorded)
    Records[Notice.Fingerprint].State = RecordState::Written;
}

void CrashRecords::onStoreEraChanged(Instant Now, std::size_t Rank) {
  for (auto &[Fingerprint, Entry] : Records) {
    Entry.MayBeLost = true;
    Entry.RetryAt =
        std::max(Entry.RetryAt,
                 Now + RewriteDelayPerRank * static_cast<Duration::rep>(Rank));
  }
}

void CrashRecords::tick(Instant Now, std::size_t Rank,
                        const ExpiringNotices &Notices) {
  readOnce(Now, Rank);
  for (auto Next = Records.begin(); Next != Records.end();) {
    const auto Position = Next++;
    if (update(Now, Position->first, Position->second, Notices))
      Records.erase(Position);
  }
}

void CrashRecords::readOnce(Instant Now, std::size_t Rank) {
  if (!NextReadAt)
    NextReadAt = Now + DiscoveryTime;
  if (HasRead || Rank >= ReaderCount || Now < *NextReadAt)
    return;
  NextReadAt = Now + RetryInterval;
  Callbacks.Read();
}

bool CrashRecords::update(Instant Now, std::uint64_t Fingerprint, Record &Entry,
                          const ExpiringNotices &Notices) {
  if (Entry.State == RecordState::Changing || Now < Entry.RetryAt)
    return false;
  const std::size_t Crashes = Notices.crashCount(Now, Fingerprint);
  const bool IsWritten = Entry.State == RecordState::Written;
  if (!IsWritten && Crashes == 0)
    return true;
  const bool Write = (!IsWritten || Entry.MayBeLost) && Crashes >= MinCrashes;
  const bool Remove = IsWritten && Crashes == 0;
  if (!Write && !Remove)
    return false;
  Entry = {RecordState::Changing, Remove, Now + RetryInterval, false};
  if (Remove) {
    Callbacks.Remove(Fingerprint);
    return false;
  }
  Callbacks.Write(Fingerprint, Notices.countedCrashes(Now, Fingerprint));
  return false;
}

} // namespace mimosacart
