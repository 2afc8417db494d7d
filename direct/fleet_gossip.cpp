#include "direct/fleet_gossip.h"

#include "core/hash.h"

#include <algorithm>
#include <numeric>
#include <type_traits>
#include <utility>

namespace mimosacart {

namespace {

/// Time between two checks of the timers of Members, Notices and Sync.
constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// Shortest time between two summaries. Views also differ while updates are in
/// transit, so a difference does not always need a detailed comparison.
constexpr Duration SummaryInterval = std::chrono::milliseconds(800);
/// Number of groups into which members are divided for a comparison, so that
/// one difference costs the records of one group only.
constexpr std::size_t ViewBuckets = 32;
/// Number of hosts that tell a newcomer of the members out of reach. The first
/// hosts that it meets may be newcomers themselves.
constexpr std::size_t HostsThatTellNewcomers = 6;
/// Time between two counts of the hosts that may be at work while no member
/// changes.
constexpr Duration SizeUpdateInterval = std::chrono::seconds(10);
/// A second in which a message was read this late is logged.
constexpr Duration LoggedDelay = std::chrono::milliseconds(500);
constexpr Duration DelayLogInterval = std::chrono::seconds(1);
/// Larger updates of table rows are sent to few hosts by each host, which
/// forward them.
constexpr std::size_t MinForwardedBytes = 2U << 10U;

} // namespace

FleetGossip::FleetGossip(FleetSettings InitialSettings,
                         const std::map<StoreTable, TableCache *> &Tables,
                         Hooks Callbacks)
    : Settings(std::move(InitialSettings)), Callbacks(std::move(Callbacks)),
      LastEvent(Settings.RandomSeed), Random(Settings.RandomSeed),
      Notices(crashNoticeLifetimes()), Records(this->Callbacks.Records),
      Size(Settings.Self.PeerAddress, Settings.Seeds),
      Sync(Settings.Self.Host, Settings.Sync, Settings.IsFirstStart, Tables,
           syncHooks()),
      Members(Settings.Self, Settings.Seeds, Settings.Times,
              Settings.RandomSeed, membershipHooks()) {
  refreshMembers();
}

TableSync::Hooks FleetGossip::syncHooks() {
  TableSync::Hooks Result;
  Result.Send = [this](const HostName &Host, PeerBody Body) {
    // A host answers only those that it knows.
    const MemberRecord *Target = Members.find(Host);
    if (Target != nullptr && Sync.lacksRows())
      Members.introduceTo(Target->PeerAddress);
    sendTo(Host, std::move(Body));
  };
  Result.Broadcast = [this](const TableRows &Updates) {
    broadcastRows(Updates);
  };
  Result.SetReadMode = Callbacks.SetReadMode;
  Result.ReadTable = Callbacks.ReadTable;
  Result.Log = Callbacks.Log;
  return Result;
}

Membership::Hooks FleetGossip::membershipHooks() {
  Membership::Hooks Result;
  Result.Send = [this](const std::string &Address, PeerBody Body) {
    send(Address, std::move(Body));
  };
  Result.Changed = [this](const MemberRecord &Record, UpdateSource Source) {
    onMemberChanged(Record, Source);
  };
  Result.Extras = [this] {
    return PingExtras{digest(), std::nullopt, Sync.versions()};
  };
  return Result;
}

void FleetGossip::send(const std::string &Address, PeerBody Body) {
  Callbacks.Send(Address, {Settings.Self.Host, Settings.Self.Incarnation,
                           ++LastSequence, Now, std::move(Body)});
}

void FleetGossip::sendTo(const HostName &Host, PeerBody Body) {
  const MemberRecord *Target = Members.find(Host);
  if (Target != nullptr)
    send(Target->PeerAddress, std::move(Body));
}

template <typename Body> void FleetGossip::disseminate(Body Updates) {
  refreshMembers();
  for (const DisseminationTarget &Target : Dissemination.targets()) {
    Updates.ForwardInDataCentre = Target.ForwardsInDataCentre;
    send(Target.Address, Updates);
  }
}

void FleetGossip::broadcastRows(const TableRows &Updates) {
  refreshMembers();
  if (countBytes(Updates.Rows) >= MinForwardedBytes) {
    forwardRows(Updates, Dissemination.forwardingTargets());
    return;
  }
  TableRows Copy = Updates;
  for (const DisseminationTarget &Target : Dissemination.remoteTargets()) {
    Copy.ForwardInDataCentre = Target.ForwardsInDataCentre;
    send(Target.Address, Copy);
  }
  sendInDataCentre(Updates, Dissemination.localPeers());
}

void FleetGossip::sendInDataCentre(const TableRows &Updates,
                                   const std::vector<std::string> &Hosts) {
  forwardRows(Updates, splitForwarding(Hosts, smallUpdateGroups(Hosts.size())));
}

void FleetGossip::relayRows(const HostName &From, const TableRows &Message) {
  TableRows Forwarded = Message;
  Forwarded.ForwardInDataCentre = false;
  // The receiver sees only the delay of the last hop.
  if (Forwarded.ConfirmedAgo)
    *Forwarded.ConfirmedAgo += MessageDelay;
  if (!Message.ForwardInDataCentre) {
    const bool IsLarge = countBytes(Message.Rows) >= MinForwardedBytes;
    forwardRows(Forwarded, splitForwarding(Message.ForwardTo,
                                           IsLarge ? ForwardingFanOut
                                                   : Message.ForwardTo.size()));
    return;
  }
  refreshMembers();
  std::vector<std::string> Hosts = Dissemination.localPeers();
  if (const MemberRecord *Sender = Members.find(From))
    std::erase(Hosts, Sender->PeerAddress);
  sendInDataCentre(Forwarded, Hosts);
}

void FleetGossip::forwardRows(const TableRows &Updates,
                              const std::vector<ForwardingTarget> &Targets) {
  TableRows Copy = Updates;
  for (const ForwardingTarget &Target : Targets) {
    Copy.ForwardTo = Target.ForwardTo;
    send(Target.Address, Copy);
  }
}

template <typename Body> void FleetGossip::forwardInDataCentre(Body Updates) {
  refreshMembers();
  Updates.ForwardInDataCentre = false;
  for (const std::string &Address : Dissemination.localPeers())
    send(Address, Updates);
}

template void FleetGossip::disseminate(SoftState Updates);
template void FleetGossip::forwardInDataCentre(SoftState Updates);

void FleetGossip::refreshMembers() {
  if (!std::exchange(MembersChanged, false))
    return;
  updateSize();
  std::vector<MemberRecord> FleetMembers = Members.reachablePeers();
  PeerAddresses.clear();
  for (const MemberRecord &Peer : FleetMembers)
    PeerAddresses.insert(Peer.PeerAddress);
  Dissemination = DisseminationPlan(Settings.Self.DataCentre, FleetMembers);
  FleetMembers.push_back(Members.self());
  Sync.setMembers(FleetMembers);
}

std::string FleetGossip::addressOf(const HostName &Host) const {
  const MemberRecord *Found = Members.find(Host);
  return Found == nullptr ? std::string() : Found->PeerAddress;
}

void FleetGossip::send(Instant At, const std::string &Address, PeerBody Body) {
  Now = At;
  send(Address, std::move(Body));
}

void FleetGossip::updateSize() {
  ++Changes;
  Size.onMembers(Now, Members.recordsForPeers(Now));
  Size.expire(Now);
  NextSizeUpdate = Now + SizeUpdateInterval;
}

void FleetGossip::onMemberChanged(const MemberRecord &Record,
                                  UpdateSource Source) {
  // If the host comes back, the difference of the clocks may be another.
  if (Record.Status > MemberStatus::Suspect)
    Delays.erase(Record.Host);
  Callbacks.Log(
      "member_changed",
      {{"member", Record.Host.value()},
       {"status", toString(Record.Status)},
       {"leaving", Record.Leaving ? "yes" : "no"},
       {"life", std::to_string(Record.Incarnation.value())},
       {"source", Source == UpdateSource::ObservedLocally ? "seen" : "told"}});
  MembersChanged = true;
  MemberDigests.reset();
  ++Changes;
  if (Source == UpdateSource::ObservedLocally)
    MemberUpdates[Record.Host] = Record;
}

void FleetGossip::sendMemberUpdates() {
  if (MemberUpdates.empty())
    return;
  SoftState Updates;
  for (const auto &[Host, Record] : MemberUpdates)
    Updates.Members.push_back(Record);
  MemberUpdates.clear();
  disseminate(std::move(Updates));
}

void FleetGossip::tick(Instant At) {
  Now = At;
  sendBatches();
  if (Now < NextTick)
    return;
  NextTick = Now + TickInterval;
  logMessageDelay();
  Members.tick(Now);
  Notices.expire(Now);
  sendMemberUpdates();
  tellExcuses();
  refreshMembers();
  if (Now >= NextSizeUpdate)
    updateSize();
  Sync.tick(Now);
  Records.tick(Now, Sync.rank(), Notices);
}

void FleetGossip::logMessageDelay() {
  if (Now < NextDelayLogAt)
    return;
  NextDelayLogAt = Now + DelayLogInterval;
  DelayOfLastSecond = std::exchange(DelayOfThisSecond, Duration::zero());
  if (DelayOfLastSecond >= LoggedDelay)
    Callbacks.Log(
        "messages_late",
        {{"longest_ms", std::to_string(wholeMilliseconds(DelayOfLastSecond))},
         {"hosts", std::to_string(hosts())}});
}

void FleetGossip::setSeeds(std::vector<std::string> Addresses) {
  Size.onListed(Now, Addresses);
  Addresses.insert(Addresses.end(), Settings.Seeds.begin(),
                   Settings.Seeds.end());
  std::sort(Addresses.begin(), Addresses.end());
  Addresses.erase(std::unique(Addresses.begin(), Addresses.end()),
                  Addresses.end());
  Members.setSeeds(std::move(Addresses));
}

void FleetGossip::join(Instant At) {
  Now = At;
  Members.join();
  ++Changes;
  sendMemberUpdates();
}

void FleetGossip::leave(Instant At) {
  Now = At;
  Members.leave();
  ++Changes;
  sendMemberUpdates();
}

void FleetGossip::finish(Instant At) {
  Now = At;
  Members.markLeft({});
  sendMemberUpdates();
  sendWaitingCrashes();
}

std::size_t FleetGossip::hosts() const {
  return Members.countReachablePeers() + 1;
}

/// The order follows from peer addresses, which a host keeps when it restarts.
FleetPosition FleetGossip::position(const std::string &Key) const {
  const std::uint64_t Seed = stableHash(Key);
  const std::string &Self = Settings.Self.PeerAddress;
  const std::uint64_t OwnHash = stableHash(Self, Seed);
  const auto ComesBefore = [Seed, OwnHash](const std::string &Address) {
    return stableHash(Address, Seed) < OwnHash;
  };
  FleetPosition Result;
  for (const std::string &Address : PeerAddresses) {
    if (Address == Self)
      continue;
    ++Result.Reachable.Hosts;
    Result.Reachable.Rank += ComesBefore(Address) ? 1 : 0;
  }
  if (sharingHosts() > 0)
    Result.Overall = {Size.countOthers(ComesBefore), sharingHosts()};
  return Result;
}

std::size_t FleetGossip::reachableRank(const std::string &Key) const {
  const std::uint64_t Seed = stableHash(Key);
  const std::string &Self = Settings.Self.PeerAddress;
  const std::uint64_t OwnHash = stableHash(Self, Seed);
  return static_cast<std::size_t>(std::count_if(
      PeerAddresses.begin(), PeerAddresses.end(),
      [&Self, Seed, OwnHash](const std::string &Address) {
        return Address != Self && stableHash(Address, Seed) < OwnHash;
      }));
}

void FleetGossip::onStoreRead(Instant At, StoreTable Table, bool HasChanges,
                              StoreVersion PreviousVersion) {
  Now = At;
  Sync.onStoreRead(Now, Table, HasChanges, PreviousVersion);
}

void FleetGossip::onStoreEraChanged(Instant At) {
  Now = At;
  Records.onStoreEraChanged(Now, Sync.rank());
}

void FleetGossip::onMessage(Instant At, const PeerMessage &Message) {
  Now = At;
  const auto [Estimator, IsFirst] = Delays.try_emplace(Message.From);
  MessageDelay = Estimator->second.observe(Now, Message.SentAt);
  // The first message of a peer tells nothing of its delay.
  if (!IsFirst)
    Members.onMessageRead(Now, MessageDelay);
  DelayOfThisSecond = std::max(DelayOfThisSecond, MessageDelay);
  std::visit(
      [this, &Message](const auto &Body) {
        // The other messages are for hosts that forward requests to each other.
        using Type = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<Type, Ping> || std::is_same_v<Type, Ack> ||
                      std::is_same_v<Type, PingRequest> ||
                      std::is_same_v<Type, SoftState> ||
                      std::is_same_v<Type, TableRequest> ||
                      std::is_same_v<Type, TableRows> ||
                      std::is_same_v<Type, ViewSummary>)
          handle(Message.From, Body);
      },
      Message.Body);
}

