/// \file
/// Whose request it is, by its key, at the directory alone and at a whole node
/// while configurations change.
#include "direct/direct_node.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

CallerKey makeKey(const std::string &Key) { return {digestKey(Key), false}; }

Workspace makeWorkspace(const std::string &Name,
                        const std::vector<std::string> &Keys) {
  Workspace Result;
  Result.Name = Name;
  for (const std::string &Key : Keys)
    Result.Keys.push_back(digestKey(Key));
  return Result;
}

TEST(WorkspaceDirectoryTest, check_eachKindOfKey_isTold) {
  RouteConfiguration Configuration;
  Configuration.Workspaces = {makeWorkspace("labs", {"k1", "k2"}),
                              makeWorkspace("shop", {"k3"})};
  const WorkspaceDirectory Directory(
      std::make_shared<const RouteConfiguration>(Configuration));
  const HostRoute Route;
  EXPECT_EQ(Directory.check(Route, makeKey("k2")).Owner->Name, "labs");
  EXPECT_EQ(Directory.check(Route, makeKey("k3")).Owner->Name, "shop");
  EXPECT_EQ(Directory.check(Route, makeKey("k")).Reason,
            RefusalReason::KeyUnknown);
  EXPECT_EQ(Directory.check(Route, {}).Reason, RefusalReason::KeyMissing);
  EXPECT_EQ(Directory.check(Route, {std::nullopt, true}).Reason,
            RefusalReason::KeyMalformed);
}

TEST(WorkspaceDirectoryTest, check_routeWithoutKeys_takesAnyRequest) {
  RouteConfiguration Configuration;
  Configuration.Workspaces = {makeWorkspace("labs", {"k1"})};
  const WorkspaceDirectory Directory(
      std::make_shared<const RouteConfiguration>(Configuration));
  HostRoute Route;
  Route.NeedsKey = false;
  for (const CallerKey &Key :
       {CallerKey{}, makeKey("k"), {std::nullopt, true}}) {
    EXPECT_EQ(Directory.check(Route, Key).Reason, RefusalReason::None);
    EXPECT_EQ(Directory.check(Route, Key).Owner, nullptr);
  }
  EXPECT_EQ(Directory.check(Route, makeKey("k1")).Owner->Name, "labs");
}

// Guards the deployments without workspaces, whose callers send no keys.
TEST(WorkspaceDirectoryTest, check_noWorkspacesConfigured_needsNoKey) {
  const WorkspaceDirectory Directory(
      std::make_shared<const RouteConfiguration>());
  EXPECT_FALSE(Directory.hasWorkspaces());
  EXPECT_EQ(Directory.check({}, {}).Reason, RefusalReason::None);
}

// Guards against an open fleet if the last workspace is removed.
TEST(WorkspaceDirectoryTest, check_noWorkspaceLeft_refusesAll) {
  RouteConfiguration Configuration;
  Configuration.Workspaces.emplace();
  const WorkspaceDirectory Directory(
      std::make_shared<const RouteConfiguration>(Configuration));
  EXPECT_EQ(Directory.check({}, makeKey("k1")).Reason,
            RefusalReason::KeyUnknown);
}

/// A node with one server in each of two data centres. Rows of the routes table
/// hold a version and the only valid key.
class DirectNodeWorkspaceTest : public testing::Test {
protected:
  DirectNodeWorkspaceTest() {
    DirectNode::Hooks Callbacks;
    Callbacks.Call = [this](const DirectCall &Call) { Calls.push_back(Call); };
    Callbacks.Cancel = [](CallId) {};
    Callbacks.Probe = [this](const DirectProbe &Probe) {
      OpenProbes.push_back(Probe.Id);
    };
    Callbacks.Reply = [this](const FlowResult &Result) {
      Results.push_back(Result.Refused.Reason);
    };
    Callbacks.Send = [](const std::string &, const PeerMessage &) {};
    Callbacks.ReadConfiguration = readConfiguration;
    Callbacks.ReadEvacuation =
        [](const TableRow &Row) -> std::optional<std::string> {
      if (Row.Key == "config")
        return std::nullopt;
      return Row.Key;
    };
    Callbacks.ReadServer = [](const TableRow &Row) {
      DiscoveredServer Server;
      Server.Id = ServerName(Row.Key);
      Server.Service = ServiceName("records");
      Server.Address = Row.Key;
      Server.DataCentre = Row.Key;
      Server.Slots = 100;
      return Server;
    };
    Callbacks.SetReadMode = [](StoreTable, ReadMode) {};
    Callbacks.ReadTable = [](StoreTable) {};
    Callbacks.Configured = [](const RouteConfiguration &) {};
    Callbacks.Log = [this](const char *, const FlowFields &Fields) {
      for (const auto &[Name, Value] : Fields)
        Logged += Value + "\n";
    };
    Callbacks.Records.Read = [] {};
    Node.emplace(Now, DirectNodeSettings{}, std::move(Callbacks));
    Node->onRows(Now, StoreTable::Servers,
                 {{"north", 1, false, ""}, {"south", 2, false, ""}}, 2);
  }

