#include "direct/table_sync.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Some hosts whose messages arrive at once unless they are cut off.
class TableSyncTest : public testing::Test {
protected:
  struct Host {
    std::map<std::string, std::string> Rows;
    TableCache Routes{[this](const TableRow &Row) {
      if (Row.Removed)
        Rows.erase(Row.Key);
      else
        Rows[Row.Key] = Row.Value;
    }};
    TableCache Servers{[](const TableRow &) {}};
    ReadMode Mode = ReadMode::None;
    bool AsksNow = false;
    bool Cut = false;
    std::unique_ptr<TableSync> Sync;
  };

  TableSyncTest() {
    std::vector<MemberRecord> Members;
    for (unsigned Number = 0; Number < 5; ++Number) {
      MemberRecord Member;
      Member.Host = HostName("host-" + std::to_string(Number));
      Member.DataCentre = Number % 2 == 0 ? "even" : "odd";
      Members.push_back(Member);
    }
    for (const MemberRecord &Member : Members) {
      Host &Made = Hosts[Member.Host];
      TableSync::Hooks Callbacks;
      Callbacks.Send = [this, From = Member.Host](const HostName &To,
                                                  PeerBody Body) {
        deliver(From, To, std::move(Body));
      };
      Callbacks.Tell = [this, From = Member.Host](const TableRows &Updates) {
        for (const auto &[Name, Each] : Hosts)
          if (Name != From)
            deliver(From, Name, Updates);
      };
      Callbacks.Read = [&Made](ReadMode Mode) {
        // The follower asks at once when it begins to follow closely.
        Made.AsksNow = Mode == ReadMode::Active;
        Made.Mode = Mode;
      };
      Callbacks.Log = [](const char *, const FlowFields &) {};
      Made.Sync =
          std::make_unique<TableSync>(Member.Host, TableSyncTimes{},
                                      std::map<StoreTable, TableCache *>{
                                          {StoreTable::Routes, &Made.Routes},
                                          {StoreTable::Servers, &Made.Servers}},
                                      Callbacks);
      Made.Sync->setMembers(Members);
    }
  }

  void deliver(const HostName &From, const HostName &To, PeerBody Body) {
    Host &Target = Hosts.at(To);
    if (Target.Cut || Hosts.at(From).Cut)
      return;
    if (const auto *Rows = std::get_if<TableRows>(&Body))
      OnRows(*Rows);
    if (const auto *Rows = std::get_if<TableRows>(&Body))
      Target.Sync->onRows(Now, From, *Rows, Delay);
    if (const auto *Wanted = std::get_if<TableRequest>(&Body))
      Target.Sync->onRequest(Now, From, *Wanted);
  }

  /// Time passes; hosts that read ask the store about every second.
  void pass(Duration Span) {
    const Instant End = Now + Span;
    while (Now < End) {
      Now += 50ms;
      const bool Asks = Now.time_since_epoch() % 1s == 0ms;
      for (auto &[Name, Each] : Hosts) {
        const bool Reads = Each.Mode == ReadMode::Active && StoreAnswers;
        if (Reads && (Asks || std::exchange(Each.AsksNow, false)))
          read(Each);
        Each.Sync->tick(Now);
      }
    }
  }

  void read(Host &Reader) {
    const std::uint64_t Before = Reader.Routes.newest();
    const bool HasUpdates = Stored.Version > Before;
    if (HasUpdates)
      Reader.Routes.apply({Stored}, Stored.Version);
    Reader.Sync->onConfirmed(Now, StoreTable::Routes, HasUpdates, Before);
    Reader.Sync->onConfirmed(Now, StoreTable::Servers, false, 0);
  }

  /// The store tells a reader of a change that is not asked for otherwise.
  void learnFromStore(Host &Reader, std::uint64_t Version) {
    const std::uint64_t Before = Reader.Routes.newest();
    Reader.Routes.apply({{"config", Version, false, "next"}}, Version);
    Reader.Sync->onConfirmed(Now, StoreTable::Routes, true, Before);
  }

  std::size_t count(ReadMode Mode) const {
    return static_cast<std::size_t>(
        std::count_if(Hosts.begin(), Hosts.end(), [Mode](const auto &Entry) {
          return Entry.second.Mode == Mode;
        }));
  }