void FleetGossip::handle(const HostName &From, const Ping &Message) {
  // Sent before the ack, so that a newcomer knows hosts of its data centre when
  // it learns of rows that it lacks.
  if (Members.find(Message.Self.Host) == nullptr)
    sendInitialView(Message.Self);
  Members.onPing(Now, From, Message);
  compareViews(Message.Self.Host, Message.StateDigest, Message.Tables);
}

void FleetGossip::handle(const HostName & /*From*/, const Ack &Message) {
  if (Members.find(Message.Self.Host) == nullptr)
    sendUnreachableHosts(Message.Self);
  Members.onAck(Now, Message);
  compareViews(Message.Self.Host, Message.StateDigest, Message.Tables);
}

void FleetGossip::handle(const HostName &From, const PingRequest &Message) {
  Members.onPingRequest(Now, From, Message);
}

void FleetGossip::handle(const HostName &From, const SoftState &Message) {
  // Records already known here were forwarded when they first arrived.
  Size.onToldMembers(Now, Message.Members);
  const std::uint32_t Refutation = Members.self().Refutation;
  for (const MemberRecord &Record : Message.Members) {
    const bool IsNew = Members.find(Record.Host) == nullptr;
    if (!Members.merge(Now, Record, UpdateSource::Relayed))
      continue;
    if (Message.ForwardInDataCentre)
      Forwards.addMember(Now, Record);
    if (IsNew && Record.Status <= MemberStatus::Suspect &&
        reachableRank(Record.PeerAddress) < HostsThatTellNewcomers)
      sendUnreachableHosts(Record);
  }
  // The sender is not among the peers if it was taken for lost as well.
  const MemberRecord *Sender = Members.find(From);
  if (Members.self().Refutation != Refutation && Sender != nullptr)
    Members.introduceTo(Sender->PeerAddress);
  for (const CrashNotice &Notice : Message.Crashes)
    mergeCrash(Notice, Message.ForwardInDataCentre);
}

