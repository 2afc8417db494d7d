#include "settings/host_settings.h"

#include <fmt/format.h>

namespace mimosacart {

namespace {

constexpr IntegerRange MillisecondRange{10, 3'600'000};
constexpr IntegerRange ByteRange{1024, std::int64_t(64) << 20};
constexpr IntegerRange CountRange{1, 1'000'000};
constexpr IntegerRange MegabyteRange{64, 1'000'000};
constexpr unsigned MegabyteBits = 20;

Duration readMilliseconds(TableReader &Reader, std::string_view Key,
                          Duration Default) {
  const std::int64_t DefaultMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Default).count();
  return std::chrono::milliseconds(
      Reader.readIntegerOr(Key, DefaultMs, MillisecondRange));
}

std::size_t readSize(TableReader &Reader, std::string_view Key,
                     std::size_t Default, IntegerRange Allowed) {
  return static_cast<std::size_t>(
      Reader.readIntegerOr(Key, static_cast<std::int64_t>(Default), Allowed));
}

void readHost(TableReader Reader, HostSettings &Result) {
  Result.Name = HostName(Reader.readRequiredString("name"));
  if (!Result.Name.value().empty() && !isName(Result.Name.value()))
    Reader.reportError("name",
                       fmt::format("found \"{}\", expected up to 63 letters, "
                                   "digits, '-' and '_'",
                                   Result.Name.value()));
  Result.DataCentre = Reader.readRequiredString("data_centre");
  Result.MemoryBytes =
      readSize(Reader, "memory_mb", Result.MemoryBytes >> MegabyteBits,
               MegabyteRange)
      << MegabyteBits;
  Reader.reportUnknownKeys();
}

void readListen(TableReader Reader, HostSettings &Result) {
  Result.CallerAddress = Reader.readRequiredAddress("callers");
  Result.PeerAddress = Reader.readRequiredAddress("peers");
  Result.AdminAddress = Reader.readRequiredAddress("admin");
  Reader.reportUnknownKeys();
}

void readPlatform(TableReader Reader, HostSettings &Result) {
  Result.PlatformAddress = Reader.readRequiredAddress("address");
  Result.PlatformPoll =
      readMilliseconds(Reader, "poll_ms", Result.PlatformPoll);
  Result.PlatformTimeout =
      readMilliseconds(Reader, "timeout_ms", Result.PlatformTimeout);
  Reader.reportUnknownKeys();
}

void readLimits(TableReader Reader, CallerLimits &Result) {
  Result.HeaderBytes =
      readSize(Reader, "header_bytes", Result.HeaderBytes, ByteRange);
  Result.BodyBytes =
      readSize(Reader, "body_bytes", Result.BodyBytes, ByteRange);
  Result.Connections =
      readSize(Reader, "connections", Result.Connections, CountRange);
  Result.ConnectionsPerAddress =
      readSize(Reader, "connections_per_address", Result.ConnectionsPerAddress,
               CountRange);
  Result.IdleTimeout =
      readMilliseconds(Reader, "idle_timeout_ms", Result.IdleTimeout);
  Result.ReadTimeout =
      readMilliseconds(Reader, "read_timeout_ms", Result.ReadTimeout);
  Reader.reportUnknownKeys();
}

DirectSettings readDirect(TableReader Reader) {
  DirectSettings Result;
  Result.DirectoryAddress = Reader.readRequiredAddress("directory");
  Result.ReadinessAddress = Reader.readRequiredAddress("readiness");
  Result.DirectoryLifetime =
      Reader.readDurationOr("directory_lifetime", Result.DirectoryLifetime);
  Result.RetryShare = Reader.readNumberOr("retry_share", Result.RetryShare);
  Result.RetrySlack = Reader.readNumberOr("retry_slack", Result.RetrySlack);
  Result.RetryWindow =
      Reader.readDurationOr("retry_window", Result.RetryWindow);
  Result.IsFirstStart = Reader.readBooleanOr("first_start", false);
  Result.StopGrace = Reader.readDurationOr("stop_grace", Result.StopGrace);
  QuotaBounds &Quotas = Result.Quotas;
  Quotas.Window = Reader.readDurationOr("quota_window", Quotas.Window);
  Quotas.Overrun = Reader.readNumberOr("quota_overrun", Quotas.Overrun);
  Quotas.Slack = Reader.readNumberOr("quota_slack", Quotas.Slack);
  ColdServerBounds &Cold = Result.ColdServers;
  Cold.Overrun = Reader.readNumberOr("warm_up_overrun", Cold.Overrun);
  Cold.Slack = Reader.readNumberOr("warm_up_slack", Cold.Slack);
  if (Reader.has("hedge_share"))
    Result.HedgeShare = Reader.readNumberOr("hedge_share", 0);
  Reader.reportUnknownKeys();
  return Result;
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
  readHost(Root.readRequiredTable("host"), Result);
  readListen(Root.readRequiredTable("listen"), Result);
  readPlatform(Root.readRequiredTable("platform"), Result);
  TableReader Peers = Root.readTableOrEmpty("peers");
  Result.SeedAddresses = Peers.readAddressesOr("seeds", {});
  Result.AdvertisedPeerAddress = Peers.readAddressOr("advertise", "");
  Peers.reportUnknownKeys();
  Result.Regions = Root.readTableOrEmpty("regions").readStrings();
  TableReader Network = Root.readTableOrEmpty("network");
  Result.SourceAddress = Network.readIpAddressOr("source", "");
  Network.reportUnknownKeys();
  readLimits(Root.readTableOrEmpty("limits"), Result.Limits);
  TableReader Timing = Root.readTableOrEmpty("timing");
  Result.EntriesLifetime =
      readMilliseconds(Timing, "entries_lifetime_ms", Result.EntriesLifetime);
  Result.StopTimeout =
      readMilliseconds(Timing, "stop_timeout_ms", Result.StopTimeout);
  Timing.reportUnknownKeys();
  TableReader Log = Root.readTableOrEmpty("log");
  Result.LogLevel =
      Log.readChoiceOr("level", Result.LogLevel, {"debug", "info", "error"});
  Log.reportUnknownKeys();
  TableReader Balancing = Root.readTableOrEmpty("balancing");
  Result.Balancing = Balancing.readChoiceOr(
      "policy", Result.Balancing,
      {"slot-ownership", "round-robin", "least-in-flight", "two-choices"});
  Balancing.reportUnknownKeys();
  if (Parsed.value().contains("direct"))
    Result.Direct = readDirect(Root.readRequiredTable("direct"));
  Root.reportUnknownKeys();
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
  TableReader Platform = Root.readRequiredTable("platform");
  Result.PlatformAddress = Platform.readRequiredAddress("address");
  Result.PlatformTimeout =
      readMilliseconds(Platform, "timeout_ms", Result.PlatformTimeout);
  Platform.reportUnknownKeys();
  TableReader Hosts = Root.readRequiredTable("hosts");
  Result.AdminAddresses = Hosts.readAddressesOr("admin", {});
  Hosts.reportUnknownKeys();
  TableReader Operator = Root.readTableOrEmpty("operator");
  Result.SubmittedBy = Operator.readStringOr("name", "operator");
  Operator.reportUnknownKeys();
  Root.reportUnknownKeys();
  if (!Errors.empty())
    return Errors;
  return Result;
}

} // namespace mimosacart
