/// \file
/// A whole entry host whose store comes back from an older copy and gives out
/// versions again.
#include "daemon/direct_host_process.h"

#include "net/asio.h"
#include "tests/daemon/direct_host_settings.h"
#include "tests/standins/store_standin.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// A host in the thread of the test, with a store that names era 1.
class StoreDrillTest : public testing::Test {
protected:
  StoreDrillTest() {
    Store.nameEra(1);
    if (!Store.listen(Settings.PlatformAddress))
      throw std::runtime_error("the address of the store is taken");
    Host = std::make_unique<DirectHostProcess>(Context, Settings, [] {});
  }

  void run(Duration Time) {
    Context.restart();
    Context.run_for(Time);
  }

  void publish(unsigned Version) {
    Store.put("op", "config",
              fmt::format(R"({{"version":{},"routes":{{"columns":[],"rows":[]}},
                             "services":{{"columns":[],"rows":[]}}}})",
                          Version));
  }

  void registerServer(const std::string &Id) {
    Store.put("servers", Id, R"({"address":"127.0.0.1:9","info":{
        "service":"s","version":"v1","zone":"here","concurrency":4},
        "status":{"state":"ready","sequence":1,"warmupLeft":"0ms"}})");
  }

  /// Writes until the store's version is \p Version.
  void writeUntil(std::uint64_t Version) {
    while (Store.put("other", "k", "v") < Version)
      continue;
  }

  /// The metric of the host's state with \p Name; -1 if there is none.
  double metric(const std::string &Name) {
    std::string Page;
    HttpCall Call;
    Call.Address = Settings.AdminAddress;
    Call.Request = {"GET", "/metrics", {{"Host", "a"}}, "", ""};
    Call.Timeout = 1s;
    Http.call(std::move(Call), [this, &Page](const HttpResult &Result) {
      if (Result.has_value())
        Page = Result.value().Body.bytes();
      Context.stop();
    });
    run(2s);
    const std::string Label = "{name=\"" + Name + "\"} ";
    const std::size_t Found = Page.find(Label);
    return Found == std::string::npos
               ? -1
               : std::stod(Page.substr(Found + Label.size()));
  }

  /// Starts the host, which has configuration 7 and servers a and b at version
  /// 900; all of these but server b are in the copy of version 850.
  void startAtVersion900() {
    publish(7);
    registerServer("a");
    ASSERT_TRUE(Host->start().has_value());
    run(3s);
    writeUntil(850);
    registerServer("b");
    writeUntil(900);
    run(1500ms);
    ASSERT_EQ(metric("servers"), 2);
    ASSERT_EQ(metric("configuration_version"), 7);
  }

  asio::io_context Context;
  const HostSettings Settings = makeDirectHostSettings();
  StoreStandin Store{Context};
  HttpClient Http{Context, 1U << 20U};
  std::unique_ptr<DirectHostProcess> Host;
};

TEST_F(StoreDrillTest, versionsGivenOutAgain_newRows_areSeen) {
  startAtVersion900();
  Store.goAway();
  run(300ms);
  Store.returnFromVersion(850);
  registerServer("c");
  publish(8);
  registerServer("b");
  writeUntil(900);
  run(4s);
  EXPECT_EQ(metric("servers"), 3);
  EXPECT_EQ(metric("configuration_version"), 8);
}

TEST_F(StoreDrillTest, copyLacksServer_serverWritesSoon_isNeverDropped) {
  startAtVersion900();
  Store.goAway();
  run(300ms);
  Store.returnFromVersion(850);
  for (Duration Waited = 0ms; Waited < 1500ms; Waited += 250ms) {
    run(250ms);
    EXPECT_EQ(metric("servers"), 2);
  }
  registerServer("b");
  run(4s);
  EXPECT_EQ(metric("servers"), 2);
}

TEST_F(StoreDrillTest, copyLacksServer_serverStaysAway_isDropped) {
  startAtVersion900();
  Store.goAway();
  run(300ms);
  Store.returnFromVersion(850);
  run(6s);
  EXPECT_EQ(metric("servers"), 1);
}

TEST_F(StoreDrillTest, copyHasOlderConfiguration_newerStaysInForce) {
  startAtVersion900();
  publish(9);
  run(1s);
  ASSERT_EQ(metric("configuration_version"), 9);
  Store.goAway();
  run(300ms);
  Store.returnFromVersion(850);
  run(3s);
  EXPECT_EQ(metric("configuration_version"), 9);
  publish(10);
  run(1500ms);
  EXPECT_EQ(metric("configuration_version"), 10);
}

TEST_F(StoreDrillTest, copyLacksRowOfTheHost_isWrittenAgain) {
  startAtVersion900();
  ASSERT_EQ(Store.rows("entry-hosts"), 1U);
  Store.goAway();
  run(300ms);
  Store.returnFromVersion(1);
  run(7s);
  EXPECT_EQ(Store.rows("entry-hosts"), 1U);
}

TEST_F(StoreDrillTest, eraCannotBeRead_hostGoesOnAsBefore) {
  startAtVersion900();
  unsigned Version = 20;
  for (const std::optional<std::string> &Text :
       {std::optional<std::string>("two"), std::optional<std::string>("-1"),
        std::optional<std::string>("99999999999999999999999"),
        std::optional<std::string>(""), std::optional<std::string>()}) {
    Store.replaceEraText(Text);
    publish(++Version);
    run(1500ms);
    EXPECT_EQ(metric("configuration_version"), Version)
        << Text.value_or("none");
  }
}

} // namespace
} // namespace mimosacart
