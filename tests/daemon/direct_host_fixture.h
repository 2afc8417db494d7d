/// \file
/// A whole entry host in the thread of a test, with a store that the test
/// fills.
#pragma once

#include "daemon/direct_host_process.h"

#include "tests/daemon/direct_host_settings.h"
#include "tests/standins/scripted_server.h"
#include "tests/standins/store_standin.h"

#include <boost/asio/read.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace mimosacart {

/// A host of a new fleet and its store. Servers listen where the test wants.
class DirectHostFixture : public testing::Test {
protected:
  using Json = nlohmann::json;

  DirectHostFixture() {
    EXPECT_TRUE(Store.listen(Settings.PlatformAddress));
    Settings.Direct->IsFirstStart = true;
  }

  /// Writes the entry of a server of the service "ledger".
  void registerServer(const std::string &Id, const std::string &Address) {
    const Json Entry = {
        {"address", Address},
        {"born", 1},
        {"info",
         {{"service", "ledger"},
          {"version", "v1"},
          {"zone", "here"},
          {"concurrency", 4}}},
        {"status",
         {{"state", "ready"}, {"sequence", 1}, {"warmupLeft", "0ms"}}}};
    Store.put("servers", Id, Entry.dump());
  }

  /// Writes a configuration with a route of \p Kind for the paths that begin
  /// with /once/.
  void publishRoute(const std::string &Kind, std::size_t MaxBodyBytes) {
    const Json Columns = {"name",      "host",    "prefix",
                          "routeKind", "timeout", "slo",
                          "priority",  "service", "maxAttempts"};
    const Json Configuration = {
        {"version", 1},
        {"routes",
         {{"columns", Columns},
          {"rows",
           {{"once", "a.example", "/once/", Kind, "1500ms", "1000ms", 0,
             "ledger", 3}}}}},
        {"services",
         {{"columns", {"name", "healthPath", "maxConns"}},
          {"rows", {{"ledger", "/health", 100}}}}},
        {"limits",
         {{"headerTimeout", "3000ms"},
          {"idleTimeout", "15000ms"},
          {"maxBodyBytes", MaxBodyBytes}}}};
    Store.put("op", "config", Configuration.dump());
  }

  void run(std::chrono::milliseconds Time) {
    Context.restart();
    Context.run_for(Time);
  }

  /// Sends a request and returns what comes back within \p Time.
  std::string exchange(const std::string &Address, const std::string &Text,
                       std::chrono::milliseconds Time) {
    tcp::socket Socket(Context);
    boost::system::error_code Error;
    Socket.connect(*parseEndpoint(Address), Error);
    asio::async_write(Socket, asio::buffer(Text),
                      [](boost::system::error_code, std::size_t) {});
    run(Time);
    Socket.non_blocking(true);
    std::string Answer;
    asio::read(Socket, asio::dynamic_buffer(Answer), Error);
    return Answer;
  }

  /// Starts the host and waits until it is ready.
  void startHost() {
    Host = std::make_unique<DirectHostProcess>(Context, Settings, [] {});
    ASSERT_TRUE(Host->start().has_value());
    const auto Deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (std::chrono::steady_clock::now() < Deadline)
      if (exchange(Settings.Direct->ReadinessAddress,
                   "GET /v1/readiness HTTP/1.1\r\nHost: a\r\n"
                   "Connection: close\r\n\r\n",
                   std::chrono::milliseconds(50))
              .starts_with("HTTP/1.1 200"))
        break;
  }

  asio::io_context Context;
  StoreStandin Store{Context};
  HostSettings Settings = makeDirectHostSettings();
  std::unique_ptr<DirectHostProcess> Host;
};

} // namespace mimosacart
