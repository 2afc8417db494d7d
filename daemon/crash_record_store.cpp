#include "daemon/crash_record_store.h"

#include "platform/row_codec.h"

#include <utility>

namespace mimosacart {

CrashRecords::Hooks CrashRecordStore::coreHooks() {
  CrashRecords::Hooks Result;
  Result.Write = [this](std::uint64_t Fingerprint,
                        const std::vector<CrashNotice> &Crashes) {
    ++Calls;
    Log.info("quarantine_recorded",
             {{"fingerprint", std::to_string(Fingerprint)},
              {"crashes", std::to_string(Crashes.size())}});
    Store.writeRow(CrashRecordsTableName, writeCrashKey(Fingerprint),
                   writeCrashes(Crashes), reportChange(Fingerprint));
  };
  Result.Remove = [this](std::uint64_t Fingerprint) {
    ++Calls;
    Store.removeRow(CrashRecordsTableName, writeCrashKey(Fingerprint),
                    reportChange(Fingerprint));
  };
  Result.Read = [this] {
    Recorded.clear();
    read("");
  };
  return Result;
}

StoreClient::WriteHook
CrashRecordStore::reportChange(std::uint64_t Fingerprint) {
  return [this, Fingerprint](const StoreResult<void> &Result) {
    if (Result.has_error())
      Log.error("quarantine_not_recorded",
                {{"fingerprint", std::to_string(Fingerprint)},
                 {"why", Result.error().message()}});
    Callbacks.Changed(Fingerprint, Result.has_value());
  };
}

void CrashRecordStore::read(const std::string &FirstKey) {
  ++Calls;
  Store.readRows(
      CrashRecordsTableName, FirstKey,
      [this](const StoreResult<StoreRows> &Result) {
        if (Result.has_error())
          Log.error("quarantine_not_read", {{"why", Result.error().message()}});
        else
          onPage(Result.value());
      });
}

void CrashRecordStore::onPage(const StoreRows &Page) {
  for (const TableRow &Row : Page.Rows) {
    const std::vector<CrashNotice> Crashes = readCrashes(Row);
    Recorded.insert(Recorded.end(), Crashes.begin(), Crashes.end());
  }
  if (Page.More && !Page.Rows.empty()) {
    // The next page starts at the smallest key above the last one read.
    read(Page.Rows.back().Key + '\x01');
    return;
  }
  Callbacks.Read(std::exchange(Recorded, {}));
}

} // namespace mimosacart
