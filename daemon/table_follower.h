/// \file
/// Reads one table of the store and follows its changes.
#pragma once

#include "core/time.h"
#include "daemon/event_log.h"
#include "direct/table_sync.h"
#include "platform/store_client.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace mimosacart {

/// Calls of a TableFollower to the store, by cause.
struct StoreCallCounts {
  /// Pages of the whole table.
  std::uint64_t Pages = 0;
  /// Changes that the store returns at once: those that this host lacked, and
  /// retries.
  std::uint64_t Fetches = 0;
  /// Waits for changes.
  std::uint64_t Polls = 0;

  std::uint64_t total() const { return Pages + Fetches + Polls; }
};

/// How a TableFollower calls the store and waits.
struct TableCalls {
  using RowsHook = std::function<void(StoreResult<StoreRows>)>;
  using CancelHook = std::function<void()>;

  /// Reads the page of the table that starts at \p FirstKey.
  std::function<void(const std::string &FirstKey, RowsHook Done)> ReadPage;
  /// Requests the rows that changed after \p After. The store answers when
  /// there are some, or after \p MaxWait. Calling the result cancels the call,
  /// whose hook is then not called.
  std::function<CancelHook(StoreVersion After, Duration MaxWait, RowsHook Done)>
      AwaitChanges;
  /// Runs a task after \p Delay, unless another call replaces it.
  std::function<void(Duration Delay, std::function<void()> Task)> RunAfter;
  /// Cancels the task that waits.
  std::function<void()> CancelTask;
};

/// Calls \p Store, which must outlive the result, for \p Table.
TableCalls makeTableCalls(boost::asio::io_context &Context, StoreClient &Store,
                          const std::string &Table);

/// Waits for changes of a table if the read mode requires it. Reads the whole
/// table first unless peers have sent it, and again after the store has
/// discarded changes that this host has not seen or has come back from an older
/// copy. Until the whole table is there, the rows known before stay in use.
class TableFollower {
public:
  struct Hooks {
    /// Called with all rows of the table as of a version. Returns false if they
    /// are older than the cached rows.
    std::function<bool(const std::vector<TableRow> &, StoreVersion Version)>
        TableRead;
    /// Called with the rows that changed, up to a version.
    std::function<void(const std::vector<TableRow> &, StoreVersion Version)>
        RowsChanged;
    /// Called on the first failed call, not again until StoreRegained is
    /// called.
    std::function<void()> StoreLost;
    /// Called when the store answers again after failures, or when this host
    /// stops reading after failures because other hosts read for it.
    std::function<void()> StoreRegained;
    /// Returns the version up to which the cached table is complete, from the
    /// store or from peers.
    std::function<StoreVersion()> KnownVersion;
    /// Returns the longest pause between calls to a store that does not answer.
    std::function<Duration()> LongestRetry;
    /// Returns how long to wait for the whole table from peers before it is
    /// read again because the store's changes do not continue the cached rows.
    std::function<Duration(bool AfterFailures)> WholeReadDelay;
  };

  /// \p RandomSeed varies the pauses between retries. \p Table is its name in
  /// logs.
  TableFollower(TableCalls StoreCalls, std::string Table, EventLog &Log,
                Hooks Callbacks, std::uint32_t RandomSeed);
  TableFollower(const TableFollower &) = delete;
  TableFollower &operator=(const TableFollower &) = delete;

  /// Reads the whole table in any read mode, as peers cannot send it.
  void readTable();
  /// Sets how to follow changes from now on.
  void setReadMode(ReadMode NewMode);
  /// Cancels the wait for changes and ignores results of open calls.
  void stop();
  const StoreCallCounts &calls() const { return Calls; }

private:
  /// Reads the page of the table that starts at \p Key, or at the first row if
  /// \p Key is empty.
  void readFrom(const std::string &Key);
  void onPage(StoreRows Page);
  /// Requests the changes after the known version. The store answers when there
  /// are changes, or after \p Wait.
  void awaitChanges(Duration Wait);
  /// Waits for further changes if the read mode requires it.
  void continueFollowing();
  /// Whether the whole table has been read, or peers have sent it.
  bool hasTable() const {
    return HasRead || Callbacks.KnownVersion() != StoreVersion();
  }
  void retry();
  /// Ends the series of failures, if there is one.
  void recordRegained();
  /// Handles the answer to a request for the changes after \p After.
  void onChanges(StoreVersion After, StoreResult<StoreRows> Result);
  /// The store cannot tell what changed after \p After, for reason \p Error.
  void onHistoryLost(StoreVersion After, const std::error_code &Error);
  void onFailure(const std::error_code &Error);
  void cancelChanges();
  void runAfter(Duration Delay, std::function<void()> Task);

  const TableCalls Store;
  const std::string Table;
  EventLog &Log;
  const Hooks Callbacks;
  std::mt19937 Random;
  /// Cancels the latest request for changes; empty if there is none.
  TableCalls::CancelHook CancelChanges;
  /// Rows of the pages read so far, and the version of the first page. All
  /// pages are of one era.
  std::vector<TableRow> PageRows;
  StoreVersion FirstPageVersion;
  /// Whether the whole table has been read at least once.
  bool HasRead = false;
  /// Whether a page of the table is being read.
  bool ReadingTable = false;
  /// Whether no request for changes has succeeded since the mode became Active.
  bool JustActivated = false;
  ReadMode Mode = ReadMode::None;
  /// Failed calls in a row.
  unsigned Failures = 0;
  StoreCallCounts Calls;
  bool Stopped = false;
};

} // namespace mimosacart
