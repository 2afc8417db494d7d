#include "core/node.h"

#include "core/ownership.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Time after which a configuration that has not arrived is requested again.
constexpr Duration FetchInterval = std::chrono::milliseconds(500);
/// Time between two probes of a draining server.
constexpr Duration ProbeInterval = std::chrono::seconds(1);
/// Minimum duration of a drain, whatever the server answers to probes.
constexpr Duration MinDrainTime = std::chrono::seconds(3);
/// Number of peers to which a host announces a newly installed configuration.
constexpr std::size_t ConfigIdFanOut = 4;
/// Sum of the shares of all entry hosts, in percent.
constexpr unsigned TotalShare = 100;

} // namespace

Node::Node(Instant Start, NodeSettings InitialSettings)
    : Settings(std::move(InitialSettings)), Self(Settings.Self.Host),
      Incarnation(Settings.Self.Incarnation), Now(Start),
      Random(Settings.RandomSeed), Notices(Settings.Notices),
      Members(Settings.Self, Settings.SeedAddresses, Settings.Membership,
              Settings.RandomSeed, membershipHooks()),
      Journal(Settings.Journal),
      Claims(Self, Incarnation, Start, Settings.Claims,
             [this](const ClaimKey &Claim, const AnswerPtr &Reply) {
               Journal.record(Claim, Reply);
             }),
      LocalScheduler(Settings.Scheduling, schedulerHooks()),
      RequestDispatcher(Self, Incarnation, Settings.Dispatching, LocalScheduler,
                        OwnerLoads, dispatcherHooks()),
      CallerRequests(Self, Incarnation, Claims, Members, callerRequestHooks()),
      LoadReports(Settings.LoadReports, loadReporterHooks()),
      CrashReports(crashReporterHooks()),
      ResultDelivery([this](const HostName &To, PeerBody Body) {
        sendTo(To, std::move(Body));
      }) {}

void Node::log(std::string Name,
               std::vector<std::pair<std::string, std::string>> Fields) {
  addAction(LogEvent{std::move(Name), std::move(Fields)});
}

std::vector<Action> Node::takeActions() {
  std::vector<Action> Result;
  Result.swap(Actions);
  return Result;
}

void Node::sendTo(const HostName &Host, PeerBody Body) {
  const MemberRecord *Found = Members.find(Host);
  if (Found != nullptr && Host != Self)
    sendToAddress(Found->PeerAddress, std::move(Body));
}

void Node::sendToAddress(const std::string &Address, PeerBody Body) {
  addAction(SendToPeer{
      Address, {Self, Incarnation, ++LastSequence, Now, std::move(Body)}});
}

void Node::broadcast(const PeerBody &Body) {
  for (const MemberRecord &Peer : Members.reachablePeers())
    sendToAddress(Peer.PeerAddress, Body);
}

void Node::onTick(Instant EventTime) {
  Now = EventTime;
  Members.setEpoch(Claims.currentToken(Now).Epoch);
  Members.tick(Now);
  if (OwnershipStale)
    updateOwnership();
  for (const ServerName &Server : Notices.expire(Now))
    applyDrain(Server);
  probeDrainingServers();
  CrashReports.tick(Now);
  ResultDelivery.tick(Now);
  LocalScheduler.tick(Now);
  RequestDispatcher.tick(Now);
  CallerRequests.tick(Now);
  Claims.expire(Now);
  if (auto Segment = Journal.next(Now, Claims.currentToken(Now).Epoch,
                                  Members.reachablePeers().size() + 1))
    addAction(WriteJournal{std::move(*Segment)});
  LoadReports.flush(Now);
  if (StopStartedAt)
    advanceStop();
}

void Node::onCallerRequest(Instant EventTime, RequestId Id,
                           RequestPtr Request) {
  Now = EventTime;
  CallerRequests.onRequest(Now, Id, std::move(Request));
  LoadReports.flush(Now);
}

void Node::onCallerGone(Instant EventTime, RequestId Id) {
  Now = EventTime;
  CallerRequests.onCallerGone(Now, Id);
}

