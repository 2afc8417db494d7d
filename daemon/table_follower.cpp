#include "daemon/table_follower.h"

#include "net/asio.h"
#include "net/one_shot_timer.h"

#include <algorithm>
#include <utility>

namespace mimosacart {

namespace {

/// Longest wait for changes in the mode Active. Other hosts rely on an active
/// reader to detect within about this time that the store no longer answers.
constexpr Duration ActiveWait = std::chrono::milliseconds(900);
/// Longest wait for changes in the mode Standby.
constexpr Duration StandbyWait = std::chrono::seconds(8);
/// Pause after changes, so that those that follow soon are fetched together.
/// Also the pause before a table that was older than the cached rows is read
/// again.
constexpr Duration BatchPause = std::chrono::milliseconds(150);
/// The first pause between retries is the longest pause divided by this.
constexpr int FirstRetryDivisor = 8;
/// Longest pause between retries of the first read. It is short because a host
/// cannot serve before it has read the table.
constexpr Duration LongestFirstReadPause = std::chrono::milliseconds(800);
/// Largest random extension of a pause between retries, as a fraction of it. It
/// spreads the retries of several hosts over time.
constexpr double RetryExtension = 0.5;

} // namespace

TableCalls makeTableCalls(asio::io_context &Context, StoreClient &Store,
                          const std::string &Table) {
  TableCalls Result;
  Result.ReadPage = [&Store, Table](const std::string &FirstKey,
                                    TableCalls::RowsHook Done) {
    Store.readRows(Table, FirstKey, std::move(Done));
  };
  Result.AwaitChanges = [&Store, Table](StoreVersion After, Duration MaxWait,
                                        TableCalls::RowsHook Done) {
    const std::shared_ptr<HttpCallHandle> Call =
        Store.awaitChanges(Table, After, MaxWait, std::move(Done));
    return [Call] { Call->cancel(); };
  };
  const auto Timer = std::make_shared<OneShotTimer>(Context);
  Result.RunAfter = [Timer](Duration Delay, std::function<void()> Task) {
    Timer->start(Delay, std::move(Task));
  };
  Result.CancelTask = [Timer] { Timer->cancel(); };
  return Result;
}

TableFollower::TableFollower(TableCalls StoreCalls, std::string Table,
                             EventLog &Log, Hooks Callbacks,
                             std::uint32_t RandomSeed)
    : Store(std::move(StoreCalls)), Table(std::move(Table)), Log(Log),
      Callbacks(std::move(Callbacks)), Random(RandomSeed) {}

void TableFollower::stop() {
  Stopped = true;
  Store.CancelTask();
  cancelChanges();
}

void TableFollower::cancelChanges() {
  if (const auto Cancel = std::exchange(CancelChanges, nullptr))
    Cancel();
}

void TableFollower::readTable() {
  if (!ReadingTable && !Stopped)
    readFrom("");
}

void TableFollower::readFrom(const std::string &Key) {
  ++Calls.Pages;
  ReadingTable = true;
  if (Key.empty())
    PageRows.clear();
  Store.ReadPage(Key, [this, Key](StoreResult<StoreRows> Result) {
    if (Stopped)
      return;
    ReadingTable = false;
    if (Result.has_error()) {
      onFailure(Result.error());
      return;
    }
    if (Key.empty())
      FirstPageVersion = Result.value().Version;
    onPage(std::move(Result.value()));
  });
}

void TableFollower::onPage(StoreRows Page) {
  if (Page.Version.era() != FirstPageVersion.era()) {
    runAfter(BatchPause, [this] { readFrom(""); });
    return;
  }
  const bool HasMore = Page.More && !Page.Rows.empty();
  std::move(Page.Rows.begin(), Page.Rows.end(), std::back_inserter(PageRows));
  if (HasMore) {
    // The next page starts at the smallest key above the last one read.
    readFrom(PageRows.back().Key + '\x01');
    return;
  }
  recordRegained();
  const StoreVersion KnownVersion = Callbacks.KnownVersion();
  if (!Callbacks.TableRead(PageRows, FirstPageVersion)) {
    Log.info("store_read_is_old",
             {{"table", Table},
              {"version", std::to_string(FirstPageVersion.number())},
              {"known", std::to_string(KnownVersion.number())}});
    const bool IsOldEra = FirstPageVersion.era() < KnownVersion.era();
    runAfter(IsOldEra ? Callbacks.LongestRetry() : BatchPause,
             [this] { readFrom(""); });
    return;
  }
  HasRead = true;
  Log.info("table_read",
           {{"table", Table},
            {"rows", std::to_string(PageRows.size())},
            {"version", std::to_string(FirstPageVersion.number())},
            {"era", std::to_string(FirstPageVersion.era())}});
  PageRows.clear();
  continueFollowing();
}

void TableFollower::recordRegained() {
  if (Failures == 0)
    return;
  Log.info("store_regained",
           {{"table", Table}, {"failures", std::to_string(Failures)}});
  Failures = 0;
  Callbacks.StoreRegained();
}

void TableFollower::setReadMode(ReadMode NewMode) {
  if (NewMode == Mode || Stopped)
    return;
  Mode = NewMode;
  if (ReadingTable)
    return;
  if (!hasTable()) {
    if (Mode != ReadMode::None)
      readTable();
    return;
  }
  Store.CancelTask();
  cancelChanges();
  JustActivated = Mode == ReadMode::Active;
  if (Mode == ReadMode::Active)
    awaitChanges(Duration::zero());
  else if (Mode == ReadMode::None)
    recordRegained();
  else
    continueFollowing();
}

void TableFollower::continueFollowing() {
  if (Mode != ReadMode::None)
    awaitChanges(Mode == ReadMode::Active ? ActiveWait : StandbyWait);
}

void TableFollower::awaitChanges(Duration Wait) {
  ++(Wait == Duration::zero() ? Calls.Fetches : Calls.Polls);
  const StoreVersion After = Callbacks.KnownVersion();
  CancelChanges = Store.AwaitChanges(
      After, Wait, [this, After](StoreResult<StoreRows> Result) {
        if (!Stopped)
          onChanges(After, std::move(Result));
      });
}

void TableFollower::onChanges(StoreVersion After,
                              StoreResult<StoreRows> Result) {
  const bool IsHistoryLost =
      Result.has_error() && (Result.error() == StoreError::HistoryGone ||
                             Result.error() == StoreError::EraChanged);
  if (IsHistoryLost) {
    onHistoryLost(After, Result.error());
    return;
  }
  if (Result.has_error()) {
    onFailure(Result.error());
    return;
  }
  recordRegained();
  const StoreRows &Changes = Result.value();
  Callbacks.RowsChanged(Changes.Rows, Changes.Version);
  // A host may become an active reader only to fetch one change. After the
  // first answer it pauses, so that the mode can change before it asks again.
  const bool IsFirstAnswer = std::exchange(JustActivated, false);
  if (Changes.Rows.empty() && !IsFirstAnswer)
    continueFollowing();
  else
    runAfter(BatchPause, [this] { continueFollowing(); });
}

void TableFollower::onHistoryLost(StoreVersion After,
                                  const std::error_code &Error) {
  Log.info("store_history_gone", {{"table", Table},
                                  {"why", Error.message()},
                                  {"after", std::to_string(After.number())}});
  runAfter(Callbacks.WholeReadDelay(Failures > 0), [this, After] {
    if (Callbacks.KnownVersion() == After)
      readFrom("");
    else
      continueFollowing();
  });
}

void TableFollower::onFailure(const std::error_code &Error) {
  if (Failures++ == 0) {
    Log.error("store_lost",
              {{"table", Table},
               {"why", Error.message()},
               {"known", std::to_string(Callbacks.KnownVersion().number())}});
    Callbacks.StoreLost();
  }
  const Duration LongestPause =
      hasTable() ? Callbacks.LongestRetry() : LongestFirstReadPause;
  Duration Pause = LongestPause / FirstRetryDivisor;
  for (unsigned Retry = 1; Retry < Failures && Pause < LongestPause; ++Retry)
    Pause *= 2;
  Pause = std::min(Pause, LongestPause);
  const double Extension =
      std::uniform_real_distribution<double>(0, RetryExtension)(Random);
  Pause += scaled(Pause, Extension);
  runAfter(Pause, [this] { retry(); });
}

void TableFollower::retry() {
  if (!hasTable())
    readFrom("");
  else if (Mode != ReadMode::None)
    awaitChanges(Duration::zero());
  else
    // Peers have sent the table meanwhile.
    recordRegained();
}

void TableFollower::runAfter(Duration Pause, std::function<void()> Task) {
  if (!Stopped)
    Store.RunAfter(Pause, std::move(Task));
}

} // namespace mimosacart
