#include "direct/fleet_view.h"

#include <algorithm>
#include <type_traits>

namespace mimosacart {

namespace {

/// How often the failure detector looks at its timers.
constexpr Duration TickInterval = std::chrono::milliseconds(100);

} // namespace

FleetView::FleetView(FleetSettings Given,
                     const std::map<StoreTable, TableMirror *> &Tables,
                     Hooks Use)
    : Settings(std::move(Given)), Use(std::move(Use)),
      LastEvent(Settings.RandomSeed), Notices(NoticeTimes{}),
      Relay(Settings.Self.Host, Settings.Self.DataCentre, Settings.Relay,
            Tables, relayHooks()),
      Members(Settings.Self, Settings.Seeds, Settings.Times,
              Settings.RandomSeed, membershipHooks()) {
  Relay.setMembers(Members.all());
}

TableRelay::Hooks FleetView::relayHooks() {
  TableRelay::Hooks Result;
  Result.Send = [this](const HostName &Host, PeerBody Body) {
    sendTo(Host, std::move(Body));
  };
  Result.Read = Use.ReadStore;
  Result.Log = Use.Log;
  return Result;
}

Membership::Hooks FleetView::membershipHooks() {
  Membership::Hooks Result;
  Result.Send = [this](const std::string &Address, PeerBody Body) {
    send(Address, std::move(Body));
  };
  Result.Changed = [this](const MemberRecord &Record, NewsSource Source) {
    onMemberChanged(Record, Source);
  };
  Result.Extras = [this] {
    return PingExtras{digest(), std::nullopt, Relay.versions()};
  };
  return Result;
}

void FleetView::send(const std::string &Address, PeerBody Body) {
  Use.Send(Address, {Settings.Self.Host, Settings.Self.Life, ++LastSequence,
                     Now, std::move(Body)});
}

void FleetView::sendTo(const HostName &Host, PeerBody Body) {
  const MemberRecord *Target = Members.find(Host);
  if (Target != nullptr)
    send(Target->PeerAddress, std::move(Body));
}

void FleetView::broadcast(const PeerBody &Body) {
  for (const MemberRecord &Peer : Members.reachablePeers())
    send(Peer.PeerAddress, Body);
}

void FleetView::onMemberChanged(const MemberRecord &Record, NewsSource Source) {
  if (Record.Status > MemberStatus::Suspect)
    Delays.erase(Record.Host);
  Use.Log("member_changed",
          {{"member", Record.Host.value()},
           {"status", toString(Record.Status)},
           {"leaving", Record.Leaving ? "yes" : "no"},
           {"life", std::to_string(Record.Life.value())},
           {"source", Source == NewsSource::FirstHand ? "seen" : "told"}});
  std::vector<MemberRecord> Present = Members.reachablePeers();
  Present.push_back(Members.self());
  Relay.setMembers(Present);
  if (Source != NewsSource::FirstHand)
    return;
  SoftState News;
  News.Members.push_back(Record);
  broadcast(News);
}

void FleetView::tick(Instant At) {
  Now = At;
  if (Now < NextTick)
    return;
  NextTick = Now + TickInterval;
  Members.tick(Now);
  Notices.expire(Now);
  Relay.tick(Now);
}

void FleetView::setSeeds(std::vector<std::string> Addresses) {
  Addresses.insert(Addresses.end(), Settings.Seeds.begin(),
                   Settings.Seeds.end());
  std::sort(Addresses.begin(), Addresses.end());
  Addresses.erase(std::unique(Addresses.begin(), Addresses.end()),
                  Addresses.end());
  Members.setSeeds(std::move(Addresses));
}

void FleetView::join(Instant At) {
  Now = At;
  Members.join();
}

void FleetView::leave(Instant At) {
  Now = At;
  Members.leave();
}

void FleetView::finish(Instant At) {
  Now = At;
  Members.finish({});
}

std::size_t FleetView::hosts() const {
  return std::max<std::size_t>(1, Members.reachablePeers().size() + 1);
}

void FleetView::addCrash(Instant At, std::uint64_t Fingerprint,
                         const ServerName &Server) {
  Now = At;
  SoftState News;
  News.Crashes.push_back(
      Notices.addCrash(Now, Fingerprint, Server, ++LastEvent));
  broadcast(News);
}

std::size_t FleetView::crashes(std::uint64_t Fingerprint) const {
  return Notices.crashCount(Now, Fingerprint);
}

void FleetView::onConfirmed(Instant At, StoreTable Table, bool Changed,
                            std::uint64_t Before) {
  Now = At;
  Relay.onConfirmed(Now, Table, Changed, Before);
}

void FleetView::onMessage(Instant At, const PeerMessage &Message) {
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
                      std::is_same_v<Type, TableRows>)
          handle(Message.From, Body);
      },
      Message.Body);
}

void FleetView::handle(const HostName &From, const Ping &Message) {
  Members.onPing(Now, From, Message);
  compare(Message.Self.Host, Message.StateDigest, Message.Tables);
}

void FleetView::handle(const HostName & /*From*/, const Ack &Message) {
  Members.onAck(Now, Message);
  compare(Message.Self.Host, Message.StateDigest, Message.Tables);
}

void FleetView::handle(const HostName &From, const PingRequest &Message) {
  Members.onPingRequest(Now, From, Message);
}

void FleetView::handle(const HostName & /*From*/, const SoftState &Message) {
  for (const MemberRecord &Record : Message.Members)
    Members.merge(Now, Record, NewsSource::Relayed);
  for (const CrashNotice &Notice : Message.Crashes)
    if (Notices.mergeCrash(Now, Notice))
      Use.Log("crash_told",
              {{"fingerprint", std::to_string(Notice.Fingerprint)},
               {"server", Notice.Server.value()}});
}

/// Views that differ are mended by telling all of this host's.
void FleetView::compare(const HostName &From, std::uint64_t Digest,
                        const TableVersions &Theirs) {
  Relay.onVersions(Now, From, Theirs);
  if (Digest == digest())
    return;
  SoftState All;
  All.Members = Members.shared(Now);
  All.Crashes = Notices.crashes(Now);
  sendTo(From, std::move(All));
}

void FleetView::handle(const HostName &From, const TableRequest &Message) {
  Relay.onRequest(Now, From, Message);
}

void FleetView::handle(const HostName &From, const TableRows &Message) {
  Relay.onRows(Now, From, Message, MessageDelay);
}

} // namespace mimosacart
