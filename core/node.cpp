#include "core/node.h"

#include "core/ownership.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// A configuration that did not arrive is asked for again after this.
constexpr Duration FetchInterval = std::chrono::milliseconds(500);
/// A leaving server is asked this often whether it still is.
constexpr Duration ProbeInterval = std::chrono::seconds(1);
/// A drain is held at least this long, however the server answers a probe.
constexpr Duration MinDrainTime = std::chrono::seconds(3);
/// Peers that a host tells of a configuration that it has installed.
constexpr std::size_t ConfigIdFanOut = 4;
/// Shares of callers' requests, in percent of all.
constexpr unsigned WholeShare = 100;

} // namespace

Node::Node(Instant Start, NodeSettings Given)
    : Settings(std::move(Given)), Self(Settings.Self.Host),
      Incarnation(Settings.Self.Incarnation), Now(Start),
      Random(Settings.RandomSeed), Notices(Settings.Notices),
      Members(Settings.Self, Settings.SeedAddresses, Settings.Membership,
              Settings.RandomSeed, membershipHooks()),
      Journal(Settings.Journal),
      Claims(Self, Incarnation, Start, Settings.Claims,
             [this](const ClaimKey &Claim, const AnswerPtr &Reply) {
               Journal.record(Claim, Reply);
             }),
      Local(Settings.Scheduling, schedulerHooks()),
      Requests(Self, Incarnation, Settings.Dispatching, Local, Loads,
               dispatcherHooks()),
      CallerRequests(Self, Incarnation, Claims, Members, callerRequestHooks()),
      Reporter(Settings.LoadReports, reporterHooks()), Crashes(crashHooks()),
      Results([this](const HostName &To, PeerBody Body) {
        sendTo(To, std::move(Body));
      }) {}

void Node::log(std::string Name,
               std::vector<std::pair<std::string, std::string>> Fields) {
  act(LogEvent{std::move(Name), std::move(Fields)});
}

std::vector<Action> Node::takeActions() {
  std::vector<Action> Taken;
  Taken.swap(Actions);
  return Taken;
}

void Node::sendTo(const HostName &Host, PeerBody Body) {
  const MemberRecord *Found = Members.find(Host);
  if (Found != nullptr && Host != Self)
    sendToAddress(Found->PeerAddress, std::move(Body));
}

void Node::sendToAddress(const std::string &Address, PeerBody Body) {
  act(SendToPeer{Address,
                 {Self, Incarnation, ++LastSequence, Now, std::move(Body)}});
}

void Node::broadcast(const PeerBody &Body) {
  for (const MemberRecord &Peer : Members.reachablePeers())
    sendToAddress(Peer.PeerAddress, Body);
}

void Node::onTick(Instant At) {
  Now = At;
  Members.setEpoch(Claims.currentToken(Now).Epoch);
  Members.tick(Now);
  if (OwnershipStale)
    updateOwnership();
  for (const ServerName &Server : Notices.expire(Now))
    applyDrain(Server);
  probeDrainingServers();
  Crashes.tick(Now);
  Results.tick(Now);
  Local.tick(Now);
  Requests.tick(Now);
  CallerRequests.tick(Now);
  Claims.expire(Now);
  if (auto Segment = Journal.next(Now, Claims.currentToken(Now).Epoch,
                                  Members.reachablePeers().size() + 1))
    act(WriteJournal{std::move(*Segment)});
  Reporter.flush(Now);
  if (StopStartedAt)
    advanceStop();
}

void Node::onCallerRequest(Instant At, RequestId Id, RequestPtr Request) {
  Now = At;
  CallerRequests.onRequest(Now, Id, std::move(Request));
  Reporter.flush(Now);
}

void Node::onCallerGone(Instant At, RequestId Id) {
  Now = At;
  CallerRequests.onCallerGone(Now, Id);
}

void Node::onCallResult(Instant At, CallId Id, const CallResult &Result) {
  Now = At;
  Local.onCallResult(Now, Id, Result);
  Reporter.flush(Now);
}

std::uint64_t Node::stateDigest() const {
  return Members.digest() + Notices.digest();
}

std::optional<ConfigurationId> Node::currentConfigId() const {
  if (!Current)
    return std::nullopt;
  return ConfigurationId{Current->Number, Current->Digest};
}

