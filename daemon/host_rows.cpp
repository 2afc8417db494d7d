#include "daemon/host_rows.h"

#include "platform/row_codec.h"

namespace mimosacart {

void HostRows::add() {
  if (Added && !MayBeLost)
    return;
  Added = true;
  MayBeLost = false;
  ++Calls;
  Store.writeRow(
      HostsTableName, Name, writeHost(PeerAddress),
      [this](const StoreResult<void> &Result) {
        if (Result.has_value())
          return;
        Added = false;
        Log.error("host_row_not_written", {{"why", Result.error().message()}});
      });
}

void HostRows::remove() {
  if (!Added)
    return;
  ++Calls;
  Store.removeRow(HostsTableName, Name,
                  [this](const StoreResult<void> &Result) {
                    if (Result.has_error())
                      Log.error("host_row_not_removed",
                                {{"why", Result.error().message()}});
                  });
}

void HostRows::read(AddressesHook Done) {
  ++Calls;
  Store.readRows(
      HostsTableName, "",
      [this, Done = std::move(Done)](const StoreResult<StoreRows> &Result) {
        if (Result.has_error()) {
          Log.error("host_rows_not_read", {{"why", Result.error().message()}});
          return;
        }
        std::vector<std::string> Addresses;
        for (const TableRow &Row : Result.value().Rows)
          if (const auto Address = readHost(Row))
            Addresses.push_back(*Address);
          else
            Log.error("host_row_unusable", {{"row", Row.Key}});
        Done(std::move(Addresses));
      });
}

} // namespace mimosacart