  static std::variant<RouteConfigurationPtr, UnusableRow>
  readConfiguration(const TableRow &Row) {
    RouteConfiguration Configuration;
    Configuration.Version = Row.Version.number();
    HostRoute Route;
    Route.Name = "r";
    Route.Host = "a.example";
    Route.Prefix = "/";
    Route.Timeout = 2s;
    Route.Objective = 500ms;
    Route.Priority = 3;
    Route.Services = {{ServiceName("records"), 1}};
    Configuration.Routes.push_back(Route);
    Configuration.Workspaces = {makeWorkspace("labs", {Row.Value})};
    Configuration.Workspaces->front().Priority = 0;
    return std::make_shared<const RouteConfiguration>(Configuration);
  }

  void configure(std::uint64_t Version, const std::string &Key) {
    Node->onRows(Now, StoreTable::Routes, {{"config", Version, false, Key}},
                 Version);
  }

  void setEvacuated(std::uint64_t Version, const std::string &DataCentre,
                    bool IsEvacuated) {
    Node->onRows(Now, StoreTable::Routes,
                 {{DataCentre, Version, !IsEvacuated, ""}}, Version);
  }

  void send(const std::string &Key) {
    CallerRequest Request;
    Request.Target = "/x";
    Request.WorkspaceKey = makeKey(Key);
    Node->onRequest(Now, RequestId(++LastRequest), "a.example",
                    std::make_shared<const CallerRequest>(Request));
    for (const CallId Id : std::exchange(OpenProbes, {})) {
      ProbeResult Idle;
      Idle.Answered = true;
      Idle.Healthy = true;
      Idle.Load = ServerLoad{0, 0, 100, 100};
      Node->onProbeResult(Now, Id, Idle);
    }
  }

  const Instant Now{1h};
  std::optional<DirectNode> Node;
  std::vector<DirectCall> Calls;
  std::vector<CallId> OpenProbes;
  std::vector<RefusalReason> Results;
  std::string Logged;
  std::uint64_t LastRequest = 0;
};

TEST_F(DirectNodeWorkspaceTest, request_beforeFirstConfiguration_mayComeBack) {
  send("k1");
  ASSERT_EQ(Results.size(), 1U);
  EXPECT_EQ(Results[0], RefusalReason::NoConfiguration);
}

TEST_F(DirectNodeWorkspaceTest, request_validKey_isSentForItsWorkspace) {
  configure(3, "k1");
  send("k1");
  ASSERT_EQ(Calls.size(), 1U);
  EXPECT_TRUE(Calls[0].ReplacesKey);
  EXPECT_EQ(Calls[0].Workspace->Name, "labs");
}

// Guards against a key that is valid again or still after it was taken away.
TEST_F(DirectNodeWorkspaceTest, request_keyTakenAway_isRefusedAtOnce) {
  configure(3, "k1");
  configure(4, "k2");
  send("k1");
  EXPECT_TRUE(Calls.empty());
  ASSERT_EQ(Results.size(), 1U);
  EXPECT_EQ(Results[0], RefusalReason::KeyUnknown);
  // An older configuration that a peer sends late.
  configure(3, "k1");
  send("k1");
  EXPECT_TRUE(Calls.empty());
}

// Guards against keys in logs.
TEST_F(DirectNodeWorkspaceTest, request_withKey_keyIsNotLogged) {
  configure(3, "secret-1");
  send("secret-1");
  send("secret-2");
  EXPECT_EQ(Logged.find("secret"), std::string::npos);
}

// Guards against requests to servers that may be cut off or cold soon.
TEST_F(DirectNodeWorkspaceTest,
       evacuation_begins_serversGetNothingUntilItEnds) {
  configure(3, "k1");
  setEvacuated(4, "north", true);
  for (unsigned Count = 0; Count < 8; ++Count)
    send("k1");
  EXPECT_EQ(Calls.size(), 8U);
  for (const DirectCall &Call : Calls)
    EXPECT_EQ(Call.Server.Id.value(), "south");
  setEvacuated(5, "north", false);
  setEvacuated(6, "south", true);
  Calls.clear();
  send("k1");
  ASSERT_EQ(Calls.size(), 1U);
  EXPECT_EQ(Calls[0].Server.Id.value(), "north");
}

// Guards against requests that wait although no server may get them.
TEST_F(DirectNodeWorkspaceTest,
       evacuation_ofAllServers_requestIsRefusedAtOnce) {
  configure(3, "k1");
  setEvacuated(4, "north", true);
  setEvacuated(5, "south", true);
  send("k1");
  ASSERT_EQ(Results.size(), 1U);
  EXPECT_EQ(Results[0], RefusalReason::NoServer);
}

} // namespace
} // namespace mimosacart
