#include "settings/configuration_file.h"
#include "settings/host_settings.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

constexpr const char *ValidHost = R"(
[host]
name = "bog-a-1"
data_centre = "bog-a"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
[peers]
seeds = ["127.0.0.1:5", "[::1]:6"]
)";

std::vector<std::string> formatErrors(const FieldErrors &Errors) {
  std::vector<std::string> Lines;
  for (const FieldError &Error : Errors)
    Lines.push_back(format(Error));
  return Lines;
}

TEST(HostSettingsTest, parse_valid_readsEveryField) {
  const auto Parsed = parseHostSettings(ValidHost, "f");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed.value().Name.value(), "bog-a-1");
  EXPECT_EQ(Parsed.value().SeedAddresses.size(), 2U);
}

TEST(HostSettingsTest, parse_noAdvertisedAddress_peersAreToldWhereItListens) {
  const auto Parsed = parseHostSettings(ValidHost, "f");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed.value().toldPeerAddress(), "127.0.0.1:2");
  EXPECT_EQ(Parsed.value().SourceAddress, "");
}

TEST(HostSettingsTest, parse_advertisedAndSourceAddress_areRead) {
  const auto Parsed =
      parseHostSettings(std::string(ValidHost) + "advertise = \"10.0.0.1:7\"\n"
                                                 "[network]\n"
                                                 "source = \"127.0.0.9\"\n",
                        "f");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed.value().toldPeerAddress(), "10.0.0.1:7");
  EXPECT_EQ(Parsed.value().SourceAddress, "127.0.0.9");
}

TEST(HostSettingsTest, parse_badAdvertisedAndSourceAddress_reportsEach) {
  const auto Parsed =
      parseHostSettings(std::string(ValidHost) + "advertise = \"10.0.0.1\"\n"
                                                 "[network]\n"
                                                 "source = \"127.0.0.9:1\"\n",
                        "f");
  ASSERT_TRUE(Parsed.has_error());
  const auto Lines = formatErrors(Parsed.error());
  ASSERT_EQ(Lines.size(), 2U);
  EXPECT_EQ(Lines[0], "f:13:13: peers.advertise: found \"10.0.0.1\", expected "
                      "an IP address and a port such as \"10.0.0.1:8080\"");
  EXPECT_EQ(Lines[1],
            "f:15:10: network.source: found \"127.0.0.9:1\", expected "
            "an IP address such as \"10.0.0.1\"");
}

TEST(HostSettingsTest,
     parse_severalErrors_reportsAllWithPositionAndAllowedValues) {
  const auto Parsed = parseHostSettings(R"([host]
name = "bad name"
data_centre = 7
colour = "red"
[listen]
callers = "localhost:1"
peers = "127.0.0.1:99999"
admin = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
poll_ms = 1
)",
                                        "host.toml");
  ASSERT_TRUE(Parsed.has_error());
  const auto Lines = formatErrors(Parsed.error());
  ASSERT_EQ(Lines.size(), 6U);
  EXPECT_EQ(Lines[0], "host.toml:2:8: host.name: found \"bad name\", expected "
                      "up to 63 letters, digits, '-' and '_'");
  EXPECT_EQ(Lines[1], "host.toml:3:15: host.data_centre: found an integer, "
                      "expected a string");
  EXPECT_EQ(Lines[2], "host.toml:4:1: host.colour: unknown key, expected one "
                      "of data_centre, memory_mb, name");
  EXPECT_EQ(Lines[5],
            "host.toml:11:11: platform.poll_ms: found 1, expected 10 to "
            "3600000");
}

TEST(HostSettingsTest, parse_memory_isReadInMegabytesAndChecked) {
  const std::string Rest = "name = \"a\"\ndata_centre = \"b\"\n[listen]\n"
                           "callers = \"127.0.0.1:1\"\n"
                           "peers = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\n"
                           "[platform]\naddress = \"127.0.0.1:4\"\n";
  const auto Read =
      parseHostSettings("[host]\nmemory_mb = 650\n" + Rest, "host.toml");
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read.value().MemoryBytes, std::size_t(650) << 20U);
  EXPECT_TRUE(parseHostSettings("[host]\nmemory_mb = 0\n" + Rest, "host.toml")
                  .has_error());
}

TEST(HostSettingsTest, parse_syntaxError_reportsItsPosition) {
  const auto Parsed = parseHostSettings("[host\n", "f");
  ASSERT_TRUE(Parsed.has_error());
  EXPECT_EQ(Parsed.error().size(), 1U);
  EXPECT_EQ(Parsed.error()[0].Line, 1U);
}

