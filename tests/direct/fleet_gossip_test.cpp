#include "direct/fleet_gossip.h"

#include <gtest/gtest.h>

#include <memory>
#include <queue>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// A fleet of hosts in three data centres. All hosts start at once with the
/// same three seeds.
class FleetGossipTest : public testing::Test {
protected:
  struct Host {
    TableCache Routes{[](const TableRow &) {}};
    TableCache Servers{[](const TableRow &) {}};
    std::unique_ptr<FleetGossip> Gossip;
    std::string DataCentre;
    bool Down = false;
    /// Bytes of table rows that this host sent.
    std::uint64_t RowBytesSent = 0;
    std::map<StoreTable, ReadMode> Modes;
    /// How closely this host reads the table that it reads most closely.
    ReadMode mode() const {
      ReadMode Result = ReadMode::None;
      for (const auto &[Table, Mode] : Modes)
        Result = std::max(Result, Mode);
      return Result;
    }
    /// Member records that this host sent.
    std::uint64_t MembersSent = 0;
  };
  struct QueuedMessage {
    Instant At{};
    std::uint64_t Order = 0;
    std::string From;
    std::string To;
    PeerMessage Message;

    bool operator<(const QueuedMessage &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  static std::string addressOf(unsigned Number) {
    return "peer-" + std::to_string(Number);
  }

  void startFleet(unsigned Count) {
    for (unsigned Number = 0; Number < Count; ++Number)
      startHost(Number, "~1");
  }

  void startHost(unsigned Number, const std::string &NameSuffix) {
    const std::string Address = addressOf(Number);
    Hosts.erase(Address);
    Host &NewHost = Hosts[Address];
    NewHost.DataCentre = "dc-" + std::to_string(Number % 3);
    FleetSettings Settings;
    Settings.Self.Host =
        HostName("host-" + std::to_string(Number) + NameSuffix);
    Settings.Self.Incarnation = IncarnationId(Number + 1);
    Settings.Self.DataCentre = NewHost.DataCentre;
    Settings.Self.PeerAddress = Address;
    Settings.Self.CallerAddress = Address;
    Settings.Seeds = {addressOf(0), addressOf(1), addressOf(2)};
    Settings.Times.Period = 800ms;
    Settings.Times.PeriodAlone = 100ms;
    Settings.Times.AckTimeout = 300ms;
    Settings.Times.SuspectAfter = 700ms;
    Settings.Times.DeadAfter = 800ms;
    Settings.RandomSeed = Number + 1;
    Settings.IsFirstStart = IsFirstStart;
    FleetGossip::Hooks Callbacks;
    Callbacks.Send = [this, Address](const std::string &To,
                                     const PeerMessage &Message) {
      enqueue(Address, To, Message);
    };
    Callbacks.SetReadMode = [this, Address](StoreTable Table, ReadMode Mode) {
      Hosts.at(Address).Modes[Table] = Mode;
    };
    Callbacks.ReadTable = [this, Address](StoreTable Table) {
      readTable(Hosts.at(Address), Table);
    };
    Callbacks.Log = [](const char *, const FlowFields &) {};
    Callbacks.Records = recordHooks(Address);
    NewHost.Gossip = std::make_unique<FleetGossip>(
        Settings,
        std::map<StoreTable, TableCache *>{
            {StoreTable::Routes, &NewHost.Routes},
            {StoreTable::Servers, &NewHost.Servers}},
        Callbacks);
  }

  CrashRecords::Hooks recordHooks(const std::string &Address) {
    CrashRecords::Hooks Result;
    Result.Write = [this, Address](std::uint64_t Fingerprint,
                                   const std::vector<CrashNotice> &Crashes) {
      if (StoreAnswers)
        StoredCrashes[Fingerprint] = Crashes;
      Hosts.at(Address).Gossip->onCrashRecordChanged(Fingerprint, StoreAnswers);
    };
    Result.Remove = [this, Address](std::uint64_t Fingerprint) {
      if (StoreAnswers)
        StoredCrashes.erase(Fingerprint);
      Hosts.at(Address).Gossip->onCrashRecordChanged(Fingerprint, StoreAnswers);
    };
    Result.Read = [this, Address] {
      ++RecordReads;
      std::vector<CrashNotice> Recorded;
      for (const auto &[Fingerprint, Crashes] : StoredCrashes)
        Recorded.insert(Recorded.end(), Crashes.begin(), Crashes.end());
      if (StoreAnswers)
        Hosts.at(Address).Gossip->onCrashRecordsRead(Now, Recorded);
    };
    return Result;
  }

  void countRows(const std::string &From, const std::string &To,
                 const TableRows &Message) {
    const std::size_t Bytes = countBytes(Message.Rows);
    Hosts.at(From).RowBytesSent += Bytes;
    if (Hosts.at(From).DataCentre != Hosts.at(To).DataCentre)
      RowBytesAcrossDataCentres += Bytes;
  }

  void readTable(Host &Reader, StoreTable Table) {
    ++TablesRead;
    TableCache &Cache =
        Table == StoreTable::Routes ? Reader.Routes : Reader.Servers;
    const std::uint64_t Previous = Cache.latestRowVersion();
    Cache.replace(StoredRows, StoredVersion);
    Reader.Gossip->onStoreRead(Now, Table, true, Previous);
  }

  void enqueue(const std::string &From, const std::string &To,
               const PeerMessage &Message) {
    if (Hosts.at(From).Down)
      return;
    ++MessagesSent;
    if (const auto *Updates = std::get_if<SoftState>(&Message.Body)) {
      Hosts.at(From).MembersSent += Updates->Members.size();
      if (Hosts.at(From).DataCentre != Hosts.at(To).DataCentre)
        MembersAcrossDataCentres += Updates->Members.size();
    }
    if (const auto *Rows = std::get_if<TableRows>(&Message.Body))
      countRows(From, To, *Rows);
    QueuedMessages.push({Now + 1ms, ++LastOrder, From, To, Message});
  }

  void advanceTime(Duration Span) {
    const Instant End = Now + Span;
    for (; Now < End; Now += 10ms) {
      while (!QueuedMessages.empty() && QueuedMessages.top().At <= Now) {
        const QueuedMessage Delivered = QueuedMessages.top();
        QueuedMessages.pop();
        Host &To = Hosts.at(Delivered.To);
        if (!To.Down)
          To.Gossip->onMessage(Now, Delivered.Message);
      }
      for (auto &[Address, Node] : Hosts)
        if (!Node.Down)
          Node.Gossip->tick(Now);
    }
  }

  /// Number of running hosts that know of as many hosts as are running.
  std::size_t countHostsWithFullView() const {
    std::size_t Running = 0;
    std::size_t Result = 0;
    for (const auto &[Address, Node] : Hosts)
      Running += Node.Down ? 0 : 1;
    for (const auto &[Address, Node] : Hosts)
      Result += !Node.Down && Node.Gossip->hosts() == Running ? 1 : 0;
    return Result;
  }

  Instant Now{1h};
  std::map<std::string, Host> Hosts;
  std::priority_queue<QueuedMessage> QueuedMessages;
  std::uint64_t LastOrder = 0;
  std::uint64_t MessagesSent = 0;
  /// Member records sent from one data centre to another.
  std::uint64_t MembersAcrossDataCentres = 0;
  /// Crashes recorded in the store, by the fingerprint of the request.
  std::map<std::uint64_t, std::vector<CrashNotice>> StoredCrashes;
  bool IsFirstStart = false;
  bool StoreAnswers = true;
  unsigned RecordReads = 0;
  /// Rows of both tables of the store.
  std::vector<TableRow> StoredRows;
  std::uint64_t StoredVersion = 0;
  /// Whole tables that hosts read from the store.
  unsigned TablesRead = 0;
  /// Bytes of rows sent from one data centre to another.
  std::uint64_t RowBytesAcrossDataCentres = 0;
};

TEST_F(FleetGossipTest, tick_allStartAtOnce_allViewsAreFullWithin3s) {
  startFleet(60);
  advanceTime(3s);
  EXPECT_EQ(countHostsWithFullView(), 60U);
}

TEST_F(FleetGossipTest, tick_allStartAtOnce_fewCopiesOfEachMemberAreSent) {
  constexpr unsigned Count = 120;
  startFleet(Count);
  advanceTime(6s);
  EXPECT_EQ(countHostsWithFullView(), Count);
  // Each host has to learn of each other host once. Without coordination a few
  // more copies are sent, but no single host sends more than one copy of each
  // record to each host.
  constexpr std::uint64_t MaxCopies = 6;
  std::uint64_t TotalSent = 0;
  for (const auto &[Address, Node] : Hosts) {
    TotalSent += Node.MembersSent;
    EXPECT_LE(Node.MembersSent, Count * Count) << Address;
  }
  EXPECT_LE(TotalSent, MaxCopies * Count * Count);
}

TEST_F(FleetGossipTest, tick_oneHostRestarts_fewRecordsPerHostAreSent) {
  constexpr unsigned Count = 60;
  startFleet(Count);
  advanceTime(6s);
  ASSERT_EQ(countHostsWithFullView(), Count);
  MembersAcrossDataCentres = 0;
  const std::uint64_t MessagesBefore = MessagesSent;
  Hosts.at(addressOf(40)).Down = true;
  advanceTime(3s);
  startHost(40, "~2");
  advanceTime(4s);
  EXPECT_EQ(countHostsWithFullView(), Count);
  // The total includes the usual pings, two messages per host in each period of
  // 800 ms, and a few more for the host that does not answer.
  EXPECT_LE(MessagesSent - MessagesBefore, Count * (2 * 9 + 20));
  EXPECT_LE(MembersAcrossDataCentres, Count * 10);
}

TEST_F(FleetGossipTest, disseminate_relaysDie_allViewsAreRepaired) {
  startFleet(30);
  advanceTime(6s);
  ASSERT_EQ(countHostsWithFullView(), 30U);
  for (unsigned Number : {3U, 4U, 5U, 6U, 7U, 8U})
    Hosts.at(addressOf(Number)).Down = true;
  // Each dead host is pinged by some host in half of the periods of 0.8 s and
  // is declared dead 1.5 s later.
  advanceTime(10s);
  EXPECT_EQ(countHostsWithFullView(), 24U);
}

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
    if (!TurnedAway.contains(Address))
      OpenReads.push_back({Address, Table, Now + 100ms});
  }
  void answerReads() {
    std::erase_if(OpenReads, [this](const OpenRead &Read) {
      if (Now < Read.AnsweredAt)
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
  std::vector<OpenRead> OpenReads;
  std::map<std::pair<std::string, StoreTable>, Instant> LastRead;
};

// Guards against reads by the whole fleet because its two readers lost the
// store.
TEST_F(FleetGossipStoreTurnsHostsAwayTest, tick_readersTurnedAway_fewTakeOver) {
  follow(6s);
  EXPECT_LE(EverReading.size(), Hosts.size() / 4);
}

/// A fleet in which a request has crashed three servers.
class FleetGossipCrashTest : public FleetGossipTest {
protected:
  static constexpr std::uint64_t Fingerprint = 7;

  FleetGossipCrashTest() {
    startFleet(6);
    advanceTime(3s);
    for (const char *Server : {"a", "b", "c"})
      gossip(0).addCrash(Now, Fingerprint, ServerName(Server));
    advanceTime(100ms);
  }

  FleetGossip &gossip(unsigned Number) {
    return *Hosts.at(addressOf(Number)).Gossip;
  }
  std::size_t fewestKnown() {
    std::size_t Result = 3;
    for (unsigned Number = 0; Number < 6; ++Number)
      Result = std::min(Result, gossip(Number).crashes(Fingerprint));
    return Result;
  }
};

TEST_F(FleetGossipCrashTest, addCrash_threeCrashes_areKnownToAllHostsAtOnce) {
  EXPECT_EQ(fewestKnown(), 3U);
}

// Guards against sending a request again that comes for longer than notices
// live, at whichever host.
TEST_F(FleetGossipCrashTest, renewCrashes_copiesKeepComing_noHostForgets) {
  for (unsigned Step = 0; Step < 12; ++Step) {
    advanceTime(10s);
    gossip(3).renewCrashes(Now, Fingerprint);
  }
  advanceTime(3s);
  EXPECT_EQ(fewestKnown(), 3U);
}

TEST_F(FleetGossipCrashTest, tick_hostsRestartInTurn_noHostForgets) {
  for (unsigned Number = 0; Number < 6; ++Number) {
    startHost(Number, "~2");
    advanceTime(3s);
  }
  EXPECT_EQ(fewestKnown(), 3U);
}

// Guards against blaming a request three times for one server that ended while
// three hosts had copies of it open.
TEST_F(FleetGossipCrashTest, addCrash_sameEndSeenByAllHosts_countsOnce) {
  constexpr std::uint64_t Other = 9;
  for (unsigned Number = 0; Number < 6; ++Number)
    gossip(Number).addCrash(Now, Other, ServerName("a"));
  advanceTime(1s);
  EXPECT_EQ(gossip(0).crashes(Other), 1U);
  // The server is back and ends again.
  advanceTime(5s);
  gossip(5).addCrash(Now, Other, ServerName("a"));
  advanceTime(100ms);
  EXPECT_EQ(gossip(0).crashes(Other), 2U);
}

// Guards against refusing a request for good that servers run to its end.
TEST_F(FleetGossipCrashTest, excuseCrashes_noticesExchangedAgain_stayExcused) {
  gossip(2).excuseCrashes(Fingerprint);
  startHost(5, "~2");
  advanceTime(5s);
  EXPECT_EQ(gossip(2).crashes(Fingerprint), 0U);
  gossip(0).addCrash(Now, Fingerprint, ServerName("d"));
  advanceTime(100ms);
  EXPECT_EQ(gossip(2).crashes(Fingerprint), 1U);
}

// Guards against sending a request to servers again because all hosts that knew
// of its crashes were killed at once.
TEST_F(FleetGossipCrashTest, tick_allHostsRestartAtOnce_noHostForgets) {
  for (unsigned Number = 0; Number < 6; ++Number)
    startHost(Number, "~2");
  advanceTime(3s);
  EXPECT_EQ(fewestKnown(), 3U);
}

TEST_F(FleetGossipCrashTest, tick_storeAwayAtTheThirdCrash_isRecordedLater) {
  constexpr std::uint64_t Other = 9;
  StoreAnswers = false;
  for (const char *Server : {"a", "b", "c"})
    gossip(2).addCrash(Now, Other, ServerName(Server));
  advanceTime(3s);
  EXPECT_FALSE(StoredCrashes.contains(Other));
  StoreAnswers = true;
  advanceTime(3s);
  EXPECT_EQ(StoredCrashes.at(Other).size(), 3U);
}

TEST_F(FleetGossipCrashTest, tick_twoCrashes_nothingIsRecorded) {
  constexpr std::uint64_t Other = 9;
  for (const char *Server : {"a", "b"})
    gossip(2).addCrash(Now, Other, ServerName(Server));
  advanceTime(3s);
  EXPECT_FALSE(StoredCrashes.contains(Other));
}

TEST_F(FleetGossipCrashTest, tick_crashesExpire_recordIsRemoved) {
  ASSERT_TRUE(StoredCrashes.contains(Fingerprint));
  advanceTime(61s);
  EXPECT_TRUE(StoredCrashes.empty());
}

// Also if the host that wrote the record has ended since.
TEST_F(FleetGossipCrashTest, tick_crashesExpireAfterRestart_recordIsRemoved) {
  for (unsigned Number = 0; Number < 6; ++Number)
    startHost(Number, "~2");
  advanceTime(3s);
  ASSERT_TRUE(StoredCrashes.contains(Fingerprint));
  advanceTime(61s);
  EXPECT_TRUE(StoredCrashes.empty());
}

TEST_F(FleetGossipTest, tick_allStartAtOnce_fewHostsReadCrashRecords) {
  startFleet(60);
  advanceTime(6s);
  EXPECT_LE(RecordReads, 2 * CrashRecords::ReaderCount);
}

} // namespace
} // namespace mimosacart