void Node::onCallResult(Instant EventTime, CallId Id,
                        const CallResult &Result) {
  Now = EventTime;
  LocalScheduler.onCallResult(Now, Id, Result);
  LoadReports.flush(Now);
}

std::uint64_t Node::stateDigest() const {
  return Members.digest() + Notices.digest();
}

std::optional<ConfigurationId> Node::currentConfigId() const {
  if (!CurrentConfig)
    return std::nullopt;
  return ConfigurationId{CurrentConfig->Number, CurrentConfig->Digest};
}

void Node::compareState(const HostName &From, std::uint64_t Digest,
                        const std::optional<ConfigurationId> &ConfigId) {
  if (ConfigId)
    fetchIfNewer(*ConfigId, From);
  if (Digest == stateDigest())
    return;
  sendTo(From, SoftState{Members.recordsForPeers(Now), Notices.drains(Now),
                         Notices.crashes(Now), currentConfigId()});
}

void Node::onHeadSeen(Instant EventTime, const ConfigurationId &ConfigId) {
  Now = EventTime;
  fetchIfNewer(ConfigId, std::nullopt);
}

void Node::fetchIfNewer(const ConfigurationId &ConfigId,
                        const std::optional<HostName> &Announcer) {
  if (CurrentConfig && ConfigId.Number <= CurrentConfig->Number)
    return;
  const bool RequestedBefore = LastFetchAt && LastFetchConfigId == ConfigId;
  if (RequestedBefore && Now - *LastFetchAt < FetchInterval)
    return;
  LastFetchAt = Now;
  LastFetchConfigId = ConfigId;
  addAction(FetchConfiguration{ConfigId});
  // A peer is asked only if the object store did not deliver the bytes first,
  // so that they are not transferred twice.
  if (Announcer && RequestedBefore)
    sendTo(*Announcer, ConfigurationRequest{ConfigId});
}

void Node::onConfiguration(Instant EventTime, ConfigurationPtr NewConfig) {
  Now = EventTime;
  // The generation in force never decreases within a process.
  if (CurrentConfig && NewConfig->Number <= CurrentConfig->Number)
    return;
  const ConfigurationPtr Previous = CurrentConfig;
  CurrentConfig = std::move(NewConfig);
  PreviousServers.clear();
  HadPreviousConfig = Previous != nullptr;
  if (Previous)
    for (const Service &ConfiguredService : Previous->Content.Services)
      for (const BackendServer &Server : ConfiguredService.Servers)
        PreviousServers.insert(Server.Name);
  ServiceIndexes.clear();
  for (std::size_t Index = 0; Index < CurrentConfig->Content.Services.size();
       ++Index)
    ServiceIndexes[CurrentConfig->Content.Services[Index].Name] = Index;
  CallerRequests.setConfiguration(CurrentConfig);
  updateOwnership();
  if (Previous)
    for (const Service &ConfiguredService : Previous->Content.Services)
      if (!ServiceIndexes.contains(ConfiguredService.Name)) {
        LocalScheduler.removeService(Now, ConfiguredService.Name);
        OwnerLoads.removeService(ConfiguredService.Name);
      }
  log("configuration_in_force",
      {{"generation", std::to_string(CurrentConfig->Number.value())},
       {"digest", CurrentConfig->Digest},
       {"services", std::to_string(CurrentConfig->Content.Services.size())}});
  announceConfigId();
}

/// Announces the current configuration to a few peers. As every host that
/// installs it does the same, all hosts learn of it in a number of steps that
/// is logarithmic in the fleet size. Pings reach the hosts that were missed.
void Node::announceConfigId() {
  std::vector<MemberRecord> Peers = Members.reachablePeers();
  std::shuffle(Peers.begin(), Peers.end(), Random);
  Peers.resize(std::min(Peers.size(), ConfigIdFanOut));
  for (const MemberRecord &Peer : Peers)
    sendToAddress(Peer.PeerAddress, SoftState{{}, {}, {}, currentConfigId()});
}