TEST(HostSettingsTest,
     parse_nonAsciiCharacter_isAllowedOnlyInCommentsAndStrings) {
  // The first of these texts triggered undefined behaviour in toml++ 3.3.
  for (const char *Text : {"\xef\xbb\xb7# comment\n", "a.\xc3\xa9 = 1\n",
                           "\"a\".\xc3\xa9 = 1\n", "a = 1 \xc3\xa9\n",
                           // So did these, whose quotes do not begin a string.
                           "a =+\"\xc3\xa9\"\n", "a = 1=\"\xc3\xa9\"\n"}) {
    const auto Parsed = parseHostSettings(Text, "f");
    ASSERT_TRUE(Parsed.has_error());
    EXPECT_EQ(Parsed.error().size(), 1U) << Text;
    EXPECT_EQ(Parsed.error()[0].Line, 1U);
  }
  const auto Allowed =
      parseHostSettings(std::string("# Ventilaci\xc3\xb3n\n") + ValidHost, "f");
  EXPECT_TRUE(Allowed.has_value());
  EXPECT_TRUE(parseToml("a = \"\\\"\xc3\xb3\" # \xc3\xb3\n", "f").has_value());
}

constexpr const char *ValidConfiguration = R"(
[[service]]
name = "records"
[[service.kind]]
name = "read"
path = "/records/*"
idempotent = true
deadline_ms = 100
[[service.server]]
name = "s1"
address = "127.0.0.1:1"
data_centre = "a"
slots = 2
connections = 10
)";

TEST(ConfigurationFileTest, parse_valid_readsServersAndKinds) {
  const auto Parsed = parseConfiguration(ValidConfiguration, "f");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed.value().Services[0].Servers[0].Slots, 2U);
  EXPECT_TRUE(Parsed.value().Services[0].Kinds[0].Idempotent);
}

TEST(ConfigurationFileTest, parse_retriesOfNonIdempotentKind_isRefused) {
  std::string Text = ValidConfiguration;
  Text.replace(Text.find("idempotent = true"), 17,
               "idempotent = false\nretries = 1\nhedge = true");
  const auto Parsed = parseConfiguration(Text, "f");
  ASSERT_TRUE(Parsed.has_error());
  EXPECT_EQ(Parsed.error().size(), 2U);
}

TEST(ConfigurationFileTest, parse_duplicateNamesAndRoutes_isRefused) {
  const std::string Text = std::string(ValidConfiguration) + ValidConfiguration;
  const auto Parsed = parseConfiguration(Text, "f");
  ASSERT_TRUE(Parsed.has_error());
  // Service name, server name, server address and route are each duplicated.
  EXPECT_EQ(Parsed.error().size(), 4U);
}

TEST(ConfigurationFileTest, parse_empty_isRefused) {
  EXPECT_TRUE(parseConfiguration("", "f").has_error());
}

TEST(ConfigurationFileTest,
     describeChanges_serverChangedAndKindRemoved_listsBoth) {
  const auto Before = parseConfiguration(ValidConfiguration, "f").value();
  Configuration After = Before;
  After.Services[0].Servers[0].Slots = 3;
  After.Services[0].Kinds.clear();
  EXPECT_EQ(describeChanges(Before, After),
            (std::vector<std::string>{"change server records/s1",
                                      "remove kind records/read"}));
}

TEST(HostSettingsTest, parse_directTable_readsDurationsAndNumbers) {
  const auto Parsed = parseHostSettings(std::string(ValidHost) + R"(
[direct]
directory = "127.0.0.1:5"
readiness = "127.0.0.1:6"
retry_share = 0.3
retry_slack = 56
retry_window = "10s"
stop_grace = "2500ms"
first_start = true
)",
                                        "f");
  ASSERT_TRUE(Parsed.has_value());
  ASSERT_TRUE(Parsed.value().Direct.has_value());
  EXPECT_EQ(Parsed.value().Direct->RetryShare, 0.3);
  EXPECT_EQ(Parsed.value().Direct->RetrySlack, 56);
  EXPECT_EQ(Parsed.value().Direct->StopGrace, std::chrono::milliseconds(2500));
  EXPECT_TRUE(Parsed.value().Direct->IsFirstStart);
}

TEST(HostSettingsTest, parse_directTableWithErrors_reportsEach) {
  const auto Parsed = parseHostSettings(std::string(ValidHost) + R"(
[direct]
directory = "nowhere"
retry_share = -1
stop_grace = "soon"
)",
                                        "f");
  ASSERT_TRUE(Parsed.has_error());
  EXPECT_EQ(Parsed.error().size(), 4U);
}

} // namespace
} // namespace mimosacart