  Host &ranked(std::size_t Rank) {
    for (auto &[Name, Each] : Hosts)
      if (Each.Sync->rank() == Rank)
        return Each;
    throw std::logic_error("no such rank");
  }

  Instant Now{1h};
  TableRow Stored{"config", 1, false, "one"};
  bool StoreAnswers = true;
  /// How long messages are on their way, as their receivers find.
  Duration Delay{};
  std::function<void(const TableRows &)> OnRows = [](const TableRows &) {};
  std::map<HostName, Host> Hosts;
};

TEST_F(TableSyncTest, tick_calmFleet_oneReadsAndOneStandsBy) {
  pass(6s);
  EXPECT_EQ(count(ReadMode::Active), 1U);
  EXPECT_EQ(count(ReadMode::Standby), 1U);
  EXPECT_EQ(ranked(0).Mode, ReadMode::Active);
  EXPECT_EQ(ranked(1).Mode, ReadMode::Standby);
}

TEST_F(TableSyncTest, onConfirmed_change_reachesEveryHost) {
  pass(3s);
  Stored = {"config", 7, false, "two"};
  pass(1100ms);
  for (const auto &[Name, Each] : Hosts)
    EXPECT_EQ(Each.Rows.at("config"), "two") << Name.value();
}

TEST_F(TableSyncTest, tick_readerCutOff_othersKnowTheChangeWithin2s) {
  pass(3s);
  ranked(0).Cut = true;
  Stored = {"config", 7, false, "two"};
  pass(2s);
  for (const auto &[Name, Each] : Hosts) {
    if (!Each.Cut) {
      EXPECT_EQ(Each.Rows.at("config"), "two") << Name.value();
    }
  }
}

TEST_F(TableSyncTest, tick_bothReadersCutOff_othersKnowTheChangeWithin2s) {
  pass(6s);
  ranked(0).Cut = true;
  ranked(1).Cut = true;
  Stored = {"config", 7, false, "two"};
  pass(2s);
  for (std::size_t Rank = 2; Rank < Hosts.size(); ++Rank)
    EXPECT_EQ(ranked(Rank).Rows.at("config"), "two") << Rank;
}

TEST_F(TableSyncTest, tick_storeBack_readersAloneGoOn) {
  pass(3s);
  StoreAnswers = false;
  pass(4s);
  EXPECT_EQ(count(ReadMode::Active), 5U);
  StoreAnswers = true;
  pass(6s);
  EXPECT_EQ(count(ReadMode::Active), 1U);
}

TEST_F(TableSyncTest, onRows_gapBefore_asksInsteadOfTakingThem) {
  pass(3s);
  Host &Late = ranked(4);
  TableRows Rows;
  Rows.After = 20;
  Rows.UpTo = 21;
  Rows.Rows = {{"other", 21, false, "x"}};
  Late.Sync->onRows(Now, HostName("host-0"), Rows, 0ms);
  EXPECT_FALSE(Late.Rows.contains("other"));
  EXPECT_LT(Late.Routes.newest(), 21U);
}

TEST_F(TableSyncTest, onVersions_nothingKnown_asksAtOnce) {
  Host &Late = ranked(3);
  Host &Ready = ranked(2);
  Ready.Routes.apply({{"config", 4, false, "x"}}, 4);
  for (const auto &[Name, Each] : Hosts)
    if (&Each == &Ready)
      Late.Sync->onVersions(Now, Name, {4, 0});
  EXPECT_EQ(Late.Rows["config"], "x");
}

TEST_F(TableSyncTest, onRows_newsOnItsWayForLong_confirmsNothing) {
  pass(6s);
  EXPECT_EQ(ranked(4).Mode, ReadMode::None);
  // A reader's link is choked: what it confirms is old when it arrives.
  Delay = 3s;
  pass(2500ms);
  EXPECT_EQ(ranked(4).Mode, ReadMode::Active);
}

// Servers that register over seconds: each change is soon there, but a newer
// one is heard of before the last one came.
TEST_F(TableSyncTest, onVersions_changeAfterChange_nobodyElseReads) {
  pass(6s);
  Host &Follower = ranked(3);
  for (unsigned Step = 0; Step < 20; ++Step) {
    const std::uint64_t Known = Follower.Routes.newest();
    Follower.Sync->onVersions(Now, HostName("host-0"), {Known + 2, 0});
    pass(100ms);
    TableRows Updates;
    Updates.Table = StoreTable::Routes;
    Updates.After = Known;
    Updates.UpTo = Known + 1;
    Updates.Rows = {{"config", Known + 1, false, "next"}};
    Follower.Sync->onRows(Now, HostName("host-0"), Updates, 0ms);
    EXPECT_NE(Follower.Mode, ReadMode::Active) << "change " << Step;
  }
  // The last one never comes.
  pass(400ms);
  EXPECT_EQ(Follower.Mode, ReadMode::Active);
}

