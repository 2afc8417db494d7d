#include "platform/row_codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

Json makeConfiguration() {
  return Json::parse(R"({
    "version": 7,
    "routes": {
      "columns": ["name", "host", "prefix", "routeKind", "timeout", "slo",
                  "priority", "service", "maxAttempts", "trafficSplit"],
      "rows": [
        ["r1", "a.example", "/one/", "unsafe", "1.2s", "500ms", 1, "s1", 2,
         null],
        ["r2", "b.example", "/two/", "safe", "1000ms", "400ms", 2, null, 3,
         [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]]
      ]},
    "services": {
      "columns": ["name", "healthPath", "maxConns", "protocol", "tls"],
      "rows": [["s1", "/health", 220, "h1", false]]},
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000,
               "headerTimeout": "3000ms", "idleTimeout": "15s"},
    "baseVersion": 5, "somethingNew": true})");
}

Json makeServer() {
  return Json::parse(R"({
    "address": "10.128.0.9:8080", "born": 1783312445813,
    "info": {"service": "s1", "version": "v1", "zone": "z", "concurrency": 2},
    "status": {"state": "ready", "sequence": 4, "warmupLeft": "1500ms"}})");
}

RouteConfigurationPtr parseConfiguration(const Json &Value) {
  const auto Read = readConfiguration({"config", 1, false, Value.dump()});
  const auto *Configuration = std::get_if<RouteConfigurationPtr>(&Read);
  return Configuration ? *Configuration : nullptr;
}

bool isUsable(const std::string &Bytes) {
  return std::holds_alternative<DiscoveredServer>(
      readServer({"i-1", 1, false, Bytes}));
}

TEST(RowCodecTest, readConfiguration_completeConfiguration_keepsEveryField) {
  const RouteConfigurationPtr Read = parseConfiguration(makeConfiguration());
  ASSERT_NE(Read, nullptr);
  EXPECT_EQ(Read->Version, 7U);
  ASSERT_EQ(Read->Routes.size(), 2U);
  const HostRoute &Unsafe = Read->Routes[0];
  EXPECT_FALSE(Unsafe.Idempotent);
  EXPECT_EQ(Unsafe.Timeout, 1200ms);
  EXPECT_EQ(Unsafe.Objective, 500ms);
  EXPECT_EQ(Unsafe.Priority, 1U);
  EXPECT_EQ(Unsafe.MaxAttempts, 2U);
  const HostRoute &Safe = Read->Routes[1];
  EXPECT_TRUE(Safe.Idempotent);
  EXPECT_EQ(Safe.Services,
            (std::vector<WeightedService>{{ServiceName("s1"), 90},
                                          {ServiceName("s2"), 10}}));
  EXPECT_EQ(Read->Services.at(ServiceName("s1")).Connections, 220U);
  EXPECT_EQ(Read->Limits.IdleTimeout, 15s);
  EXPECT_EQ(Read->Limits.BodyBytes, 1000U);
}

TEST(RowCodecTest, readConfiguration_otherRow_returnsNull) {
  const auto Read = readConfiguration({"other", 1, false, "{}"});
  EXPECT_EQ(std::get<RouteConfigurationPtr>(Read), nullptr);
}

TEST(RowCodecTest, readConfiguration_invalidConfiguration_givesReason) {
  Json NoVersion = makeConfiguration();
  NoVersion.erase("version");
  Json BadTime = makeConfiguration();
  BadTime["routes"]["rows"][0][4] = "soon";
  Json EmptySplit = makeConfiguration();
  EmptySplit["routes"]["rows"][1][9] = Json::array();
  for (const std::string &Bytes :
       {NoVersion.dump(), BadTime.dump(), EmptySplit.dump(), std::string("{"),
        std::string("\xff\xfe")}) {
    const auto Read = readConfiguration({"config", 1, false, Bytes});
    ASSERT_TRUE(std::holds_alternative<UnusableRow>(Read)) << Bytes;
    EXPECT_FALSE(std::get<UnusableRow>(Read).Reason.empty());
  }
}

