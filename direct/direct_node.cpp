#include "direct/direct_node.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace mimosacart {

namespace {

/// Retry delay sent to callers while this host has no configuration.
constexpr Duration NotReadyRetryAfter = std::chrono::milliseconds(300);

/// Shortest time between two checks whether the hosts have changed.
constexpr Duration QuotaFleetInterval = std::chrono::milliseconds(100);

/// Requests that are alike count as others if another service of a split gets
/// them: what one serves may crash the other.
std::uint64_t fingerprintOf(const std::string &Host, const ServiceName &Service,
                            const CallerRequest &Request) {
  std::uint64_t Hash = stableHash(Host, 0);
  Hash = stableHash(Service.value(), Hash);
  Hash = stableHash(Request.Method, Hash);
  Hash = stableHash(Request.Target, Hash);
  Hash = stableHash(Request.Caller, Hash);
  // The lowest bit is set because 0 means that there is no fingerprint.
  return stableHash(Request.Body.bytes(), Hash) | 1U;
}

} // namespace

DirectNode::DirectNode(Instant StartTime, DirectNodeSettings InitialSettings,
                       Hooks NodeHooks)
    : Settings(std::move(InitialSettings)), Callbacks(std::move(NodeHooks)),
      Now(StartTime),
      Registry([this](const DiscoveredServer &Server, ServerChange Change) {
        onServerChanged(Server, Change);
      }),
      RouteRows([this](const TableRow &Row) { onRouteRow(Row); }),
      ServerRows([this](const TableRow &Row) { onServerRow(Row); }),
      Fleet(Settings.Fleet,
            {{StoreTable::Routes, &RouteRows},
             {StoreTable::Servers, &ServerRows}},
            {Callbacks.Send, Callbacks.SetReadMode, Callbacks.ReadTable,
             Callbacks.Log,
             [this](std::uint64_t Fingerprint) {
               return Flow.wasServed(Now, Fingerprint);
             },
             Callbacks.Records}),
      Flow(Settings.Flow, Settings.Retries,
           ServerRanking(Settings.Ranking, Settings.Fleet.Self.DataCentre,
                         Settings.Fleet.RandomSeed),
           ServerSubset(SubsetPolicy{}, Settings.Fleet.Self.Host.value(),
                        Settings.Fleet.Self.DataCentre),
           Registry, ServerLoads, StartTime, flowHooks()),
      Quotas(StartTime, Settings.Quotas, Settings.Fleet.Self.PeerAddress,
             Settings.Fleet.RandomSeed, quotaHooks()) {}

RequestFlow::Hooks DirectNode::flowHooks() {
  RequestFlow::Hooks Result;
  Result.Call = Callbacks.Call;
  Result.Cancel = Callbacks.Cancel;
  Result.Probe = Callbacks.Probe;
  Result.Finished = Callbacks.Reply;
  Result.HostCount = [this] { return Fleet.hosts(); };
  Result.SharingHosts = [this] { return Fleet.sharingHosts(); };
  Result.CrashCount = [this](std::uint64_t Fingerprint) {
    return Fleet.crashes(Fingerprint);
  };
  Result.CrashesExcused = [this](std::uint64_t Fingerprint) {
    Callbacks.Log("crashes_excused",
                  {{"fingerprint", std::to_string(Fingerprint)}});
    Fleet.excuseCrashes(Now, Fingerprint);
  };
  Result.QuarantinedAgain = [this](Instant At, std::uint64_t Fingerprint) {
    Fleet.renewCrashes(At, Fingerprint);
  };
  Result.Position = [this](const ServerName &Server) {
    return Fleet.position(Server.value());
  };
  Result.CrashSeen = [this](Instant At, const CrashEvidence &Evidence) {
    Callbacks.Log("crash_seen",
                  {{"fingerprint", std::to_string(Evidence.Fingerprint)},
                   {"server", Evidence.Server.value()},
                   {"address", Evidence.Address}});
    Fleet.addCrash(At, Evidence.Fingerprint, ServerName(Evidence.Address));
  };
  Result.Log = Callbacks.Log;
  Result.Clock = [this] { return Callbacks.Clock ? Callbacks.Clock() : Now; };
  Result.IsCallerGone = [this](RequestId Id) {
    return Callbacks.IsCallerGone && Callbacks.IsCallerGone(Id);
  };
  return Result;
}

