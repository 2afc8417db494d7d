#include "direct/server_registry.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class ServerRegistryTest : public testing::Test {
protected:
  static DiscoveredServer make(const std::string &Id) {
    DiscoveredServer Server;
    Server.Id = ServerName(Id);
    Server.Service = ServiceName("records");
    Server.Address = "10.0.0.1:80";
    Server.Slots = 2;
    Server.Incarnation = 1;
    return Server;
  }

  std::size_t usable() const {
    return Registry.usable(ServiceName("records")).size();
  }

  std::vector<std::string> Changes;
  ServerRegistry Registry{
      [this](const DiscoveredServer &Server, ServerChange Change) {
        Changes.push_back(Server.Id.value() + " " + toString(Change));
      }};
  Instant Now{1h};
};

TEST_F(ServerRegistryTest, update_drainingServer_getsNoNewRequests) {
  DiscoveredServer Server = make("a");
  Registry.update(Now, Server);
  EXPECT_EQ(usable(), 1U);
  Server.Draining = true;
  Registry.update(Now, Server);
  EXPECT_EQ(usable(), 0U);
  EXPECT_NE(Registry.find(Server.Id), nullptr);
}

TEST_F(ServerRegistryTest, update_anotherStart_isAnotherIncarnation) {
  DiscoveredServer Server = make("a");
  Registry.update(Now, Server);
  Registry.update(Now, Server);
  Server.Incarnation = 2;
  Registry.update(Now, Server);
  EXPECT_EQ(Changes, (std::vector<std::string>{"a joined", "a reborn"}));
}

TEST_F(ServerRegistryTest, update_anotherService_leavesTheFirst) {
  DiscoveredServer Server = make("a");
  Registry.update(Now, Server);
  Server.Service = ServiceName("billing");
  Registry.update(Now, Server);
  EXPECT_EQ(usable(), 0U);
  EXPECT_EQ(Registry.usable(ServiceName("billing")).size(), 1U);
}

TEST_F(ServerRegistryTest, remove_whileDiscoveryWorks_isGoneAtOnce) {
  Registry.update(Now, make("a"));
  Registry.remove(Now, ServerName("a"), false);
  EXPECT_EQ(usable(), 0U);
  EXPECT_EQ(Registry.find(ServerName("a")), nullptr);
}

TEST_F(ServerRegistryTest, remove_afterInterruption_lapsesBeforeItIsGone) {
  Registry.update(Now, make("a"));
  Registry.remove(Now, ServerName("a"), true);
  EXPECT_EQ(usable(), 1U);
  Registry.tick(Now + ServerRegistry::RemovalDelay - 1ms);
  EXPECT_EQ(usable(), 1U);
  Registry.tick(Now + ServerRegistry::RemovalDelay);
  EXPECT_EQ(usable(), 0U);
  EXPECT_EQ(Changes.back(), "a gone");
}

TEST_F(ServerRegistryTest, update_lapsedServerIsBack_stays) {
  Registry.update(Now, make("a"));
  Registry.remove(Now, ServerName("a"), true);
  Registry.update(Now + 1s, make("a"));
  Registry.tick(Now + 10s);
  EXPECT_EQ(usable(), 1U);
  EXPECT_EQ(Registry.nextTick(), Instant::max());
}

TEST_F(ServerRegistryTest, replace_withoutInterruption_dropsTheMissing) {
  Registry.replace(Now, {make("a"), make("b")}, false);
  Registry.replace(Now, {make("b")}, false);
  EXPECT_EQ(usable(), 1U);
  Registry.replace(Now, {}, true);
  EXPECT_EQ(usable(), 1U);
}

} // namespace
} // namespace mimosacart