TEST_F(TableSyncTest, longestRetry_manyHosts_onlySomeAskOften) {
  std::vector<MemberRecord> Many;
  for (unsigned Number = 0; Number < 56; ++Number) {
    MemberRecord Member;
    Member.Host = HostName("host-" + std::to_string(Number));
    Many.push_back(Member);
  }
  double AsksPerSecond = 0;
  for (auto &[Name, Each] : Hosts) {
    Each.Sync->setMembers(Many);
    const Duration Retry = Each.Sync->longestRetry();
    EXPECT_LE(Retry, 2s) << Name.value();
    EXPECT_EQ(Retry < 1s, Each.Sync->rank() < 8) << Name.value();
  }
  for (unsigned Rank = 0; Rank < Many.size(); ++Rank)
    AsksPerSecond += 1 / toSeconds(Rank < 8 ? 800ms : 2000ms);
  EXPECT_LT(AsksPerSecond, 40);
}

TEST_F(TableSyncTest, tick_start_readersWordIsWaitedFor) {
  std::size_t Most = 0;
  for (unsigned Step = 0; Step < 60; ++Step) {
    pass(50ms);
    Most = std::max(Most, count(ReadMode::Active));
  }
  EXPECT_EQ(Most, 1U);
}

TEST_F(TableSyncTest, tick_startWithoutReader_oneOfTheOthersReadsWithin3s) {
  ranked(0).Cut = true;
  ranked(1).Cut = true;
  pass(3s);
  // The first of them that reads tells the others.
  EXPECT_TRUE(ranked(2).Mode == ReadMode::Active ||
              ranked(3).Mode == ReadMode::Active ||
              ranked(4).Mode == ReadMode::Active);
}

TEST_F(TableSyncTest, tick_storeBack_hostsSoonLeaveItToTheReaders) {
  pass(6s);
  StoreAnswers = false;
  pass(5s);
  ASSERT_EQ(count(ReadMode::Active), Hosts.size());
  StoreAnswers = true;
  pass(1500ms);
  // The reader, and the one that found the store back if that is another.
  EXPECT_LE(count(ReadMode::Active), 2U);
}

TEST_F(TableSyncTest, onConfirmed_readerWithoutStore_backupSendsTheRows) {
  pass(6s);
  learnFromStore(ranked(1), 7);
  for (unsigned Rank = 2; Rank < 5; ++Rank)
    ranked(Rank).Sync->onVersions(Now, HostName("host-0"), {7, 0});
  pass(350ms);
  for (auto &[Name, Each] : Hosts)
    EXPECT_EQ(Each.Rows["config"], "next") << Name.value();
  pass(300ms);
  for (unsigned Rank = 2; Rank < 5; ++Rank)
    EXPECT_EQ(ranked(Rank).Mode, ReadMode::None) << Rank;
}

TEST_F(TableSyncTest, onConfirmed_readerSentTheRows_backupDoesNot) {
  pass(6s);
  std::size_t Sent = 0;
  OnRows = [&Sent](const TableRows &Updates) { Sent += Updates.Rows.size(); };
  learnFromStore(ranked(1), 7);
  learnFromStore(ranked(0), 7);
  pass(500ms);
  EXPECT_EQ(Sent, Hosts.size() - 1);
}

TEST_F(TableSyncTest, onConfirmed_largeRow_isReadFromTheStoreByAll) {
  pass(3s);
  Stored = {"config", 7, false, std::string(100'000, 'x')};
  std::size_t Carried = 0;
  OnRows = [&Carried](const TableRows &Rows) { Carried += Rows.Rows.size(); };
  pass(2100ms);
  EXPECT_EQ(Carried, 0U);
  for (const auto &[Name, Each] : Hosts)
    EXPECT_EQ(Each.Rows.at("config").size(), 100'000U) << Name.value();
}

} // namespace
} // namespace mimosacart