void Node::onMemberChanged(const MemberRecord &Record, UpdateSource Source) {
  log("member_changed", {{"member", Record.Host.value()},
                         {"status", toString(Record.Status)},
                         {"leaving", Record.Leaving ? "true" : "false"}});
  OwnershipStale = true;
  if (Source == UpdateSource::ObservedLocally)
    broadcast(SoftState{{Record}, {}, {}, std::nullopt});
  if (Record.Status > MemberStatus::Suspect && Record.Host != Self)
    RequestDispatcher.onHostGone(Now, Record.Host, Record.Incarnation);
}

void Node::updateOwnership() {
  OwnershipStale = false;
  if (!CurrentConfig)
    return;
  OwnershipHosts = Members.working();
  for (const Service &ConfiguredService : CurrentConfig->Content.Services)
    assignService(ConfiguredService, OwnershipHosts);
}

std::vector<HostName>
Node::ownersOf(const Service &ConfiguredService,
               const std::vector<MemberRecord> &Hosts) const {
  if (Settings.Scheduling.Pool.Balancing.SlotOwnership)
    return assignOwners(ConfiguredService, Hosts);
  return std::vector<HostName>(ConfiguredService.Servers.size(), Self);
}

void Node::assignService(const Service &ConfiguredService,
                         const std::vector<MemberRecord> &Hosts) {
  const std::vector<HostName> Owners = ownersOf(ConfiguredService, Hosts);
  std::vector<OwnerShare> Shares;
  std::vector<BackendServer> Owned;
  for (std::size_t Index = 0; Index < Owners.size(); ++Index) {
    const BackendServer &Server = ConfiguredService.Servers[Index];
    const HostName &Owner = Owners[Index];
    if (Owner == Self)
      Owned.push_back(Server);
    const auto Found = std::find_if(
        Shares.begin(), Shares.end(),
        [&Owner](const OwnerShare &Share) { return Share.Host == Owner; });
    if (Found == Shares.end())
      Shares.push_back({Owner, Server.Slots});
    else
      Found->Slots += Server.Slots;
  }
  OwnerLoads.setOwners(ConfiguredService.Name, std::move(Shares));
  const bool OwnedBefore = LocalScheduler.owns(ConfiguredService.Name);
  const auto IsNew = [this](const ServerName &Server) {
    return HadPreviousConfig && !PreviousServers.contains(Server);
  };
  LocalScheduler.assign(Now, ConfiguredService, Owned, IsNew);
  for (const BackendServer &Server : Owned)
    if (Notices.isDraining(Now, Server.Name))
      LocalScheduler.setDraining(Now, Server.Name, true);
  if (OwnedBefore && Owned.empty())
    RequestDispatcher.onServiceLost(Now, ConfiguredService.Name);
}

void Node::onHostList(Instant EventTime,
                      const std::vector<std::string> &PeerAddresses,
                      const std::vector<ServerName> &Leaving) {
  Now = EventTime;
  std::vector<std::string> Seeds = Settings.SeedAddresses;
  for (const std::string &Address : PeerAddresses)
    if (std::find(Seeds.begin(), Seeds.end(), Address) == Seeds.end())
      Seeds.push_back(Address);
  Members.setSeeds(std::move(Seeds));
  ListedAsLeaving = {Leaving.begin(), Leaving.end()};
  for (const ServerName &Server : Leaving)
    updateDrainState(Server, true);
}

void Node::updateDrainState(const ServerName &Server, bool Draining) {
  if (!Notices.setDraining(Now, Server, Draining))
    return;
  log(Draining ? "server_draining" : "server_returned",
      {{"server", Server.value()}});
  applyDrain(Server);
  for (const DrainNotice &Notice : Notices.drains(Now))
    if (Notice.Server == Server)
      broadcast(SoftState{{}, {Notice}, {}, std::nullopt});
}

void Node::applyDrain(const ServerName &Server) {
  const bool Draining = Notices.isDraining(Now, Server);
  if (Draining)
    DrainedSince.emplace(Server, Now);
  else
    DrainedSince.erase(Server);
  LocalScheduler.setDraining(Now, Server, Draining);
}

void Node::probeDrainingServers() {
  if (Now < NextProbeAt || !CurrentConfig)
    return;
  NextProbeAt = Now + ProbeInterval;
  for (const ServerView &View : LocalScheduler.servers(Now)) {
    if (View.State == ServerState::Draining)
      addAction(ProbeServer{View.Server});
  }
}

