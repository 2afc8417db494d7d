#include "daemon/table_follower.h"

#include "net/asio.h"

#include <algorithm>
#include <utility>

namespace mimosacart {

namespace {

/// Others rely on a close reader to notice within about one such wait that the
/// store no longer answers.
constexpr Duration CloseWait = std::chrono::seconds(1);
constexpr Duration StandbyWait = std::chrono::seconds(8);
/// Changes that come soon after one another are fetched together.
constexpr Duration GatherTime = std::chrono::milliseconds(150);
/// The first retry comes after this part of the longest pause.
constexpr int FirstRetryPart = 8;
/// A host that has never read the table cannot serve, so it asks often.
constexpr Duration LongestFirstRead = std::chrono::milliseconds(800);
/// Retries are spread over this part of their delay.
constexpr double RetrySpread = 0.5;

} // namespace

struct TableFollower::Timer {
  explicit Timer(asio::io_context &Context) : Value(Context) {}
  asio::steady_timer Value;
};

TableFollower::TableFollower(asio::io_context &Context, StoreClient &Store,
                             std::string Table, EventLog &Log, Hooks Callbacks)
    : Store(Store), Table(std::move(Table)), Log(Log),
      Callbacks(std::move(Callbacks)), Random(std::random_device()()),
      Delay(std::make_unique<Timer>(Context)) {}

TableFollower::~TableFollower() = default;

void TableFollower::stop() {
  Stopped = true;
  Delay->Value.cancel();
  if (Waiting)
    Waiting->cancel();
  Waiting.reset();
}

void TableFollower::readFrom(const std::string &Key) {
  ++Calls;
  ReadingWhole = true;
  if (Key.empty())
    Pages.clear();
  Store.readRows(Table, Key, [this, Key](StoreResult<StoreRows> Result) {
    if (Stopped)
      return;
    ReadingWhole = false;
    if (Result.has_error()) {
      onFailure(Result.error());
      return;
    }
    if (Key.empty())
      PagesVersion = Result.value().Version;
    onPage(std::move(Result.value()));
  });
}

void TableFollower::onPage(StoreRows Page) {
  const bool More = Page.More && !Page.Rows.empty();
  std::move(Page.Rows.begin(), Page.Rows.end(), std::back_inserter(Pages));
  if (More) {
    // The least key that is greater than the last one read.
    readFrom(Pages.back().Key + '\x01');
    return;
  }
  recordAnswered();
  const std::uint64_t Before = Callbacks.Known();
  if (!Callbacks.Whole(Pages, PagesVersion)) {
    Log.info("store_read_is_old", {{"table", Table},
                                   {"version", std::to_string(PagesVersion)},
                                   {"known", std::to_string(Before)}});
    later(GatherTime, [this] { readFrom(""); });
    return;
  }
  Begun = true;
  Log.info("table_read", {{"table", Table},
                          {"rows", std::to_string(Pages.size())},
                          {"version", std::to_string(PagesVersion)}});
  Pages.clear();
  proceed();
}

void TableFollower::recordAnswered() {
  if (Failures == 0)
    return;
  Log.info("store_regained",
           {{"table", Table}, {"failures", std::to_string(Failures)}});
  Failures = 0;
  Callbacks.Regained();
}

void TableFollower::follow(ReadMode Next) {
  if (Next == Mode || Stopped)
    return;
  Mode = Next;
  if (!Begun || ReadingWhole)
    return;
  Delay->Value.cancel();
  if (Waiting)
    Waiting->cancel();
  Waiting.reset();
  JustTold = Mode == ReadMode::Active;
  if (Mode == ReadMode::Active)
    awaitChanges(Duration::zero());
  else if (Mode == ReadMode::None)
    recordAnswered();
  else
    proceed();
}

void TableFollower::proceed() {
  if (Mode != ReadMode::None)
    awaitChanges(Mode == ReadMode::Active ? CloseWait : StandbyWait);
}

void TableFollower::awaitChanges(Duration Wait) {
  ++Calls;
  Waiting = Store.awaitChanges(Table, Callbacks.Known(), Wait,
                               [this](StoreResult<StoreRows> Result) {
                                 if (!Stopped)
                                   onChanges(std::move(Result));
                               });
}

void TableFollower::onChanges(StoreResult<StoreRows> Result) {
  if (Result.has_error() && Result.error() == StoreError::HistoryGone) {
    Log.info("store_history_gone",
             {{"table", Table}, {"after", std::to_string(Callbacks.Known())}});
    readFrom("");
    return;
  }
  if (Result.has_error()) {
    onFailure(Result.error());
    return;
  }
  recordAnswered();
  const StoreRows &Changes = Result.value();
  Callbacks.Changed(Changes.Rows, Changes.Version);
  // The first answer may be all that was needed.
  const bool MayBeEnough = std::exchange(JustTold, false);
  if (Changes.Rows.empty() && !MayBeEnough)
    proceed();
  else
    later(GatherTime, [this] { proceed(); });
}

void TableFollower::onFailure(const std::error_code &Error) {
  if (Failures++ == 0) {
    Log.error("store_lost", {{"table", Table},
                             {"why", Error.message()},
                             {"known", std::to_string(Callbacks.Known())}});
    Callbacks.Lost();
  }
  const Duration Longest = Begun ? Callbacks.LongestRetry() : LongestFirstRead;
  Duration Pause = Longest / FirstRetryPart;
  for (unsigned Step = 1; Step < Failures && Pause < Longest; ++Step)
    Pause *= 2;
  Pause = std::min(Pause, Longest);
  const double Spread =
      std::uniform_real_distribution<double>(0, RetrySpread)(Random);
  Pause += scaled(Pause, Spread);
  later(Pause, [this] {
    if (Begun)
      awaitChanges(Duration::zero());
    else
      readFrom("");
  });
}

void TableFollower::later(Duration Pause, std::function<void()> Next) {
  Delay->Value.expires_after(Pause);
  Delay->Value.async_wait(
      [this, Next = std::move(Next)](boost::system::error_code Error) {
        if (!Error && !Stopped)
          Next();
      });
}

} // namespace mimosacart