TEST(RowCodecTest, readConfiguration_numbersOutOfRange_areRejected) {
  const std::vector<std::pair<std::string, Json>> InvalidValues = {
      {"/version", -1},
      {"/routes/rows/0/4", "1e30s"},
      {"/routes/rows/0/5", "nans"},
      {"/routes/rows/0/6", -1},
      {"/routes/rows/0/8", 4294967296},
      {"/routes/rows/1/9/0/weight", 1e300},
      {"/services/rows/0/2", -220},
      {"/limits/maxBodyBytes", -1},
      {"/limits/idleTimeout", "infs"}};
  for (const auto &[Path, Value] : InvalidValues) {
    Json Document = makeConfiguration();
    Document[Json::json_pointer(Path)] = Value;
    EXPECT_EQ(parseConfiguration(Document), nullptr) << Path << " " << Value;
  }
}

TEST(RowCodecTest, readServer_completeRow_keepsEveryField) {
  const auto Read = readServer({"i-1", 1, false, makeServer().dump()});
  const auto &Server = std::get<DiscoveredServer>(Read);
  EXPECT_EQ(Server.Id, ServerName("i-1"));
  EXPECT_EQ(Server.Service, ServiceName("s1"));
  EXPECT_EQ(Server.Address, "10.128.0.9:8080");
  EXPECT_EQ(Server.Slots, 2U);
  EXPECT_EQ(Server.WarmUpLeft, 1500ms);
  EXPECT_EQ(Server.Incarnation, 1783312445813U);
  EXPECT_FALSE(Server.Draining);
}

TEST(RowCodecTest, readServer_drainingState_isReported) {
  Json Entry = makeServer();
  Entry["status"]["state"] = "draining";
  const auto Read = readServer({"i-1", 1, false, Entry.dump()});
  EXPECT_TRUE(std::get<DiscoveredServer>(Read).Draining);
}

TEST(RowCodecTest, readServer_missingOrInvalidField_isUnusable) {
  const std::vector<std::pair<std::string, Json>> InvalidValues = {
      {"/address", 7},
      {"/info/service", Json()},
      {"/info/zone", 1},
      {"/info/concurrency", "two"},
      {"/status/state", "idle"},
      {"/status/sequence", "x"},
      {"/born", "today"},
      {"/born", 1.5},
      {"/info", Json::array()},
      {"/status/warmupLeft", 3},
      {"/info/concurrency", 0},
      {"/info/concurrency", -2},
      {"/born", -1},
      {"/info/concurrency", 1e300},
      {"/status/sequence", -4},
      {"/status/warmupLeft", "1e30s"},
      {"/info/version", 2}};
  for (const auto &[Path, Value] : InvalidValues) {
    Json Entry = makeServer();
    Entry[Json::json_pointer(Path)] = Value;
    EXPECT_FALSE(isUsable(Entry.dump())) << Path << " " << Value;
  }
  for (const char *Path : {"address", "info", "status"}) {
    Json Entry = makeServer();
    Entry.erase(Path);
    EXPECT_FALSE(isUsable(Entry.dump())) << Path;
  }
  for (const char *Field : {"service", "zone", "concurrency", "version"}) {
    Json Entry = makeServer();
    Entry["info"].erase(Field);
    EXPECT_FALSE(isUsable(Entry.dump())) << Field;
  }
  for (const char *Field : {"state", "sequence", "warmupLeft"}) {
    Json Entry = makeServer();
    Entry["status"].erase(Field);
    EXPECT_FALSE(isUsable(Entry.dump())) << Field;
  }
  EXPECT_FALSE(isUsable("not json"));
  EXPECT_FALSE(isUsable("[]"));
}

