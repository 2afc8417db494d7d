/// \file
/// Tables of the store on the hosts of a large fleet.
#include "tests/direct/gossip_fleet.h"

#include <set>

namespace mimosacart {
namespace {

/// A fleet of 60 hosts whose hosts have the tables of a store.
class FleetGossipRestartTest : public FleetGossipTest {
protected:
  FleetGossipRestartTest() {
    StoredVersion = 9;
    StoredRows = {{"row", StoredVersion, false, std::string(10'000, 'x')}};
    startFleet(60);
    advanceTime(5s);
    TablesRead = 0;
    RowBytesAcrossDataCentres = 0;
  }
  bool hasTables(unsigned Number) {
    const Host &Node = Hosts.at(addressOf(Number));
    return Node.Routes.version() == StoredVersion &&
           Node.Servers.version() == StoredVersion;
  }
};

// Guards against calls to the store by each host of a rolling restart.
TEST_F(FleetGossipRestartTest, tick_hostsRestartInTurn_peersSendTheTables) {
  for (unsigned Number = 3; Number < 33; ++Number) {
    startHost(Number, "~2");
    advanceTime(250ms);
    EXPECT_TRUE(hasTables(Number)) << Number;
  }
  EXPECT_EQ(TablesRead, 0U);
  EXPECT_EQ(RowBytesAcrossDataCentres, 0U);
}

TEST_F(FleetGossipRestartTest, tick_seedsDown_hostReadsTheStoreSoon) {
  for (unsigned Number = 0; Number < 3; ++Number)
    Hosts.at(addressOf(Number)).Down = true;
  startHost(20, "~2");
  advanceTime(500ms);
  EXPECT_TRUE(hasTables(20));
  EXPECT_EQ(TablesRead, 2U);
}

TEST_F(FleetGossipRestartTest, tick_allHostsRestart_allHaveTablesAtOnce) {
  for (unsigned Number = 0; Number < 60; ++Number)
    startHost(Number, "~2");
  advanceTime(400ms);
  for (unsigned Number = 0; Number < 60; ++Number)
    EXPECT_TRUE(hasTables(Number)) << Number;
}

// Guards against reads of an empty store by each host of a new fleet.
TEST_F(FleetGossipTest, tick_firstStart_onlyTheReadersReadTheStore) {
  IsFirstStart = true;
  startFleet(60);
  advanceTime(2s);
  EXPECT_EQ(TablesRead, 0U);
  const auto Readers =
      std::count_if(Hosts.begin(), Hosts.end(), [](const auto &Entry) {
        return Entry.second.mode() != ReadMode::None;
      });
  EXPECT_LE(Readers, 2);
}

/// A fleet of 189 hosts in which one reads the store while a thousand servers
/// register there, two hundred of them in each of its answers.
class FleetGossipServersRegisterTest : public FleetGossipTest {
protected:
  static constexpr unsigned Servers = 1000;
  static constexpr unsigned ServersPerAnswer = 200;
  static constexpr std::size_t RowBytes = 260;

  FleetGossipServersRegisterTest() {
    startFleet(189);
    advanceTime(6s);
    for (auto &[Address, Node] : Hosts) {
      if (Node.Gossip->rank() == 0)
        Reader = Address;
    }
  }

  /// Confirms both tables, as the reader does once a second.
  void confirm() {
    FleetGossip &Gossip = *Hosts.at(Reader).Gossip;
    Gossip.onStoreRead(Now, StoreTable::Routes, false, 0);
    Gossip.onStoreRead(Now, StoreTable::Servers, false, LastVersion);
  }
  void registerServers() {
    for (unsigned Number = 0; Number < Servers; Number += ServersPerAnswer) {
      const std::uint64_t Previous = LastVersion;
      std::vector<TableRow> Rows;
      for (unsigned Index = 0; Index < ServersPerAnswer; ++Index)
        Rows.push_back({"i-" + std::to_string(Number + Index), ++LastVersion,
                        false, std::string(RowBytes, 'x')});
      Hosts.at(Reader).Servers.apply(Rows, LastVersion);
      Hosts.at(Reader).Gossip->onStoreRead(Now, StoreTable::Servers, true,
                                           Previous);
      advanceTime(150ms);
      confirm();
    }
  }
  std::size_t countHostsUpToDate() const {
    return static_cast<std::size_t>(
        std::count_if(Hosts.begin(), Hosts.end(), [this](const auto &Entry) {
          return Entry.second.Servers.latestRowVersion() == LastVersion;
        }));
  }

  std::string Reader;
  std::uint64_t LastVersion = 0;
};

// Guards against every host reading the store many times while the servers of a
// large fleet register.
TEST_F(FleetGossipServersRegisterTest,
       onStoreRead_rowsReachAllWithinOneSecond) {
  confirm();
  advanceTime(100ms);
  registerServers();
  advanceTime(500ms);
  EXPECT_EQ(countHostsUpToDate(), Hosts.size());
}

TEST_F(FleetGossipServersRegisterTest,
       onStoreRead_noHostSendsMoreThanFewCopies) {
  confirm();
  registerServers();
  advanceTime(500ms);
  const std::size_t TableBytes = LastVersion * (RowBytes + sizeof("i-999") - 1);
  // The reader also sends a copy to each other data centre.
  const std::size_t MaxCopies = ForwardingFanOut + 2;
  for (const auto &[Address, Node] : Hosts)
    EXPECT_LE(Node.RowBytesSent, MaxCopies * TableBytes) << Address;
}

TEST_F(FleetGossipServersRegisterTest, onStoreRead_followersDoNotReadTheStore) {
  confirm();
  registerServers();
  for (const auto &[Address, Node] : Hosts)
    EXPECT_TRUE(Node.mode() != ReadMode::Active || Address == Reader)
        << Address;
}

// A host that ends while it forwards rows delays them by the time until the
// others ask for them.
TEST_F(FleetGossipServersRegisterTest,
       onStoreRead_forwardingHostsDown_othersAskPeers) {
  confirm();
  unsigned Killed = 0;
  for (auto &[Address, Node] : Hosts)
    if (Address != Reader && ++Killed % 20 == 0)
      Node.Down = true;
  registerServers();
  for (unsigned Round = 0; Round < 4; ++Round) {
    advanceTime(500ms);
    confirm();
  }
  for (const auto &[Address, Node] : Hosts)
    EXPECT_TRUE(Node.Down || Node.Servers.latestRowVersion() == LastVersion)
        << Address;
}

/// A fleet of 189 hosts that read the store as their read modes ask. The store
/// turns away a third of them, among them the two that read it for the others.
class FleetGossipStoreTurnsHostsAwayTest : public FleetGossipTest {
protected:
  FleetGossipStoreTurnsHostsAwayTest() {
    startFleet(189);
    follow(8s);
    for (const auto &[Address, Node] : Hosts)
      if (Node.Gossip->rank() < 2 || Node.Gossip->rank() % 3 == 0)
        TurnedAway.insert(Address);
    EverReading.clear();
  }

  void follow(Duration Span) {
    constexpr Duration Step = 50ms;
    for (const Instant End = Now + Span; Now < End;) {
      advanceTime(Step);
      answerReads();
      for (auto &[Address, Node] : Hosts)
        for (const auto &[Table, Mode] : Node.Modes)
          if (Mode == ReadMode::Active)
            read(Address, Table);
    }
  }
  void read(const std::string &Address, StoreTable Table) {
    Instant &Last = LastRead[{Address, Table}];
    if (Now - Last < 1s)
      return;
    Last = Now;
    EverReading.insert(Address);
    ++Reads;
    if (!TurnedAway.contains(Address))
      OpenReads.push_back({Address, Table, Now + 100ms});
  }
  void answerReads() {
    std::erase_if(OpenReads, [this](const OpenRead &Read) {
      if (Now < Read.AnsweredAt || StoreIsSilent)
        return false;
      Hosts.at(Read.Reader).Gossip->onStoreRead(Now, Read.Table, false, 0);
      return true;
    });
  }

  struct OpenRead {
    std::string Reader;
    StoreTable Table;
    Instant AnsweredAt{};
  };

  std::set<std::string> TurnedAway;
  std::set<std::string> EverReading;
  std::size_t Reads = 0;
  /// The store answers all open calls once it is no longer silent.
  bool StoreIsSilent = false;
  std::vector<OpenRead> OpenReads;
  std::map<std::pair<std::string, StoreTable>, Instant> LastRead;
};

// Guards against reads by the whole fleet because its two readers lost the
// store.
TEST_F(FleetGossipStoreTurnsHostsAwayTest, tick_readersTurnedAway_fewTakeOver) {
  follow(6s);
  EXPECT_LE(EverReading.size(), Hosts.size() / 4);
}

// Guards against a fleet whose hosts all go on reading although the first of
// them vouch for the store again.
TEST_F(FleetGossipStoreTurnsHostsAwayTest, tick_storeIsBack_mostReadOnlyOnce) {
  TurnedAway.clear();
  StoreIsSilent = true;
  follow(3s);
  StoreIsSilent = false;
  Reads = 0;
  follow(3s);
  EXPECT_LE(Reads, Hosts.size());
}

} // namespace
} // namespace mimosacart