void Node::compareState(const HostName &From, std::uint64_t Digest,
                        const std::optional<ConfigurationId> &ConfigId) {
  if (ConfigId)
    considerConfiguration(*ConfigId, From);
  if (Digest == stateDigest())
    return;
  sendTo(From, SoftState{Members.recordsForPeers(Now), Notices.drains(Now),
                         Notices.crashes(Now), currentConfigId()});
}

void Node::onHeadSeen(Instant At, const ConfigurationId &ConfigId) {
  Now = At;
  considerConfiguration(ConfigId, std::nullopt);
}

void Node::considerConfiguration(const ConfigurationId &ConfigId,
                                 const std::optional<HostName> &ToldBy) {
  if (Current && ConfigId.Number <= Current->Number)
    return;
  const bool AskedBefore = LastFetch && LastFetchConfigId == ConfigId;
  if (AskedBefore && Now - *LastFetch < FetchInterval)
    return;
  LastFetch = Now;
  LastFetchConfigId = ConfigId;
  act(FetchConfiguration{ConfigId});
  // The store has had its chance; bytes that came twice would be wasted.
  if (ToldBy && AskedBefore)
    sendTo(*ToldBy, ConfigurationRequest{ConfigId});
}

void Node::onConfiguration(Instant At, ConfigurationPtr Arrived) {
  Now = At;
  // A generation never goes down within a process.
  if (Current && Arrived->Number <= Current->Number)
    return;
  const ConfigurationPtr Earlier = Current;
  Current = std::move(Arrived);
  EarlierServers.clear();
  HadConfiguration = Earlier != nullptr;
  if (Earlier)
    for (const Service &Subject : Earlier->Content.Services)
      for (const BackendServer &Server : Subject.Servers)
        EarlierServers.insert(Server.Name);
  ServiceIndexes.clear();
  for (std::size_t S = 0; S < Current->Content.Services.size(); ++S)
    ServiceIndexes[Current->Content.Services[S].Name] = S;
  CallerRequests.setConfiguration(Current);
  updateOwnership();
  if (Earlier)
    for (const Service &Subject : Earlier->Content.Services)
      if (!ServiceIndexes.contains(Subject.Name)) {
        Local.removeService(Now, Subject.Name);
        Loads.removeService(Subject.Name);
      }
  log("configuration_in_force",
      {{"generation", std::to_string(Current->Number.value())},
       {"digest", Current->Digest},
       {"services", std::to_string(Current->Content.Services.size())}});
  announceConfigId();
}

/// Each host that installs a configuration tells a few, so that all know of it
/// after as many steps as the logarithm of their number. Pings mend the rest.
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
    Requests.onHostGone(Now, Record.Host, Record.Incarnation);
}

void Node::updateOwnership() {
  OwnershipStale = false;
  if (!Current)
    return;
  OwnershipHosts = Members.working();
  for (const Service &Subject : Current->Content.Services)
    assignService(Subject, OwnershipHosts);
}

std::vector<HostName>
Node::ownersOf(const Service &Subject,
               const std::vector<MemberRecord> &Hosts) const {
  if (Settings.Scheduling.Pool.Balancing.SlotOwnership)
    return assignOwners(Subject, Hosts);
  return std::vector<HostName>(Subject.Servers.size(), Self);
}

void Node::assignService(const Service &Subject,
                         const std::vector<MemberRecord> &Hosts) {
  const std::vector<HostName> Owners = ownersOf(Subject, Hosts);
  std::vector<OwnerShare> Shares;
  std::vector<BackendServer> Owned;
  for (std::size_t Index = 0; Index < Owners.size(); ++Index) {
    const BackendServer &Server = Subject.Servers[Index];
    const HostName &Owner = Owners[Index];
    if (Owner == Self)
      Owned.push_back(Server);
    const auto Known =
        std::find_if(Shares.begin(), Shares.end(),
                     [&Owner](const OwnerShare &S) { return S.Host == Owner; });
    if (Known == Shares.end())
      Shares.push_back({Owner, Server.Slots});
    else
      Known->Slots += Server.Slots;
  }
  Loads.setOwners(Subject.Name, std::move(Shares));
  const bool OwnedBefore = Local.owns(Subject.Name);
  const auto IsNew = [this](const ServerName &Server) {
    return HadConfiguration && !EarlierServers.contains(Server);
  };
  Local.assign(Now, Subject, Owned, IsNew);
  for (const BackendServer &Server : Owned)
    if (Notices.isDraining(Now, Server.Name))
      Local.setDraining(Now, Server.Name, true);
  if (OwnedBefore && Owned.empty())
    Requests.onServiceLost(Now, Subject.Name);
}

