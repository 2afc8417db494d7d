#include "daemon/table_follower.h"

#include "tests/standins/store_standin.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class TableFollowerTest : public testing::Test {
protected:
  TableFollowerTest() {
    while (!Store.listen(Address))
      Address = "127.0.0.1:" + std::to_string(++Port);
    Store.put("t", "a", "1");
    Client = std::make_unique<StoreClient>(Http, Address, 300ms);
    TableFollower::Hooks Callbacks;
    Callbacks.Whole = [this](const std::vector<TableRow> &All,
                             std::uint64_t At) {
      if (At < Known)
        return false;
      Rows.clear();
      take(All, At);
      ++WholeReads;
      return true;
    };
    Callbacks.Changed = [this](const std::vector<TableRow> &Changes,
                               std::uint64_t At) { take(Changes, At); };
    Callbacks.Lost = [this] { ++Losses; };
    Callbacks.Regained = [this] { ++Returns; };
    Callbacks.Known = [this] { return Known; };
    Callbacks.LongestRetry = [this] { return LongestRetry; };
    Follower =
        std::make_unique<TableFollower>(Context, *Client, "t", Log, Callbacks);
  }

  ~TableFollowerTest() override { Follower->stop(); }

  void take(const std::vector<TableRow> &Changes, std::uint64_t At) {
    for (const TableRow &Row : Changes) {
      if (Row.Removed)
        Rows.erase(Row.Key);
      else
        Rows[Row.Key] = Row.Value;
    }
    Known = std::max(Known, At);
  }

  void run(Duration Span) {
    Context.restart();
    Context.run_for(Span);
  }

  using Table = std::map<std::string, std::string>;

  asio::io_context Context;
  unsigned Port = 23300;
  std::string Address = "127.0.0.1:23300";
  StoreStandin Store{Context};
  HttpClient Http{Context, 1U << 20U};
  EventLog Log{"test", LogLevel::Error};
  std::unique_ptr<StoreClient> Client;
  std::unique_ptr<TableFollower> Follower;
  Table Rows;
  std::uint64_t Known = 0;
  Duration LongestRetry = 800ms;
  unsigned WholeReads = 0;
  unsigned Losses = 0;
  unsigned Returns = 0;
};

TEST_F(TableFollowerTest, start_notFollowing_readsOnceAndWaits) {
  Follower->start();
  run(300ms);
  EXPECT_EQ(Rows, (Table{{"a", "1"}}));
  EXPECT_EQ(Store.calls(), 1U);
}

TEST_F(TableFollowerTest, follow_changesAndRemovals_arrive) {
  Follower->start();
  run(100ms);
  Follower->follow(ReadMode::Active);
  run(100ms);
  Store.put("t", "b", "2");
  Store.remove("t", "a");
  run(400ms);
  EXPECT_EQ(Rows, (Table{{"b", "2"}}));
  EXPECT_EQ(WholeReads, 1U);
}

TEST_F(TableFollowerTest, follow_historyGone_readsTheTableAnew) {
  Follower->start();
  run(100ms);
  Store.put("t", "b", "2");
  Store.put("t", "c", "3");
  Store.forgetHistory();
  Follower->follow(ReadMode::Active);
  run(300ms);
  EXPECT_EQ(Rows, (Table{{"a", "1"}, {"b", "2"}, {"c", "3"}}));
  EXPECT_EQ(WholeReads, 2U);
}

TEST_F(TableFollowerTest, follow_storeRefuses_lossAndReturnAreToldOnce) {
  Follower->start();
  run(100ms);
  Store.setMood(StoreMood::Refusing);
  Follower->follow(ReadMode::Active);
  run(1500ms);
  EXPECT_EQ(Losses, 1U);
  EXPECT_EQ(Returns, 0U);
  Store.put("t", "b", "2");
  Store.setMood(StoreMood::Sound);
  run(1500ms);
  EXPECT_EQ(Returns, 1U);
  EXPECT_EQ(Rows.at("b"), "2");
}

TEST_F(TableFollowerTest, follow_storeSilent_isNoticedWithin2s) {
  Follower->start();
  run(100ms);
  Follower->follow(ReadMode::Active);
  run(50ms);
  Store.setMood(StoreMood::Silent);
  run(3s);
  EXPECT_EQ(Losses, 1U);
}

TEST_F(TableFollowerTest, start_storeAway_readsOnceItIsBack) {
  Store.setMood(StoreMood::Refusing);
  Follower->start();
  run(500ms);
  EXPECT_TRUE(Rows.empty());
  Store.setMood(StoreMood::Sound);
  run(1500ms);
  EXPECT_EQ(Rows, (Table{{"a", "1"}}));
}

TEST_F(TableFollowerTest, follow_toldToStop_asksNoMore) {
  Follower->start();
  run(100ms);
  Follower->follow(ReadMode::Active);
  run(100ms);
  Follower->follow(ReadMode::None);
  const std::size_t Before = Store.calls();
  run(2500ms);
  EXPECT_EQ(Store.calls(), Before);
}

TEST_F(TableFollowerTest, follow_noLongerNeededAfterTheAnswer_asksOnce) {
  Follower->start();
  run(100ms);
  const std::size_t Before = Store.calls();
  Follower->follow(ReadMode::Active);
  run(60ms);
  Follower->follow(ReadMode::None);
  run(300ms);
  EXPECT_EQ(Store.calls(), Before + 1);
}

TEST_F(TableFollowerTest, follow_storeRefuses_retriesAsSeldomAsTold) {
  LongestRetry = 2s;
  Follower->start();
  run(100ms);
  Store.setMood(StoreMood::Refusing);
  Follower->follow(ReadMode::Active);
  run(1s);
  const std::size_t Before = Store.calls();
  run(6s);
  EXPECT_LE(Store.calls(), Before + 4);
  EXPECT_GE(Store.calls(), Before + 2);
}

TEST_F(TableFollowerTest, start_severalPages_readsThemAll) {
  Table Wanted = {{"a", "1"}};
  for (const char *Key : {"b", "c&d=e", "f%20g", "h i"}) {
    Store.put("t", Key, "2");
    Wanted[Key] = "2";
  }
  Store.setPageRows(1);
  Follower->start();
  run(500ms);
  EXPECT_EQ(Rows, Wanted);
}

} // namespace
} // namespace mimosacart
