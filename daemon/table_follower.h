/// \file
/// Keeps up with one table of the store: reads it whole, then waits for
/// changes, and starts over whenever it may have missed some.
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

/// Reads a table whole at the start, and waits for changes while it is told to
/// follow.
class TableFollower {
public:
  struct Hooks {
    /// All rows as of a version; false if they are older than what is known.
    std::function<bool(const std::vector<TableRow> &, std::uint64_t Version)>
        Whole;
    std::function<void(const std::vector<TableRow> &, std::uint64_t Version)>
        Changed;
    /// The first call failed after one that did not.
    std::function<void()> Lost;
    /// The store answered again after a loss, or others vouch for it.
    std::function<void()> Regained;
    /// Version up to which the table is known, also from peers.
    std::function<std::uint64_t()> Known;
    /// Pause between calls to a store that does not answer.
    std::function<Duration()> LongestRetry;
  };

  TableFollower(boost::asio::io_context &Context, StoreClient &Store,
                std::string Table, EventLog &Log, Hooks Callbacks);
  ~TableFollower();
  TableFollower(const TableFollower &) = delete;
  TableFollower &operator=(const TableFollower &) = delete;

  void start() { readFrom(""); }
  void follow(ReadMode Next);
  void stop();
  std::uint64_t calls() const { return Calls; }

private:
  struct Timer;

  void readFrom(const std::string &Key);
  void onPage(StoreRows Page);
  /// Waits for changes, or asks for them at once if \p Wait is zero.
  void awaitChanges(Duration Wait);
  void proceed();
  void recordAnswered();
  void onChanges(StoreResult<StoreRows> Result);
  void onFailure(const std::error_code &Error);
  void later(Duration Delay, std::function<void()> Next);

  StoreClient &Store;
  const std::string Table;
  EventLog &Log;
  const Hooks Callbacks;
  std::mt19937 Random;
  std::unique_ptr<Timer> Delay;
  std::shared_ptr<HttpCallHandle> Waiting;
  /// Rows of the pages read so far, and the version of the first page.
  std::vector<TableRow> Pages;
  std::uint64_t PagesVersion = 0;
  /// The table was read whole once.
  bool Begun = false;
  bool ReadingWhole = false;
  /// Nothing was answered since it was told to follow closely.
  bool JustTold = false;
  ReadMode Mode = ReadMode::None;
  unsigned Failures = 0;
  std::uint64_t Calls = 0;
  bool Stopped = false;
};

} // namespace mimosacart