void DirectNode::onRequest(Instant At, RequestId Id, const std::string &Host,
                           RequestPtr Request) {
  Now = At;
  if (!Routes) {
    refuse(Now, Id, *Request, RefusalReason::NoConfiguration);
    return;
  }
  const HostRoute *Route = Routes->find(Host, Request->Target);
  if (Route == nullptr) {
    refuse(Now, Id, *Request, RefusalReason::NoRoute);
    return;
  }
  WorkspaceCheck Check = Workspaces->check(*Route, Request->WorkspaceKey);
  if (Check.Reason != RefusalReason::None) {
    refuse(Now, Id, *Request, Check.Reason);
    return;
  }
  const Duration EffectiveTimeout =
      std::min(Request->Timeout.value_or(Route->Timeout), Route->Timeout);
  // Its server might still be at work on it when this process ends.
  if (Now >= TakeAllUntil && Now + EffectiveTimeout > EndsAt) {
    refuse(Now, Id, *Request, RefusalReason::Stopping);
    return;
  }
  FlowRequest RoutedRequest;
  RoutedRequest.Id = Id;
  RoutedRequest.Route = *Route;
  const ServiceName Service = Split.next(*Route);
  const auto Found = Configuration->Services.find(Service);
  RoutedRequest.Service = Found == Configuration->Services.end()
                              ? ServiceSettings{Service, "/", 0, {}}
                              : Found->second;
  RoutedRequest.Workspace = std::move(Check.Owner);
  RoutedRequest.ReplacesKey = Workspaces->hasWorkspaces();
  const bool HasPriority =
      RoutedRequest.Workspace && RoutedRequest.Workspace->Priority;
  RoutedRequest.Priority =
      HasPriority ? *RoutedRequest.Workspace->Priority : Route->Priority;
  static const std::set<std::string> AnyRegion;
  RoutedRequest.DataCentres = findDataCentres(
      Settings.Regions, Route->Regions,
      RoutedRequest.Workspace ? RoutedRequest.Workspace->Regions : AnyRegion);
  RoutedRequest.Arrived = Now;
  RoutedRequest.Deadline = Now + EffectiveTimeout;
  RoutedRequest.Fingerprint = fingerprintOf(Host, Service, *Request);
  RoutedRequest.Request = std::move(Request);
  Callbacks.Log(
      "arrived",
      {{"request", RoutedRequest.Request->TraceId},
       {"route", Route->Name},
       {"service", Service.value()},
       {"workspace",
        RoutedRequest.Workspace ? RoutedRequest.Workspace->Name : "none"},
       {"configuration", std::to_string(Configuration->Version)},
       {"allowed_ms", std::to_string(wholeMilliseconds(EffectiveTimeout))},
       {"fingerprint", std::to_string(RoutedRequest.Fingerprint)},
       {"crashes", std::to_string(Fleet.crashes(RoutedRequest.Fingerprint))}});
  startWithinQuota(std::move(RoutedRequest));
}

void DirectNode::refuse(Instant /*Now*/, RequestId Id,
                        const CallerRequest &Request, RefusalReason Reason,
                        Duration RetryAfter) {
  // The others are refused again however long the caller waits.
  if (Reason == RefusalReason::NoConfiguration ||
      Reason == RefusalReason::Stopping)
    RetryAfter = NotReadyRetryAfter;
  Callbacks.Log("reply",
                {{"request", Request.TraceId},
                 {"outcome", toString(RefusalOutcome::NotRun)},
                 {"reason", toString(Reason)},
                 {"configuration", std::to_string(configurationVersion())}});
  FlowResult Result;
  Result.Id = Id;
  Result.Refused = {RefusalOutcome::NotRun, Reason, RetryAfter};
  Callbacks.Reply(Result);
}

void DirectNode::onCallerGone(Instant At, RequestId Id) {
  Now = At;
  const auto Found = QuotaWaiting.find(Id);
  if (Found == QuotaWaiting.end()) {
    Flow.abandon(Now, Id);
    return;
  }
  Quotas.abandon(Id, Found->second.Workspace->Name);
  QuotaWaiting.erase(Found);
}

void DirectNode::onCallResult(Instant At, CallId Id,
                              const ServerCallResult &Result) {
  Now = At;
  Flow.onCallResult(Now, Id, Result);
}

void DirectNode::onProbeResult(Instant At, CallId Id,
                               const ProbeResult &Result) {
  Now = At;
  Flow.onProbeResult(Now, Id, Result);
}

void DirectNode::onPeerMessage(Instant At, const PeerMessage &Message) {
  Now = At;
  Fleet.onMessage(Now, Message);
  if (const auto *Request = std::get_if<QuotaRequest>(&Message.Body)) {
    if (const auto From = Fleet.addressOf(Message.From); !From.empty())
      Quotas.onRequest(Now, From, *Request);
    return;
  }
  if (const auto *Grant = std::get_if<QuotaGrant>(&Message.Body)) {
    if (const auto From = Fleet.addressOf(Message.From); !From.empty())
      Quotas.onGrant(Now, From, *Grant);
    return;
  }
  const StoreVersion Known =
      std::max(RouteRows.knownVersion(), ServerRows.knownVersion());
  if (Known != StoreVersion())
    noteStoreEra(Known.era());
}

