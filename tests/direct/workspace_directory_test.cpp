/// \file
/// Whose request it is, by its key, at the directory alone and at a whole node
/// while configurations change.
#include "tests/direct/direct_node_fixture.h"

namespace mimosacart {
namespace {

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
