#include "direct/server_registry.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class ServerRegistryTest : public testing::Test {
protected:
  static DiscoveredServer makeServer(const std::string &Id) {
    DiscoveredServer Server;
    Server.Id = ServerName(Id);
    Server.Service = ServiceName("records");
    Server.Address = "10.0.0.1:80";
    Server.Slots = 2;
    Server.Incarnation = 1;
    return Server;
  }

  std::size_t countUsable() const {
    return Registry.usable(ServiceName("records")).size();
  }

  std::vector<std::string> Changes;
  ServerRegistry Registry{
      [this](const DiscoveredServer &Server, ServerChange Change) {
        Changes.push_back(Server.Id.value() + " " + toString(Change));
      }};
  Instant Now{1h};
};

TEST_F(ServerRegistryTest, update_drainingServer_isNotUsable) {
  DiscoveredServer Server = makeServer("a");
  Registry.update(Now, Server);
  EXPECT_EQ(countUsable(), 1U);
  Server.Draining = true;
  Registry.update(Now, Server);
  EXPECT_EQ(countUsable(), 0U);
  EXPECT_NE(Registry.find(Server.Id), nullptr);
}

TEST_F(ServerRegistryTest, update_otherIncarnation_reportsRestart) {
  DiscoveredServer Server = makeServer("a");
  Registry.update(Now, Server);
  Registry.update(Now, Server);
  Server.Incarnation = 2;
  Registry.update(Now, Server);
  EXPECT_EQ(Changes, (std::vector<std::string>{"a joined", "a reborn"}));
}

TEST_F(ServerRegistryTest, update_otherService_leavesTheFirst) {
  DiscoveredServer Server = makeServer("a");
  Registry.update(Now, Server);
  Server.Service = ServiceName("billing");
  Registry.update(Now, Server);
  EXPECT_EQ(countUsable(), 0U);
  EXPECT_EQ(Registry.usable(ServiceName("billing")).size(), 1U);
}

TEST_F(ServerRegistryTest, remove_withoutInterruption_removesAtOnce) {
  Registry.update(Now, makeServer("a"));
  Registry.remove(Now, ServerName("a"), false);
  EXPECT_EQ(countUsable(), 0U);
  EXPECT_EQ(Registry.find(ServerName("a")), nullptr);
}

TEST_F(ServerRegistryTest, remove_afterInterruption_removesAfterDelay) {
  Registry.update(Now, makeServer("a"));
  Registry.remove(Now, ServerName("a"), true);
  EXPECT_EQ(countUsable(), 1U);
  Registry.tick(Now + ServerRegistry::RemovalDelay - 1ms);
  EXPECT_EQ(countUsable(), 1U);
  Registry.tick(Now + ServerRegistry::RemovalDelay);
  EXPECT_EQ(countUsable(), 0U);
  EXPECT_EQ(Changes.back(), "a gone");
}

TEST_F(ServerRegistryTest, update_duringRemovalDelay_cancelsRemoval) {
  Registry.update(Now, makeServer("a"));
  Registry.remove(Now, ServerName("a"), true);
  Registry.update(Now + 1s, makeServer("a"));
  Registry.tick(Now + 10s);
  EXPECT_EQ(countUsable(), 1U);
  EXPECT_EQ(Registry.nextTick(), Instant::max());
}

TEST_F(ServerRegistryTest, replace_withoutInterruption_removesMissingServers) {
  Registry.replace(Now, {makeServer("a"), makeServer("b")}, false);
  Registry.replace(Now, {makeServer("b")}, false);
  EXPECT_EQ(countUsable(), 1U);
  Registry.replace(Now, {}, true);
  EXPECT_EQ(countUsable(), 1U);
}

} // namespace
} // namespace mimosacart
