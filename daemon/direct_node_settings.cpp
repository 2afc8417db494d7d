#include "daemon/direct_node_settings.h"

#include <fmt/format.h>

namespace mimosacart {

namespace {

/// Membership periods that keep the traffic between data centres low. The loss
/// of a host is detected within about two seconds.
constexpr MembershipTimes FleetMembershipTimes = {
    .Period = std::chrono::milliseconds(800),
    .PeriodAlone = std::chrono::milliseconds(100),
    .AckTimeout = std::chrono::milliseconds(300),
    .SuspectAfter = std::chrono::milliseconds(700),
    .DeadAfter = std::chrono::milliseconds(800),
    .ForgetAfter = std::chrono::minutes(2),
};

} // namespace

DirectNodeSettings makeNodeSettings(const HostSettings &Host,
                                    IncarnationId Incarnation) {
  DirectNodeSettings Result;
  MemberRecord &Self = Result.Fleet.Self;
  // The name contains the incarnation. A restarted host thus joins as a new
  // member, and incarnations need not be ordered by a clock.
  Self.Host =
      HostName(fmt::format("{}~{:08x}", Host.Name.value(),
                           static_cast<std::uint32_t>(Incarnation.value())));
  Self.Incarnation = Incarnation;
  // The host counts as leaving until it has a configuration, because it cannot
  // serve callers without one.
  Self.Leaving = true;
  Self.DataCentre = Host.DataCentre;
  Self.PeerAddress = Host.toldPeerAddress();
  Self.CallerAddress = Host.CallerAddress;
  Result.Fleet.Seeds = Host.SeedAddresses;
  Result.Fleet.IsFirstStart = Host.Direct->IsFirstStart;
  Result.Fleet.Times = FleetMembershipTimes;
  Result.Fleet.RandomSeed = Incarnation.value();
  Result.Retries = {Host.Direct->RetryShare, Host.Direct->RetrySlack,
                    Host.Direct->RetryWindow, Host.Direct->IsFirstStart};
  Result.Flow.HedgeShare = Host.Direct->HedgeShare;
  Result.Regions = Host.Regions;
  Result.Flow.ColdServers = {Host.Direct->ColdServers.Overrun,
                             Host.Direct->ColdServers.Slack};
  const QuotaBounds &Quotas = Host.Direct->Quotas;
  Result.Quotas = {Quotas.Window, Quotas.Overrun, Quotas.Slack};
  return Result;
}

} // namespace mimosacart
