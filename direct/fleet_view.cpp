#include "direct/fleet_view.h"

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

FleetView::FleetView(FleetSettings Given,
                     const std::map<StoreTable, TableMirror *> &Tables,
                     Hooks Use)
    : Settings(std::move(Given)), Use(std::move(Use)),
      LastEvent(Settings.RandomSeed), Random(Settings.RandomSeed),
      Notices(NoticeTimes{}),
      Relay(Settings.Self.Host, Settings.Relay, Tables, relayHooks()),
      Members(Settings.Self, Settings.Seeds, Settings.Times,
              Settings.RandomSeed, membershipHooks()) {
  refreshMembers();
}

TableRelay::Hooks FleetView::relayHooks() {
  TableRelay::Hooks Result;
  Result.Send = [this](const HostName &Host, PeerBody Body) {
    sendTo(Host, std::move(Body));
  };
  Result.Tell = [this](const TableRows &News) { spread(News); };
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

template <typename Body> void FleetView::spread(Body News) {
  refreshMembers();
  for (const SpreadTarget &Target : Spread.targets()) {
    News.PassOn = Target.PassesOn;
    send(Target.Address, News);
  }
}

template <typename Body>
void FleetView::passOn(const HostName &From, Body News) {
  refreshMembers();
  News.PassOn = false;
  const MemberRecord *Sender = Members.find(From);
  for (const std::string &Address : Spread.neighbours())
    if (Sender == nullptr || Sender->PeerAddress != Address)
      send(Address, News);
}

void FleetView::refreshMembers() {
  if (!std::exchange(MembersChanged, false))
    return;
  std::vector<MemberRecord> Present = Members.reachablePeers();
  Spread = SpreadPlan(Settings.Self.DataCentre, Present);
  Present.push_back(Members.self());
  Relay.setMembers(Present);
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
  MembersChanged = true;
  if (Source == NewsSource::FirstHand)
    MemberNews[Record.Host] = Record;
}

void FleetView::tellMemberNews() {
  if (MemberNews.empty())
    return;
  SoftState News;
  for (const auto &[Host, Record] : MemberNews)
    News.Members.push_back(Record);
  MemberNews.clear();
  spread(std::move(News));
}

void FleetView::tick(Instant At) {
  Now = At;
  if (Now < NextTick)
    return;
  NextTick = Now + TickInterval;
  Members.tick(Now);
  Notices.expire(Now);
  tellMemberNews();
  refreshMembers();
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
  tellMemberNews();
}

void FleetView::leave(Instant At) {
  Now = At;
  Members.leave();
  tellMemberNews();
}

void FleetView::finish(Instant At) {
  Now = At;
  Members.finish({});
  tellMemberNews();
}

std::size_t FleetView::hosts() const { return Members.reachable() + 1; }

void FleetView::addCrash(Instant At, std::uint64_t Fingerprint,
                         const ServerName &Server) {
  Now = At;
  SoftState News;
  News.Crashes.push_back(
      Notices.addCrash(Now, Fingerprint, Server, ++LastEvent));
  spread(std::move(News));
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
                      std::is_same_v<Type, TableRows> ||
                      std::is_same_v<Type, ViewSummary>)
          handle(Message.From, Body);
      },
      Message.Body);
}

void FleetView::handle(const HostName &From, const Ping &Message) {
  const bool IsNew = Members.find(Message.Self.Host) == nullptr;
  Members.onPing(Now, From, Message);
  if (IsNew)
    welcome(Message.Self);
  compare(Message.Self.Host, Message.StateDigest, Message.Tables);
}

void FleetView::handle(const HostName & /*From*/, const Ack &Message) {
  Members.onAck(Now, Message);
  compare(Message.Self.Host, Message.StateDigest, Message.Tables);
}

void FleetView::handle(const HostName &From, const PingRequest &Message) {
  Members.onPingRequest(Now, From, Message);
}

void FleetView::welcome(const MemberRecord &Newcomer) {
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

void FleetView::handle(const HostName &From, const SoftState &Message) {
  // What this host knew already was handed on when it learnt of it.
  SoftState News;
  for (const MemberRecord &Record : Message.Members)
    if (Members.merge(Now, Record, NewsSource::Relayed))
      News.Members.push_back(Record);
  for (const CrashNotice &Notice : Message.Crashes)
    if (Notices.mergeCrash(Now, Notice)) {
      News.Crashes.push_back(Notice);
      Use.Log("crash_told",
              {{"fingerprint", std::to_string(Notice.Fingerprint)},
               {"server", Notice.Server.value()}});
    }
  const bool Any = !News.Members.empty() || !News.Crashes.empty();
  if (Message.PassOn && Any)
    passOn(From, std::move(News));
}

/// A view that differs is mended by what the other host answers to a summary;
/// that host does the same.
void FleetView::compare(const HostName &From, std::uint64_t Digest,
                        const TableVersions &Theirs) {
  Relay.onVersions(Now, From, Theirs);
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

ViewSummary FleetView::summary() const {
  ViewSummary Result{Members.digests(ViewBuckets)};
  Result.Buckets.push_back(Notices.digest());
  return Result;
}

void FleetView::handle(const HostName &From, const ViewSummary &Message) {
  const std::vector<std::uint64_t> Ours = summary().Buckets;
  const std::vector<std::uint64_t> &Theirs = Message.Buckets;
  if (Theirs.size() != Ours.size()) {
    Use.Log("view_summary_unusable",
            {{"peer", From.value()},
             {"buckets", std::to_string(Theirs.size())},
             {"expected", std::to_string(Ours.size())}});
    return;
  }
  SoftState Missing;
  for (const MemberRecord &Record : Members.shared(Now)) {
    const std::size_t Bucket = bucketOf(Record.Host, ViewBuckets);
    if (Ours[Bucket] != Theirs[Bucket])
      Missing.Members.push_back(Record);
  }
  if (Ours.back() != Theirs.back())
    Missing.Crashes = Notices.crashes(Now);
  if (!Missing.Members.empty() || !Missing.Crashes.empty())
    sendTo(From, std::move(Missing));
}

void FleetView::handle(const HostName &From, const TableRequest &Message) {
  Relay.onRequest(Now, From, Message);
}

void FleetView::handle(const HostName &From, const TableRows &Message) {
  if (Message.PassOn) {
    TableRows Onward = Message;
    if (Onward.ConfirmedAgo)
      *Onward.ConfirmedAgo += MessageDelay;
    passOn(From, std::move(Onward));
  }
  Relay.onRows(Now, From, Message, MessageDelay);
}

} // namespace mimosacart