void Node::onHostList(Instant At, const std::vector<std::string> &PeerAddresses,
                      const std::vector<ServerName> &Leaving) {
  Now = At;
  std::vector<std::string> Seeds = Settings.SeedAddresses;
  for (const std::string &Address : PeerAddresses)
    if (std::find(Seeds.begin(), Seeds.end(), Address) == Seeds.end())
      Seeds.push_back(Address);
  Members.setSeeds(std::move(Seeds));
  ListedAsLeaving = {Leaving.begin(), Leaving.end()};
  for (const ServerName &Server : Leaving)
    markDrain(Server, true);
}

void Node::markDrain(const ServerName &Server, bool Draining) {
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
  Local.setDraining(Now, Server, Draining);
}

void Node::probeDrainingServers() {
  if (Now < NextProbe || !Current)
    return;
  NextProbe = Now + ProbeInterval;
  for (const ServerView &View : Local.servers(Now)) {
    if (View.State == ServerState::Draining)
      act(ProbeServer{View.Server});
  }
}

void Node::onProbeResult(Instant At, const ServerName &Server, bool Draining) {
  Now = At;
  if (Draining) {
    markDrain(Server, true);
    return;
  }
  const auto Since = DrainedSince.find(Server);
  if (Since == DrainedSince.end() || Now - Since->second < MinDrainTime)
    return;
  if (!ListedAsLeaving.contains(Server))
    markDrain(Server, false);
}

void Node::onJournalWritten(Instant At, bool Written) {
  Now = At;
  Journal.onWritten(Written);
}

void Node::onJournalRead(Instant At, RequestId Id, const AnswerPtr &Reply) {
  Now = At;
  CallerRequests.onJournal(Now, Id, Reply);
}

EntriesAnswer Node::entries(Instant At) const {
  EntriesAnswer Result;
  Result.KeepFor = Settings.EntriesLifetime;
  std::vector<MemberRecord> Hosts = Members.working();
  std::erase_if(Hosts, [](const MemberRecord &Host) {
    return Host.Status != MemberStatus::Alive;
  });
  // Better the host that answers than nobody.
  if (Hosts.empty())
    Hosts.push_back(Members.self());
  std::stable_sort(Hosts.begin(), Hosts.end(),
                   [this](const MemberRecord &Left, const MemberRecord &Right) {
                     const std::string &Near = Settings.Self.DataCentre;
                     return (Left.DataCentre == Near) >
                            (Right.DataCentre == Near);
                   });
  const auto Count = static_cast<unsigned>(Hosts.size());
  for (unsigned Index = 0; Index < Count; ++Index) {
    const MemberRecord &Host = Hosts[Index];
    EntryHost Entry;
    Entry.Host = Host.Host;
    Entry.Address = Host.CallerAddress;
    Entry.DataCentre = Host.DataCentre;
    Entry.Share = WholeShare / Count + (Index < WholeShare % Count ? 1 : 0);
    Entry.Token =
        Host.Host == Self
            ? format(Claims.currentToken(At))
            : format(IssuerToken{Host.Host, Host.Incarnation, Host.Epoch});
    Result.Hosts.push_back(std::move(Entry));
  }
  return Result;
}

std::vector<std::pair<ServerName, HostName>> Node::owners() const {
  std::vector<std::pair<ServerName, HostName>> Result;
  if (!Current)
    return Result;
  for (const Service &Subject : Current->Content.Services) {
    const std::vector<HostName> Owners = ownersOf(Subject, OwnershipHosts);
    for (std::size_t Index = 0; Index < Owners.size(); ++Index)
      Result.emplace_back(Subject.Servers[Index].Name, Owners[Index]);
  }
  return Result;
}

NodeCounters Node::counters() const {
  NodeCounters Result;
  Result.Retries = Requests.retries();
  Result.Hedges = Requests.hedges();
  Result.Forwards = Requests.forwards();
  Result.MessagesDropped = DroppedMessages;
  Result.LoadReportBytes = Reporter.bytesSpent();
  Result.LoadReportsDeferred = Reporter.deferred();
  Result.OpenRequests = CallerRequests.pending();
  Result.QueuedAttempts = Local.queuedAttempts();
  Result.RunningCalls = Local.runningCalls();
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
  for (const RequestKind &Known :
       Current->Content.Services[Found->second].Kinds)
    if (Known.Name == Kind)
      return &Known;
  return nullptr;
}

} // namespace mimosacart