void FleetGossip::compareViews(const HostName &From, std::uint64_t Digest,
                               const TableVersions &Versions) {
  // A newcomer requests its first rows from a host that it has just learned of.
  if (Sync.lacksRows() && Versions != TableVersions())
    refreshMembers();
  Sync.onPeerVersions(Now, From, Versions);
  if (Digest == digest())
    return;
  // While a fleet starts, the first peers of each host are the seeds. The delay
  // keeps all hosts from sending summaries to them at once.
  if (!NextSummaryAt)
    NextSummaryAt = Now + SummaryInterval;
  if (Now < *NextSummaryAt)
    return;
  NextSummaryAt = Now + SummaryInterval;
  sendTo(From, makeSummary());
}

const std::vector<std::uint64_t> &FleetGossip::memberDigests() const {
  if (!MemberDigests)
    MemberDigests = Members.digests(ViewBuckets);
  return *MemberDigests;
}

/// The digest of all members is the sum of those of the buckets.
std::uint64_t FleetGossip::digest() const {
  const std::vector<std::uint64_t> &Buckets = memberDigests();
  return std::accumulate(Buckets.begin(), Buckets.end(), Notices.digest());
}

ViewSummary FleetGossip::makeSummary() const {
  ViewSummary Result{memberDigests()};
  Result.Buckets.push_back(Notices.digest());
  return Result;
}