void Node::onProbeResult(Instant EventTime, const ServerName &Server,
                         bool Draining) {
  Now = EventTime;
  if (Draining) {
    updateDrainState(Server, true);
    return;
  }
  const auto Since = DrainedSince.find(Server);
  if (Since == DrainedSince.end() || Now - Since->second < MinDrainTime)
    return;
  if (!ListedAsLeaving.contains(Server))
    updateDrainState(Server, false);
}

void Node::onJournalWritten(Instant EventTime, bool Written) {
  Now = EventTime;
  Journal.onWritten(Written);
}

void Node::onJournalRead(Instant EventTime, RequestId Id,
                         const AnswerPtr &Reply) {
  Now = EventTime;
  CallerRequests.onJournal(Now, Id, Reply);
}

EntriesAnswer Node::entries(Instant QueryTime) const {
  EntriesAnswer Result;
  Result.KeepFor = Settings.EntriesLifetime;
  std::vector<MemberRecord> Hosts = Members.working();
  std::erase_if(Hosts, [](const MemberRecord &Host) {
    return Host.Status != MemberStatus::Alive;
  });
  // Without any alive host that accepts work, callers get this host.
  if (Hosts.empty())
    Hosts.push_back(Members.self());
  std::stable_sort(Hosts.begin(), Hosts.end(),
                   [this](const MemberRecord &Left, const MemberRecord &Right) {
                     const std::string &Own = Settings.Self.DataCentre;
                     return (Left.DataCentre == Own) >
                            (Right.DataCentre == Own);
                   });
  const auto Count = static_cast<unsigned>(Hosts.size());
  for (unsigned Index = 0; Index < Count; ++Index) {
    const MemberRecord &Host = Hosts[Index];
    EntryHost Entry;
    Entry.Host = Host.Host;
    Entry.Address = Host.CallerAddress;
    Entry.DataCentre = Host.DataCentre;
    Entry.Share = TotalShare / Count + (Index < TotalShare % Count ? 1 : 0);
    Entry.Token =
        Host.Host == Self
            ? format(Claims.currentToken(QueryTime))
            : format(IssuerToken{Host.Host, Host.Incarnation, Host.Epoch});
    Result.Hosts.push_back(std::move(Entry));
  }
  return Result;
}

std::vector<std::pair<ServerName, HostName>> Node::owners() const {
  std::vector<std::pair<ServerName, HostName>> Result;
  if (!CurrentConfig)
    return Result;
  for (const Service &ConfiguredService : CurrentConfig->Content.Services) {
    const std::vector<HostName> Owners =
        ownersOf(ConfiguredService, OwnershipHosts);
    for (std::size_t Index = 0; Index < Owners.size(); ++Index)
      Result.emplace_back(ConfiguredService.Servers[Index].Name, Owners[Index]);
  }
  return Result;
}

NodeCounters Node::counters() const {
  NodeCounters Result;
  Result.Retries = RequestDispatcher.retries();
  Result.Hedges = RequestDispatcher.hedges();
  Result.Forwards = RequestDispatcher.forwards();
  Result.MessagesDropped = DroppedMessages;
  Result.LoadReportBytes = LoadReports.bytesSpent();
  Result.LoadReportsDeferred = LoadReports.deferred();
  Result.OpenRequests = CallerRequests.pending();
  Result.QueuedAttempts = LocalScheduler.queuedAttempts();
  Result.RunningCalls = LocalScheduler.runningCalls();
  Result.Claims = Claims.size();
  Result.ClaimAnswerBytes = Claims.answerBytes();
  Result.JournalWaiting = Journal.waiting();
  Result.JournalDropped = Journal.dropped();
  return Result;
}

const RequestKind *Node::findKind(const ServiceName &Service,
                                  const std::string &Kind) const {
  const auto Found = ServiceIndexes.find(Service);
  if (Found == ServiceIndexes.end())
    return nullptr;
  for (const RequestKind &Candidate :
       CurrentConfig->Content.Services[Found->second].Kinds)
    if (Candidate.Name == Kind)
      return &Candidate;
  return nullptr;
}

} // namespace mimosacart
