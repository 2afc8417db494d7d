/// \file
/// Regions and evacuations at a whole node.
#include "tests/direct/direct_node_fixture.h"

namespace mimosacart {
namespace {

class DirectNodeRegionTest : public DirectNodeWorkspaceTest {
protected:
  DirectNodeRegionTest() {
    Settings.Regions = {{"north", "r1"}, {"south", "r2"}};
    startNode(Settings);
  }

  /// Servers that get some requests under the regions.
  std::set<std::string> findServers(const std::set<std::string> &OfRoute,
                                    const std::set<std::string> &OfWorkspace) {
    RouteRegions = OfRoute;
    WorkspaceRegions = OfWorkspace;
    // A new process knows no loads, so that it uses all servers that it may.
    startNode(Settings);
    configure(++LastVersion, "k1");
    return sendSome();
  }
  std::set<std::string> sendSome() {
    Calls.clear();
    Results.clear();
    for (unsigned Count = 0; Count < 20; ++Count)
      send("k1");
    std::set<std::string> Result;
    for (const DirectCall &Call : Calls)
      Result.insert(Call.Server.Id.value());
    return Result;
  }

  /// Rows of the routes table of a store, in the order of their keys.
  static std::vector<TableRow> makeRows(std::uint64_t Era) {
    return {{"config", {Era, 3}, false, "k1"}, {"north", {Era, 4}, false, ""}};
  }
  static PeerMessage makeMessage(PeerBody Body) {
    PeerMessage Result;
    Result.From = HostName("peer");
    Result.FromIncarnation = IncarnationId(1);
    Result.Body = std::move(Body);
    return Result;
  }
  /// Tells the node of a host in the southern data centre.
  void addPeer() {
    MemberRecord Peer;
    Peer.Host = HostName("peer");
    Peer.Incarnation = IncarnationId(1);
    Peer.DataCentre = "south";
    Peer.PeerAddress = "peer";
    Peer.CallerAddress = "peer:80";
    SoftState News;
    News.Members.push_back(Peer);
    Node->onPeerMessage(Now, makeMessage(News));
  }
  void receive(const std::vector<TableRow> &Rows, StoreVersion UpTo,
               bool IsWhole) {
    TableRows Body;
    Body.UpTo = UpTo;
    Body.Whole = IsWhole;
    Body.Rows = Rows;
    Node->onPeerMessage(Now, makeMessage(Body));
  }

  using Names = std::set<std::string>;

  DirectNodeSettings Settings;
  std::uint64_t LastVersion = 100;
};

// Guards against a request that leaves the regions of its route or workspace.
TEST_F(DirectNodeRegionTest, request_regionsOfRouteAndWorkspace_bothBind) {
  EXPECT_EQ(findServers({}, {}), (Names{"north", "south"}));
  EXPECT_EQ(findServers({"r1"}, {}), Names{"north"});
  EXPECT_EQ(findServers({}, {"r2"}), Names{"south"});
  EXPECT_EQ(findServers({"r1", "r2"}, {"r2", "r3"}), Names{"south"});
  EXPECT_EQ(findServers({"r1"}, {"r2"}), Names{});
  EXPECT_EQ(Results, std::vector<RefusalReason>(20, RefusalReason::NoServer));
}

// Guards against a server of unknown region that is taken as allowed.
TEST_F(DirectNodeRegionTest, request_regionOfServerUnknown_isNotAllowed) {
  Settings.Regions.erase("south");
  EXPECT_EQ(findServers({"r1", "r2"}, {}), Names{"north"});
  EXPECT_EQ(findServers({}, {}), (Names{"north", "south"}));
}

// Guards against callers that are sent to hosts far from their servers, and
// against an empty list if no host is near.
TEST_F(DirectNodeRegionTest, callerAddresses_routesBound_namesHostsOfRegions) {
  Settings.Fleet.Self.DataCentre = "north";
  using Addresses = std::vector<std::string>;
  const Addresses All{"peer:80", "self:80"};
  findServers({}, {});
  addPeer();
  EXPECT_EQ(Node->callerAddresses("a.example"), All);
  findServers({"r2"}, {});
  addPeer();
  EXPECT_EQ(Node->callerAddresses("a.example"), Addresses{"peer:80"});
  EXPECT_EQ(Node->callerAddresses("other.example"), All);
  EXPECT_EQ(Node->callerAddresses(), All);
  findServers({"r3"}, {});
  addPeer();
  EXPECT_EQ(Node->callerAddresses("a.example"), All);
}

// Guards against a host that restarts during an evacuation and sends to the
// data centre before it knows of it. The rows come from a peer, as the store is
// away.
TEST_F(DirectNodeRegionTest, restart_rowsFromPeer_evacuationIsKept) {
  for (const bool IsWhole : {true, false}) {
    startNode(Settings);
    EXPECT_EQ(sendSome(), Names{});
    receive(makeRows(1), {1, 4}, IsWhole);
    EXPECT_EQ(sendSome(), Names{"south"});
  }
}

TEST_F(DirectNodeRegionTest, restart_tableFromStore_evacuationIsKept) {
  EXPECT_EQ(sendSome(), Names{});
  Node->onWholeTable(Now, StoreTable::Routes, makeRows(1), {1, 9});
  EXPECT_EQ(sendSome(), Names{"south"});
}

// Guards against an evacuation that ends because the store is away or its rows
// come again, and against one that lasts although its row is gone.
TEST_F(DirectNodeRegionTest, storeComesBack_evacuationFollowsItsRow) {
  Node->onWholeTable(Now, StoreTable::Routes, makeRows(1), {1, 9});
  Node->onStoreLost(Now);
  EXPECT_EQ(sendSome(), Names{"south"});
  Node->onStoreRegained(Now);
  // An older answer that comes late.
  Node->onWholeTable(Now, StoreTable::Routes, {makeRows(1).front()}, {1, 3});
  EXPECT_EQ(sendSome(), Names{"south"});
  // The copy of an older store, with the row and without it.
  Node->onWholeTable(Now, StoreTable::Routes, makeRows(2), {2, 4});
  EXPECT_EQ(sendSome(), Names{"south"});
  receive({makeRows(1).front()}, {1, 20}, true);
  EXPECT_EQ(sendSome(), Names{"south"});
  Node->onWholeTable(Now, StoreTable::Routes, {makeRows(3).front()}, {3, 3});
  EXPECT_TRUE(sendSome().contains("north"));
}

} // namespace
} // namespace mimosacart
