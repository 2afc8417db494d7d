/// \file
/// Keeps the records of quarantined requests in a table of the store.
#pragma once

#include "daemon/event_log.h"
#include "direct/crash_records.h"
#include "platform/store_client.h"

#include <functional>
#include <vector>

namespace mimosacart {

/// Carries out the calls to the store that CrashRecords requests.
class CrashRecordStore {
public:
  struct Hooks {
    /// A record was written or removed, or the call failed.
    std::function<void(std::uint64_t Fingerprint, bool Succeeded)> Changed;
    /// Called with the crashes in all records; not called if the read failed.
    std::function<void(std::vector<CrashNotice>)> Read;
  };

  CrashRecordStore(StoreClient &Store, EventLog &Log, Hooks Callbacks)
      : Store(Store), Log(Log), Callbacks(std::move(Callbacks)) {}
  CrashRecordStore(const CrashRecordStore &) = delete;
  CrashRecordStore &operator=(const CrashRecordStore &) = delete;

  /// Hooks through which CrashRecords calls the store.
  CrashRecords::Hooks coreHooks();
  /// Number of calls to the store so far.
  std::uint64_t calls() const { return Calls; }

private:
  void read(const std::string &FirstKey);
  void onPage(const StoreRows &Page);
  StoreClient::WriteHook reportChange(std::uint64_t Fingerprint);

  StoreClient &Store;
  EventLog &Log;
  const Hooks Callbacks;
  /// Crashes in the pages read so far.
  std::vector<CrashNotice> Recorded;
  std::uint64_t Calls = 0;
};

} // namespace mimosacart
