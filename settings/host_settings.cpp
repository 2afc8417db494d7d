#include "settings/host_settings.h"

#include <fmt/format.h>

namespace mimosacart {

namespace {

constexpr IntegerRange MillisecondRange{10, 3'600'000};
constexpr IntegerRange ByteRange{1024, std::int64_t(64) << 20};
constexpr IntegerRange CountRange{1, 1'000'000};

Duration readMilliseconds(TableReader &Reader, std::string_view Key,
                          Duration Default) {
  const std::int64_t DefaultMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Default).count();
  return std::chrono::milliseconds(
      Reader.integerOr(Key, DefaultMs, MillisecondRange));
}

std::size_t readSize(TableReader &Reader, std::string_view Key,
                     std::size_t Default, IntegerRange Allowed) {
  return static_cast<std::size_t>(
      Reader.integerOr(Key, static_cast<std::int64_t>(Default), Allowed));
}

void readHost(TableReader Reader, HostSettings &Into) {
  Into.Name = HostName(Reader.requiredText("name"));
  if (!Into.Name.value().empty() && !isName(Into.Name.value()))
    Reader.fail("name", fmt::format("found \"{}\", expected up to 63 letters, "
                                    "digits, '-' and '_'",
                                    Into.Name.value()));
  Into.DataCentre = Reader.requiredText("data_centre");
  Reader.finish();
}

void readListen(TableReader Reader, HostSettings &Into) {
  Into.CallerAddress = Reader.requiredAddress("callers");
  Into.PeerAddress = Reader.requiredAddress("peers");
  Into.AdminAddress = Reader.requiredAddress("admin");
  Reader.finish();
}

void readPlatform(TableReader Reader, HostSettings &Into) {
  Into.PlatformAddress = Reader.requiredAddress("address");
  Into.PlatformPoll = readMilliseconds(Reader, "poll_ms", Into.PlatformPoll);
  Into.PlatformTimeout =
      readMilliseconds(Reader, "timeout_ms", Into.PlatformTimeout);
  Reader.finish();
}

void readLimits(TableReader Reader, CallerLimits &Into) {
  Into.HeaderBytes =
      readSize(Reader, "header_bytes", Into.HeaderBytes, ByteRange);
  Into.BodyBytes = readSize(Reader, "body_bytes", Into.BodyBytes, ByteRange);
  Into.Connections =
      readSize(Reader, "connections", Into.Connections, CountRange);
  Into.ConnectionsPerAddress = readSize(Reader, "connections_per_address",
                                        Into.ConnectionsPerAddress, CountRange);
  Into.IdleTimeout =
      readMilliseconds(Reader, "idle_timeout_ms", Into.IdleTimeout);
  Into.ReadTimeout =
      readMilliseconds(Reader, "read_timeout_ms", Into.ReadTimeout);
  Reader.finish();
}

DirectSettings readDirect(TableReader Reader) {
  DirectSettings Into;
  Into.DirectoryAddress = Reader.requiredAddress("directory");
  Into.ReadinessAddress = Reader.requiredAddress("readiness");
  Into.DirectoryLifetime =
      Reader.timeOr("directory_lifetime", Into.DirectoryLifetime);
  Into.RetryShare = Reader.numberOr("retry_share", Into.RetryShare);
  Into.RetrySlack = Reader.numberOr("retry_slack", Into.RetrySlack);
  Into.RetryWindow = Reader.timeOr("retry_window", Into.RetryWindow);
  Into.StopGrace = Reader.timeOr("stop_grace", Into.StopGrace);
  Reader.finish();
  return Into;
}

} // namespace

Checked<HostSettings> parseHostSettings(std::string_view Text,
                                        const std::string &File) {
  const Checked<toml::table> Parsed = parseToml(Text, File);
  if (Parsed.has_error())
    return Parsed.error();
  FieldErrors Errors;
  TableReader Root(File, "", Parsed.value(), Errors);
  HostSettings Result;
  readHost(Root.requiredTable("host"), Result);
  readListen(Root.requiredTable("listen"), Result);
  readPlatform(Root.requiredTable("platform"), Result);
  TableReader Peers = Root.tableOrEmpty("peers");
  Result.SeedAddresses = Peers.addressesOr("seeds", {});
  Peers.finish();
  readLimits(Root.tableOrEmpty("limits"), Result.Limits);
  TableReader Timing = Root.tableOrEmpty("timing");
  Result.EntriesLifetime =
      readMilliseconds(Timing, "entries_lifetime_ms", Result.EntriesLifetime);
  Result.StopTimeout =
      readMilliseconds(Timing, "stop_timeout_ms", Result.StopTimeout);
  Timing.finish();
  TableReader Log = Root.tableOrEmpty("log");
  Result.LogLevel =
      Log.choiceOr("level", Result.LogLevel, {"debug", "info", "error"});
  Log.finish();
  TableReader Balancing = Root.tableOrEmpty("balancing");
  Result.Balancing = Balancing.choiceOr(
      "policy", Result.Balancing,
      {"slot-ownership", "round-robin", "least-in-flight", "two-choices"});
  Balancing.finish();
  if (Parsed.value().contains("direct"))
    Result.Direct = readDirect(Root.requiredTable("direct"));
  Root.finish();
  if (!Errors.empty())
    return Errors;
  return Result;
}

Checked<OperatorSettings> parseOperatorSettings(std::string_view Text,
                                                const std::string &File) {
  const Checked<toml::table> Parsed = parseToml(Text, File);
  if (Parsed.has_error())
    return Parsed.error();
  FieldErrors Errors;
  TableReader Root(File, "", Parsed.value(), Errors);
  OperatorSettings Result;
  TableReader Platform = Root.requiredTable("platform");
  Result.PlatformAddress = Platform.requiredAddress("address");
  Result.PlatformTimeout =
      readMilliseconds(Platform, "timeout_ms", Result.PlatformTimeout);
  Platform.finish();
  TableReader Hosts = Root.requiredTable("hosts");
  Result.AdminAddresses = Hosts.addressesOr("admin", {});
  Hosts.finish();
  TableReader Operator = Root.tableOrEmpty("operator");
  Result.SubmittedBy = Operator.textOr("name", "operator");
  Operator.finish();
  Root.finish();
  if (!Errors.empty())
    return Errors;
  return Result;
}

} // namespace mimosacart