TEST(RowCodecTest, readHost_writtenRow_givesAddressAndInvalidRowNone) {
  EXPECT_EQ(readHost({"h", 1, false, writeHost("10.0.0.1:7")}), "10.0.0.1:7");
  EXPECT_EQ(readHost({"h", 1, false, "{\"peers\":3}"}), std::nullopt);
  EXPECT_EQ(readHost({"h", 1, false, "x"}), std::nullopt);
}

// Guards against an entry of another writer that ends the process by deep
// nesting, in any field.
TEST(RowCodecTest, readServer_deeplyNestedField_isUnusable) {
  constexpr std::size_t Depth = 30'000;
  const std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  const std::string Valid = makeServer().dump();
  for (const char *Value : {"\"10.128.0.9:8080\"", "1783312445813", "\"s1\"",
                            "\"z\"", "2", "\"ready\"", "4", "\"1500ms\""}) {
    std::string Bytes = Valid;
    const std::size_t At = Bytes.find(std::string(":") + Value);
    ASSERT_NE(At, std::string::npos) << Value;
    Bytes.replace(At + 1, std::string(Value).size(), Nested);
    const auto Read = readServer({"i-1", 1, false, Bytes});
    const auto *Unusable = std::get_if<UnusableRow>(&Read);
    ASSERT_NE(Unusable, nullptr) << Value;
    EXPECT_LE(Unusable->Reason.size(), 200U) << Value;
  }
  EXPECT_FALSE(isUsable(Nested));
}

// Guards against entries that name no reachable server but are called.
TEST(RowCodecTest, readServer_addressOutOfRange_isUnusable) {
  for (const char *Address :
       {"10.128.0.9:99999", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9",
        "10.128.0.999:80", "", "host:80"}) {
    Json Server = makeServer();
    Server["address"] = Address;
    EXPECT_FALSE(isUsable(Server.dump())) << Address;
  }
}

// Guards against numbers that no type holds.
TEST(RowCodecTest, readServer_numberTooLarge_isUnusable) {
  for (const char *Number : {"1e999", "99999999999999999999999", "-1", "1.5"}) {
    std::string Bytes = makeServer().dump();
    const std::size_t At = Bytes.find("1783312445813");
    Bytes.replace(At, 13, Number);
    EXPECT_FALSE(isUsable(Bytes)) << Number;
  }
}

TEST(RowCodecTest, readCrashes_writtenCrashes_areEqual) {
  constexpr std::uint64_t Fingerprint = 0xFEDCBA9876543210;
  const std::vector<CrashNotice> Crashes = {
      {Fingerprint, ServerName("i-1"), 1, {}},
      {Fingerprint, ServerName("i-2"), ~std::uint64_t{0}, {}}};
  const TableRow Row{writeCrashKey(Fingerprint), 1, false,
                     writeCrashes(Crashes)};
  EXPECT_EQ(readCrashes(Row), Crashes);
}

// Guards against a process that ends because a server states an id that is not
// UTF-8.
TEST(RowCodecTest, writeCrashes_serverNotUtf8_rowIsReadable) {
  TableRow Row;
  Row.Key = writeCrashKey(7);
  Row.Value = writeCrashes({{7, ServerName("\xff"), 1, {}}});
  EXPECT_EQ(readCrashes(Row).size(), 1U);
}

TEST(RowCodecTest, readCrashes_foreignRow_holdsNoCrashes) {
  const std::string Value = writeCrashes({{7, ServerName("i-1"), 1, {}}});
  EXPECT_TRUE(readCrashes({"", 1, false, Value}).empty());
  EXPECT_TRUE(readCrashes({"not hexadecimal", 1, false, Value}).empty());
  EXPECT_TRUE(readCrashes({"1ffffffffffffffff", 1, false, Value}).empty());
  for (const char *Foreign :
       {"", "{", "7", "[7]", "{}", R"([{"server":"i-1"}])",
        R"([{"server":"i-1","event":-1}])", R"([{"server":4,"event":1}])"})
    EXPECT_TRUE(readCrashes({writeCrashKey(7), 1, false, Foreign}).empty())
        << Foreign;
}