void DirectNode::onRows(Instant At, StoreTable Table,
                        const std::vector<TableRow> &Rows,
                        StoreVersion Version) {
  Now = At;
  const StoreVersion PreviousVersion = cache(Table).latestRowVersion();
  if (!cache(Table).apply(Rows, Version))
    return;
  noteStoreEra(Version.era());
  Fleet.onStoreRead(Now, Table, !Rows.empty(), PreviousVersion);
}

bool DirectNode::onWholeTable(Instant At, StoreTable Table,
                              const std::vector<TableRow> &Rows,
                              StoreVersion Version) {
  Now = At;
  const StoreVersion PreviousVersion = cache(Table).latestRowVersion();
  if (!cache(Table).replace(Rows, Version))
    return false;
  noteStoreEra(Version.era());
  const bool HasChanges = cache(Table).latestRowVersion() > PreviousVersion;
  Fleet.onStoreRead(Now, Table, HasChanges, PreviousVersion);
  return true;
}

void DirectNode::onStoreLost(Instant At) {
  Now = At;
  StoreLost = true;
}

void DirectNode::onStoreRegained(Instant At) {
  Now = At;
  StoreLost = false;
  StoreRegainedAt = Now;
}

void DirectNode::onStoreEra(Instant At, std::uint64_t Era) {
  Now = At;
  noteStoreEra(Era);
}

void DirectNode::noteStoreEra(std::uint64_t Era) {
  if (StoreEra && Era <= *StoreEra)
    return;
  const auto Before = std::exchange(StoreEra, Era);
  if (!Before)
    return;
  Callbacks.Log("store_era_changed",
                {{"era", std::to_string(Era)},
                 {"before", std::to_string(*Before)},
                 {"routes", std::to_string(RouteRows.version().number())},
                 {"servers", std::to_string(ServerRows.version().number())}});
  // Servers whose entries the copy lacks register again.
  StoreRegainedAt = Now;
  Fleet.onStoreEraChanged(Now);
  if (Callbacks.StoreEraChanged)
    Callbacks.StoreEraChanged();
}

bool DirectNode::wasInterrupted() const {
  return StoreLost || (StoreRegainedAt &&
                       Now - *StoreRegainedAt < Settings.InterruptionGrace);
}

void DirectNode::onPeerAddresses(std::vector<std::string> Addresses) {
  Fleet.setSeeds(std::move(Addresses));
}

void DirectNode::onCrashRecordsRead(Instant At,
                                    std::vector<CrashNotice> Recorded) {
  Now = At;
  Fleet.onCrashRecordsRead(Now, std::move(Recorded));
}

void DirectNode::onStop(Instant At, Instant NewTakeAllUntil,
                        Instant NewEndsAt) {
  Now = At;
  Stopping = true;
  TakeAllUntil = NewTakeAllUntil;
  EndsAt = NewEndsAt;
  Fleet.leave(Now);
  updateQuotaFleet();
}

void DirectNode::onRouteRow(const TableRow &Row) {
  if (Callbacks.ReadEvacuation)
    if (const auto DataCentre = Callbacks.ReadEvacuation(Row)) {
      setEvacuated(*DataCentre, !Row.Removed);
      return;
    }
  // Operators never remove the configuration on purpose. If its row is removed,
  // the last configuration stays in force.
  if (Row.Removed)
    return;
  auto Parsed = Callbacks.ReadConfiguration(Row);
  if (const auto *Unusable = std::get_if<UnusableRow>(&Parsed)) {
    Callbacks.Log("configuration_unusable",
                  {{"row", Row.Key},
                   {"row_version", std::to_string(Row.Version.number())},
                   {"why", Unusable->Reason},
                   {"in_force", std::to_string(configurationVersion())}});
    return;
  }
  const auto &NewConfiguration = std::get<RouteConfigurationPtr>(Parsed);
  if (NewConfiguration == nullptr)
    return;
  if (Routes && NewConfiguration->Version < Configuration->Version) {
    Callbacks.Log("configuration_older",
                  {{"told", std::to_string(NewConfiguration->Version)},
                   {"in_force", std::to_string(Configuration->Version)}});
    return;
  }
  applyConfiguration(Row, NewConfiguration);
}

