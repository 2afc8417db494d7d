#include "direct/fleet_gossip.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace mimosacart {

namespace {

/// How often the failure detector looks at its timers.
constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// Views differ while news are on their way, so that they are compared in
/// detail at most this often.
constexpr Duration SummaryInterval = std::chrono::milliseconds(800);
/// Groups of members that are compared apart, so that one difference costs
/// the records of one group.
constexpr std::size_t ViewBuckets = 32;
/// Members that a new host is told at once.
constexpr std::size_t WelcomeMembers = 24;

} // namespace

FleetGossip::FleetGossip(FleetSettings Given,
                         const std::map<StoreTable, TableCache *> &Tables,
                         Hooks Callbacks)
    : Settings(std::move(Given)), Callbacks(std::move(Callbacks)),
      LastEvent(Settings.RandomSeed), Random(Settings.RandomSeed),
      Notices(NoticeLifetimes{}),
      Sync(Settings.Self.Host, Settings.Sync, Tables, syncHooks()),
      Members(Settings.Self, Settings.Seeds, Settings.Times,
              Settings.RandomSeed, membershipHooks()) {
  refreshMembers();
}

TableSync::Hooks FleetGossip::syncHooks() {
  TableSync::Hooks Result;
  Result.Send = [this](const HostName &Host, PeerBody Body) {
    sendTo(Host, std::move(Body));
  };
  Result.Tell = [this](const TableRows &Updates) { disseminate(Updates); };
  Result.Read = Callbacks.ReadStore;
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

template <typename Body>
void FleetGossip::forwardInDataCentre(const HostName &From, Body Updates) {
  refreshMembers();
  Updates.ForwardInDataCentre = false;
  const MemberRecord *Sender = Members.find(From);
  for (const std::string &Address : Dissemination.neighbours())
    if (Sender == nullptr || Sender->PeerAddress != Address)
      send(Address, Updates);
}

void FleetGossip::refreshMembers() {
  if (!std::exchange(MembersChanged, false))
    return;
  std::vector<MemberRecord> Present = Members.reachablePeers();
  Dissemination = DisseminationPlan(Settings.Self.DataCentre, Present);
  Present.push_back(Members.self());
  Sync.setMembers(Present);
}

void FleetGossip::onMemberChanged(const MemberRecord &Record,
                                  UpdateSource Source) {
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
  if (Now < NextTick)
    return;
  NextTick = Now + TickInterval;
  Members.tick(Now);
  Notices.expire(Now);
  sendMemberUpdates();
  refreshMembers();
  Sync.tick(Now);
}

void FleetGossip::setSeeds(std::vector<std::string> Addresses) {
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
  sendMemberUpdates();
}

void FleetGossip::leave(Instant At) {
  Now = At;
  Members.leave();
  sendMemberUpdates();
}

void FleetGossip::finish(Instant At) {
  Now = At;
  Members.markLeft({});
  sendMemberUpdates();
}

std::size_t FleetGossip::hosts() const {
  return Members.countReachablePeers() + 1;
}

void FleetGossip::addCrash(Instant At, std::uint64_t Fingerprint,
                           const ServerName &Server) {
  Now = At;
  SoftState Updates;
  Updates.Crashes.push_back(
      Notices.addCrash(Now, Fingerprint, Server, ++LastEvent));
  disseminate(std::move(Updates));
}

std::size_t FleetGossip::crashes(std::uint64_t Fingerprint) const {
  return Notices.crashCount(Now, Fingerprint);
}

void FleetGossip::onConfirmed(Instant At, StoreTable Table, bool Changed,
                              std::uint64_t Before) {
  Now = At;
  Sync.onConfirmed(Now, Table, Changed, Before);
}

void FleetGossip::onMessage(Instant At, const PeerMessage &Message) {
  Now = At;
  MessageDelay = Delays[Message.From].observe(Now, Message.SentAt);
  std::visit(
      [this, &Message](const auto &Body) {
        // The other messages belong to hosts that forward work.
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
  const bool IsNew = Members.find(Message.Self.Host) == nullptr;
  Members.onPing(Now, From, Message);
  if (IsNew)
    welcome(Message.Self);
  compare(Message.Self.Host, Message.StateDigest, Message.Tables);
}

void FleetGossip::handle(const HostName & /*From*/, const Ack &Message) {
  Members.onAck(Now, Message);
  compare(Message.Self.Host, Message.StateDigest, Message.Tables);
}

void FleetGossip::handle(const HostName &From, const PingRequest &Message) {
  Members.onPingRequest(Now, From, Message);
}

void FleetGossip::welcome(const MemberRecord &Newcomer) {
  SoftState Some;
  Some.Members = Members.reachablePeers();
  Some.Members.push_back(Members.self());
  std::erase_if(Some.Members, [&Newcomer](const MemberRecord &Each) {
    return Each.Host == Newcomer.Host;
  });
  // Another choice for each newcomer, so that they ask different hosts next.
  std::shuffle(Some.Members.begin(), Some.Members.end(), Random);
  if (Some.Members.size() > WelcomeMembers)
    Some.Members.resize(WelcomeMembers);
  Some.Crashes = Notices.crashes(Now);
  send(Newcomer.PeerAddress, std::move(Some));
}

void FleetGossip::handle(const HostName &From, const SoftState &Message) {
  // What this host knew already was handed on when it learnt of it.
  SoftState Updates;
  for (const MemberRecord &Record : Message.Members)
    if (Members.merge(Now, Record, UpdateSource::Relayed))
      Updates.Members.push_back(Record);
  for (const CrashNotice &Notice : Message.Crashes)
    if (Notices.mergeCrash(Now, Notice)) {
      Updates.Crashes.push_back(Notice);
      Callbacks.Log("crash_told",
                    {{"fingerprint", std::to_string(Notice.Fingerprint)},
                     {"server", Notice.Server.value()}});
    }
  const bool Any = !Updates.Members.empty() || !Updates.Crashes.empty();
  if (Message.ForwardInDataCentre && Any)
    forwardInDataCentre(From, std::move(Updates));
}

/// A view that differs is mended by what the other host answers to a summary;
/// that host does the same.
void FleetGossip::compare(const HostName &From, std::uint64_t Digest,
                          const TableVersions &Theirs) {
  Sync.onVersions(Now, From, Theirs);
  if (Digest == digest())
    return;
  // The first peers of a fleet that starts are its seeds, which all would ask.
  if (!NextSummaryAt)
    NextSummaryAt = Now + SummaryInterval;
  if (Now < *NextSummaryAt)
    return;
  NextSummaryAt = Now + SummaryInterval;
  sendTo(From, summary());
}

ViewSummary FleetGossip::summary() const {
  ViewSummary Result{Members.digests(ViewBuckets)};
  Result.Buckets.push_back(Notices.digest());
  return Result;
}

void FleetGossip::handle(const HostName &From, const ViewSummary &Message) {
  const std::vector<std::uint64_t> Ours = summary().Buckets;
  const std::vector<std::uint64_t> &Theirs = Message.Buckets;
  if (Theirs.size() != Ours.size()) {
    Callbacks.Log("view_summary_unusable",
                  {{"peer", From.value()},
                   {"buckets", std::to_string(Theirs.size())},
                   {"expected", std::to_string(Ours.size())}});
    return;
  }
  SoftState Missing;
  for (const MemberRecord &Record : Members.recordsForPeers(Now)) {
    const std::size_t Bucket = bucketOf(Record.Host, ViewBuckets);
    if (Ours[Bucket] != Theirs[Bucket])
      Missing.Members.push_back(Record);
  }
  if (Ours.back() != Theirs.back())
    Missing.Crashes = Notices.crashes(Now);
  if (!Missing.Members.empty() || !Missing.Crashes.empty())
    sendTo(From, std::move(Missing));
}

void FleetGossip::handle(const HostName &From, const TableRequest &Message) {
  Sync.onRequest(Now, From, Message);
}

void FleetGossip::handle(const HostName &From, const TableRows &Message) {
  if (Message.ForwardInDataCentre) {
    TableRows Onward = Message;
    if (Onward.ConfirmedAgo)
      *Onward.ConfirmedAgo += MessageDelay;
    forwardInDataCentre(From, std::move(Onward));
  }
  Sync.onRows(Now, From, Message, MessageDelay);
}

} // namespace mimosacart