Json makeWorkspaces() {
  return Json::parse(R"({
    "columns": ["name", "apiKeys", "priority", "ratePerS", "burst",
                "allowedRegions"],
    "rows": [["labs", ["k1", "k2"], 1, 7.5, 3, ["south"]],
             ["shop", ["k3"], null, null, null, null],
             ["yard", [], 0, 0, 5, []]]})");
}

TEST(RowCodecTest, readConfiguration_workspaces_keepEveryField) {
  Json Configuration = makeConfiguration();
  Configuration["tenants"] = makeWorkspaces();
  const RouteConfigurationPtr Read = parseConfiguration(Configuration);
  ASSERT_TRUE(Read && Read->Workspaces);
  ASSERT_EQ(Read->Workspaces->size(), 3U);
  const Workspace &Labs = Read->Workspaces->at(0);
  EXPECT_EQ(Labs.Name, "labs");
  EXPECT_EQ(Labs.Keys,
            (std::vector<KeyDigest>{digestKey("k1"), digestKey("k2")}));
  EXPECT_EQ(Labs.Priority, 1U);
  EXPECT_EQ(Labs.Quota, (WorkspaceQuota{7.5, 3}));
  EXPECT_EQ(Labs.Regions, (std::set<std::string>{"south"}));
  const Workspace &Shop = Read->Workspaces->at(1);
  EXPECT_EQ(Shop.Priority, std::nullopt);
  EXPECT_EQ(Shop.Quota, std::nullopt);
  EXPECT_EQ(Read->Workspaces->at(2).Quota, std::nullopt);
  EXPECT_EQ(parseConfiguration(makeConfiguration())->Workspaces, std::nullopt);
}

// Guards against requests that count to another workspace than their caller's.
TEST(RowCodecTest, readConfiguration_keyOfTwoWorkspaces_isNotUsable) {
  Json Configuration = makeConfiguration();
  Configuration["tenants"] = makeWorkspaces();
  Configuration["tenants"]["rows"][1][1] = {"k2"};
  EXPECT_EQ(parseConfiguration(Configuration), nullptr);
}

TEST(RowCodecTest, readConfiguration_routesAndServices_keepNewColumns) {
  Json Configuration = makeConfiguration();
  Json &Routes = Configuration["routes"];
  Routes["columns"].insert(Routes["columns"].end(),
                           {"noAuth", "allowedRegions"});
  Routes["rows"][0].insert(Routes["rows"][0].end(),
                           {true, Json::array({"south"})});
  Routes["rows"][1][3] = "download";
  Configuration["services"]["columns"].push_back("warmupPerS");
  Configuration["services"]["rows"][0].push_back(7.3);
  const RouteConfigurationPtr Read = parseConfiguration(Configuration);
  ASSERT_NE(Read, nullptr);
  EXPECT_FALSE(Read->Routes[0].NeedsKey);
  EXPECT_EQ(Read->Routes[0].Regions, (std::set<std::string>{"south"}));
  EXPECT_TRUE(Read->Routes[1].NeedsKey);
  EXPECT_TRUE(Read->Routes[1].Idempotent);
  EXPECT_EQ(Read->Services.at(ServiceName("s1")).ColdRequestsPerSecond, 7.3);
}

TEST(RowCodecTest, readEvacuation_rowOfDataCentre_namesIt) {
  EXPECT_EQ(readEvacuation({"evacuate/south-a", 1, false, "{}"}), "south-a");
  EXPECT_EQ(readEvacuation({"evacuate/south-a", 2, true, ""}), "south-a");
  EXPECT_EQ(readEvacuation({"config", 1, false, "{}"}), std::nullopt);
}

} // namespace
} // namespace mimosacart