void DirectNode::applyConfiguration(
    const TableRow &Row, const RouteConfigurationPtr &NewConfiguration) {
  const std::size_t WorkspaceCount =
      NewConfiguration->Workspaces ? NewConfiguration->Workspaces->size() : 0;
  Callbacks.Log(
      "configuration_in_force",
      {{"configuration", std::to_string(NewConfiguration->Version)},
       {"before", std::to_string(configurationVersion())},
       {"row_version", std::to_string(Row.Version.number())},
       {"routes", std::to_string(NewConfiguration->Routes.size())},
       {"services", std::to_string(NewConfiguration->Services.size())},
       {"workspaces", std::to_string(WorkspaceCount)}});
  const bool IsFirst = !Routes.has_value();
  Configuration = NewConfiguration;
  Routes.emplace(NewConfiguration);
  Workspaces.emplace(NewConfiguration);
  Flow.onConfiguration(*NewConfiguration);
  Quotas.setQuotas(Now, *NewConfiguration);
  Callbacks.Configured(*NewConfiguration);
  if (IsFirst && !Stopping)
    Fleet.join(Now);
}

void DirectNode::setEvacuated(const std::string &DataCentre, bool IsEvacuated) {
  if (!Registry.setEvacuated(DataCentre, IsEvacuated))
    return;
  Callbacks.Log(
      "evacuation_changed",
      {{"data_centre", DataCentre}, {"evacuated", IsEvacuated ? "yes" : "no"}});
}

bool DirectNode::isOfEarlierStart(const DiscoveredServer &Server) const {
  const DiscoveredServer *Known = Registry.find(Server.Id);
  return Known != nullptr && Server.Incarnation != 0 &&
         Server.Incarnation < Known->Incarnation;
}

void DirectNode::onServerRow(const TableRow &Row) {
  noteStoreEra(Row.Version.era());
  if (Row.Removed) {
    Registry.remove(Now, ServerName(Row.Key), wasInterrupted());
    return;
  }
  const auto Parsed = Callbacks.ReadServer(Row);
  if (const auto *Unusable = std::get_if<UnusableRow>(&Parsed)) {
    Callbacks.Log("server_entry_unusable",
                  {{"server", Row.Key},
                   {"row_version", std::to_string(Row.Version.number())},
                   {"why", Unusable->Reason}});
    Registry.remove(Now, ServerName(Row.Key), false);
    return;
  }
  const auto &Server = std::get<DiscoveredServer>(Parsed);
  if (wasInterrupted() && isOfEarlierStart(Server)) {
    Callbacks.Log("server_entry_older",
                  {{"server", Row.Key},
                   {"row_version", std::to_string(Row.Version.number())}});
    return;
  }
  Registry.update(Now, Server);
}

void DirectNode::onServerChanged(const DiscoveredServer &Server,
                                 ServerChange Change) {
  Callbacks.Log("server_changed",
                {{"server", Server.Id.value()},
                 {"change", toString(Change)},
                 {"service", Server.Service.value()},
                 {"address", Server.Address},
                 {"draining", Server.Draining ? "yes" : "no"},
                 {"born", std::to_string(Server.Incarnation)}});
  if (Change == ServerChange::Joined || Change == ServerChange::Restarted)
    ServerLoads.reset(Now, Server);
  if (Change == ServerChange::Removed)
    ServerLoads.forget(Server.Id);
  Flow.onServerChanged(Now, Server, Change);
}

void DirectNode::tick(Instant At) {
  Now = At;
  Registry.tick(Now);
  Fleet.tick(Now);
  Flow.tick(Now);
  if (Now >= NextQuotaFleetAt) {
    NextQuotaFleetAt = Now + QuotaFleetInterval;
    updateQuotaFleet();
  }
  Quotas.tick(Now);
}

Instant DirectNode::nextTick() const {
  return std::min({Registry.nextTick(), Fleet.nextTick(), Flow.nextTick(),
                   Quotas.nextTick()});
}

std::vector<std::string>
DirectNode::callerAddresses(std::string_view Destination) const {
  std::vector<MemberRecord> Hosts = Fleet.serving();
  const DataCentreSet Allowed =
      Routes ? findDataCentres(Settings.Regions,
                               Routes->findRegions(Destination), {})
             : std::nullopt;
  const auto IsOutside = [&Allowed](const MemberRecord &Host) {
    return Allowed && !Allowed->contains(Host.DataCentre);
  };
  // A host elsewhere can still call the servers in these regions.
  if (!std::all_of(Hosts.begin(), Hosts.end(), IsOutside))
    std::erase_if(Hosts, IsOutside);
  std::vector<std::string> Result;
  Result.reserve(Hosts.size());
  for (const MemberRecord &Host : Hosts)
    Result.push_back(Host.CallerAddress);
  std::sort(Result.begin(), Result.end());
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

} // namespace mimosacart