void FleetGossip::handle(const HostName &From, const ViewSummary &Message) {
  const std::vector<std::uint64_t> OwnBuckets = makeSummary().Buckets;
  const std::vector<std::uint64_t> &PeerBuckets = Message.Buckets;
  if (PeerBuckets.size() != OwnBuckets.size()) {
    Callbacks.Log("view_summary_unusable",
                  {{"peer", From.value()},
                   {"buckets", std::to_string(PeerBuckets.size())},
                   {"expected", std::to_string(OwnBuckets.size())}});
    return;
  }
  SoftState Differences;
  if (!std::equal(OwnBuckets.begin(), OwnBuckets.end() - 1,
                  PeerBuckets.begin()))
    Differences.Members = Members.recordsForPeers(Now);
  std::erase_if(Differences.Members, [&](const MemberRecord &Record) {
    const std::size_t Bucket = bucketOf(Record.Host, ViewBuckets);
    return OwnBuckets[Bucket] == PeerBuckets[Bucket];
  });
  if (OwnBuckets.back() != PeerBuckets.back())
    Differences.Crashes = Notices.crashes(Now);
  if (!Differences.Members.empty() || !Differences.Crashes.empty())
    sendTo(From, std::move(Differences));
}

void FleetGossip::handle(const HostName &From, const TableRequest &Message) {
  Sync.onRequest(Now, From, Message);
}

void FleetGossip::handle(const HostName &From, const TableRows &Message) {
  if (Message.ForwardInDataCentre || !Message.ForwardTo.empty())
    relayRows(From, Message);
  Sync.onRows(Now, From, Message, MessageDelay);
}

} // namespace mimosacart
