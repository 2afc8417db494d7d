#include "core/membership.h"

#include "core/hash.h"

#include <algorithm>
#include <tuple>

namespace mimosacart {

namespace {

/// Number of peers that are asked to ping a target that has not answered.
constexpr std::size_t IndirectPings = 2;
/// Interval, in periods, between pings to peer addresses that are not in the
/// view or belong to a dead host. These pings rejoin the parts of a fleet after
/// a network partition.
constexpr std::uint64_t SeedPingPeriods = 5;

/// For this long after a death, peer addresses are pinged in each period: hosts
/// that were only cut off are to be back soon.
constexpr Duration RecentDeath = std::chrono::seconds(30);
/// A host that has read no message since a ping awaits the answer for so much
/// longer: it is behind with its messages, or cut off itself. In a fleet of few
/// hosts, all others may have ended.
constexpr Duration SilenceWait = std::chrono::seconds(3);
constexpr std::size_t MinHostsForSilenceWait = 12;
/// A host sends no additional pings for this long after its start.
constexpr Duration NewcomerTime = std::chrono::seconds(5);

/// Sort key of \p Record. Of two records of one host, the one with the greater
/// key replaces the other.
auto versionOf(const MemberRecord &Record) {
  return std::tuple(Record.Incarnation, Record.Refutation, Record.Status);
}

} // namespace

std::size_t bucketOf(const HostName &Host, std::size_t Buckets) {
  return stableHash(Host.value()) % Buckets;
}

bool overrides(const MemberRecord &Left, const MemberRecord &Right) {
  return versionOf(Left) > versionOf(Right);
}

Membership::Membership(MemberRecord Self,
                       std::vector<std::string> SeedAddresses,
                       MembershipTimes Times, std::uint64_t Seed,
                       Hooks Callbacks)
    : Self(std::move(Self)), Seeds(std::move(SeedAddresses)), Times(Times),
      Callbacks(std::move(Callbacks)), Random(Seed), NextSeed(Seed),
      Lag(Times.AckTimeout), Burst(Times.AckTimeout) {}

void Membership::setSeeds(std::vector<std::string> Addresses) {
  Seeds = std::move(Addresses);
}

void Membership::introduceTo(const std::string &Address) {
  Callbacks.Send(Address, makePing(++LastSequence));
}

void Membership::tick(Instant Now) {
  skipSuspension(Now);
  checkPendingPings(Now);
  checkSuspicions(Now);
  pingMore(Now);
  if (Now < NextPeriodAt)
    return;
  // Periods missed while the process was suspended are skipped.
  NextPeriodAt = Now + (Members.empty() ? Times.PeriodAlone : Times.Period);
  ++PeriodCount;
  pingNext(Now);
  if (PeriodCount % SeedPingPeriods == 1 || Members.empty() ||
      hasRecentlyDied(Now))
    pingSeed();
}

bool Membership::hasRecentlyDied(Instant Now) const {
  return std::any_of(Members.begin(), Members.end(), [Now](const auto &Entry) {
    return Entry.second.Record.Status == MemberStatus::Dead &&
           Now - Entry.second.UpdatedAt < RecentDeath;
  });
}

void Membership::pingNext(Instant Now) {
  const auto IsTarget = [this](const HostName &Host) {
    const auto Found = Members.find(Host);
    return Found != Members.end() &&
           Found->second.Record.Status <= MemberStatus::Suspect;
  };
  while (!PingOrder.empty() && !IsTarget(PingOrder.back()))
    PingOrder.pop_back();
  if (PingOrder.empty()) {
    for (const auto &[Host, Entry] : Members)
      if (IsTarget(Host))
        PingOrder.push_back(Host);
    std::shuffle(PingOrder.begin(), PingOrder.end(), Random);
  }
  if (PingOrder.empty())
    return;
  const HostName Target = PingOrder.back();
  PingOrder.pop_back();
  sendPing(Now, Members.at(Target).Record, std::nullopt);
}

void Membership::onHeard(Instant Now, const HostName &Host) {
  const auto Found = Members.find(Host);
  if (Found == Members.end())
    return;
  Found->second.HeardAt = Now;
  HeardAt = Now;
}

void Membership::skipSuspension(Instant Now) {
  const Instant Previous = std::exchange(LastTickAt, Now);
  if (!StartedAt) {
    StartedAt = Now;
    return;
  }
  // Answers that arrived meanwhile may not have been read yet.
  const Duration Suspended = Now - Previous - Times.AckTimeout;
  if (Suspended <= Duration::zero())
    return;
  for (auto &[Sequence, Unanswered] : PendingPings)
    Unanswered.SentAt += Suspended;
  for (auto &[Host, Entry] : Members)
    if (Entry.Record.Status == MemberStatus::Suspect)
      Entry.UpdatedAt = std::min(Entry.UpdatedAt + Suspended, Now);
}

void Membership::pingSeed() {
  std::vector<std::string> Candidates = Seeds;
  for (const auto &[Host, Entry] : Members)
    if (Entry.Record.Status == MemberStatus::Dead)
      Candidates.push_back(Entry.Record.PeerAddress);
  std::erase_if(Candidates, [this](const std::string &Address) {
    const bool IsSelf = Address == Self.PeerAddress;
    return IsSelf ||
           std::any_of(Members.begin(), Members.end(),
                       [&Address](const auto &Entry) {
                         const MemberRecord &Record = Entry.second.Record;
                         return Record.PeerAddress == Address &&
                                Record.Status <= MemberStatus::Suspect;
                       });
  });
  if (Candidates.empty())
    return;
  // A host that knows no other pings every address, so that a new fleet forms
  // in one period.
  if (Members.empty()) {
    for (const std::string &Address : Candidates)
      introduceTo(Address);
    return;
  }
  NextSeed = (NextSeed + 1) % Candidates.size();
  introduceTo(Candidates[NextSeed]);
}

Ping Membership::makePing(std::uint64_t Sequence) const {
  const PingExtras Extras = Callbacks.Extras();
  return {Sequence, Self, Extras.StateDigest, Extras.ConfigId, Extras.Tables};
}

std::uint64_t Membership::sendPing(
    Instant Now, const MemberRecord &Target,
    std::optional<std::pair<HostName, std::uint64_t>> RequestedBy) {
  const std::uint64_t Sequence = ++LastSequence;
  PendingPings[Sequence] = {Target.Host, Now, false, std::move(RequestedBy)};
  const auto Found = Members.find(Target.Host);
  if (Found != Members.end())
    Found->second.PingedAt = Now;
  Callbacks.Send(Target.PeerAddress, makePing(Sequence));
  return Sequence;
}

void Membership::onMessageRead(Instant Now, Duration Delay) {
  Lag.onMessageRead(Now, Delay);
}

bool Membership::isOverdue(Instant Now, const PendingPing &Unanswered) const {
  const bool IsBehind = Members.size() >= MinHostsForSilenceWait &&
                        Lag.hasReadNoneSince(Unanswered.SentAt);
  const Duration Wait = Times.SuspectAfter + Lag.estimate(Now) +
                        (IsBehind ? SilenceWait : Duration::zero());
  return Now - Unanswered.SentAt >= Wait;
}

void Membership::checkPendingPings(Instant Now) {
  Lag.expire(Now);
  for (auto Next = PendingPings.begin(); Next != PendingPings.end();) {
    const auto Position = Next++;
    PendingPing &Unanswered = Position->second;
    const Duration Age = Now - Unanswered.SentAt;
    if (isOverdue(Now, Unanswered)) {
      if (!Unanswered.RequestedBy) {
        Lag.onTimeout(Position->first, Unanswered.SentAt);
        onUnanswered(Now, Unanswered);
      }
      PendingPings.erase(Position);
      continue;
    }
    if (Age < Times.AckTimeout + Lag.estimate(Now) || Unanswered.Indirect ||
        Unanswered.RequestedBy)
      continue;
    requestIndirectPings(Position->first, Unanswered);
  }
}

void Membership::onUnanswered(Instant Now, const PendingPing &Unanswered) {
  suspect(Now, Unanswered.Target);
  // The view of a new process names hosts that ended before it started. Those
  // that have run longer detect them. A host that reads its messages late would
  // take the answers to further pings for missing, too.
  const bool IsPrompt = Lag.estimate(Now) == Duration::zero();
  if (IsPrompt && Now - *StartedAt >= NewcomerTime)
    Burst.start(Now, Unanswered.SentAt, HeardAt);
}

void Membership::requestIndirectPings(std::uint64_t Sequence,
                                      PendingPing &Unanswered) {
  Unanswered.Indirect = true;
  std::vector<MemberRecord> Helpers = reachablePeers();
  std::erase_if(Helpers, [&Unanswered](const MemberRecord &Helper) {
    return Helper.Host == Unanswered.Target ||
           Helper.Status != MemberStatus::Alive;
  });
  std::shuffle(Helpers.begin(), Helpers.end(), Random);
  Helpers.resize(std::min(Helpers.size(), IndirectPings));
  for (const MemberRecord &Helper : Helpers)
    Callbacks.Send(Helper.PeerAddress,
                   PingRequest{Sequence, Unanswered.Target});
}

void Membership::suspect(Instant Now, const HostName &Host) {
  const auto Found = Members.find(Host);
  if (Found == Members.end())
    return;
  if (Found->second.Record.Status == MemberStatus::Alive)
    applyStatus(Now, Found->second, MemberStatus::Suspect,
                UpdateSource::ObservedLocally);
}

void Membership::checkSuspicions(Instant Now) {
  for (auto Next = Members.begin(); Next != Members.end();) {
    const auto Position = Next++;
    Member &Entry = Position->second;
    const Duration Age = Now - Entry.UpdatedAt;
    if (Entry.Record.Status == MemberStatus::Suspect &&
        Age >= Times.DeadAfter + Lag.estimate(Now)) {
      applyStatus(Now, Entry, MemberStatus::Dead, UpdateSource::Relayed);
      continue;
    }
    if (Entry.Record.Status > MemberStatus::Suspect && Age >= Times.ForgetAfter)
      Members.erase(Position);
  }
}

void Membership::applyStatus(Instant Now, Member &Target, MemberStatus Status,
                             UpdateSource Source) {
  Target.Record.Status = Status;
  Target.UpdatedAt = Now;
  Callbacks.Changed(Target.Record, Source);
}

void Membership::onPing(Instant Now, const HostName &From,
                        const Ping &Message) {
  merge(Now, Message.Self,
        From == Message.Self.Host ? UpdateSource::ObservedLocally
                                  : UpdateSource::Relayed);
  onHeard(Now, Message.Self.Host);
  const PingExtras Extras = Callbacks.Extras();
  const MemberRecord *Sender = find(From);
  if (Sender == nullptr)
    return;
  Callbacks.Send(Sender->PeerAddress,
                 Ack{Message.Sequence, Self, Extras.StateDigest,
                     Extras.ConfigId, Extras.Tables});
  askIfTakenForLost(Message.Self.Host);
}

void Membership::onAck(Instant Now, const Ack &Message) {
  merge(Now, Message.Self, UpdateSource::Relayed);
  onHeard(Now, Message.Self.Host);
  askIfTakenForLost(Message.Self.Host);
  Lag.onLateAnswer(Now, Message.Sequence);
  const auto Found = PendingPings.find(Message.Sequence);
  if (Found == PendingPings.end())
    return;
  const PendingPing Answered = Found->second;
  // The record in the ack tells who answered: an ack for an indirect ping is
  // sent by the helper, but carries the record of the target.
  if (Answered.Target != Message.Self.Host)
    return;
  PendingPings.erase(Found);
  if (!Answered.RequestedBy)
    Lag.onAnswer(Now, Answered.SentAt);
  if (Answered.RequestedBy) {
    const MemberRecord *Requester = find(Answered.RequestedBy->first);
    if (Requester != nullptr)
      Callbacks.Send(Requester->PeerAddress,
                     Ack{Answered.RequestedBy->second, Message.Self,
                         Message.StateDigest, Message.ConfigId,
                         Message.Tables});
  }
}

void Membership::onPingRequest(Instant Now, const HostName &From,
                               const PingRequest &Message) {
  const MemberRecord *Target = find(Message.Target);
  if (Target == nullptr || Target->Host == Self.Host)
    return;
  sendPing(Now, *Target, std::pair(From, Message.Sequence));
}

bool Membership::merge(Instant Now, const MemberRecord &Received,
                       UpdateSource Source) {
  if (Received.Host == Self.Host) {
    refute(Received);
    return false;
  }
  const auto Found = Members.find(Received.Host);
  if (Found == Members.end()) {
    // A dead host that was never in the view does not need a record.
    if (Received.Status == MemberStatus::Dead)
      return false;
    Members[Received.Host] = {Received, Now - Received.Age, {}, {}};
    Callbacks.Changed(Received, Source);
    return true;
  }
  MemberRecord &Known = Found->second.Record;
  const std::uint64_t Epoch = std::max(Known.Epoch, Received.Epoch);
  if (Known.Incarnation == Received.Incarnation)
    Known.Epoch = Epoch;
  if (!overrides(Received, Known))
    return false;
  const bool SameIncarnation = Known.Incarnation == Received.Incarnation;
  // Hosts that cannot reach this one's part of the network name all hosts of it
  // dead. A host is not taken out of use before it could refute that.
  if (Received.Status == MemberStatus::Dead &&
      Known.Status <= MemberStatus::Suspect)
    return suspectOnHearsay(Now, Found->second, Received);
  Known = Received;
  Found->second.UpdatedAt = Now - Received.Age;
  if (SameIncarnation)
    Known.Epoch = Epoch;
  Callbacks.Changed(Received, Source);
  return true;
}

bool Membership::suspectOnHearsay(Instant Now, Member &Entry,
                                  const MemberRecord &Received) {
  MemberRecord Suspected = Received;
  Suspected.Status = MemberStatus::Suspect;
  Suspected.Age = Duration::zero();
  if (!overrides(Suspected, Entry.Record))
    return false;
  if (Suspected.Incarnation == Entry.Record.Incarnation)
    Suspected.Epoch = std::max(Suspected.Epoch, Entry.Record.Epoch);
  Entry.Record = Suspected;
  Entry.UpdatedAt = Now;
  askToRefute(Suspected);
  Callbacks.Changed(Suspected, UpdateSource::Relayed);
  return true;
}

void Membership::askToRefute(const MemberRecord &Entry) {
  SoftState Question;
  Question.Members.push_back(Entry);
  Callbacks.Send(Entry.PeerAddress, std::move(Question));
}

void Membership::askIfTakenForLost(const HostName &Host) {
  const MemberRecord *Record = find(Host);
  if (Record != nullptr && (Record->Status == MemberStatus::Suspect ||
                            Record->Status == MemberStatus::Dead))
    askToRefute(*Record);
}

void Membership::refute(const MemberRecord &Received) {
  if (Received.Incarnation != Self.Incarnation)
    return;
  if (Received.Status == MemberStatus::Alive ||
      Received.Refutation < Self.Refutation)
    return;
  if (Self.Status == MemberStatus::Left)
    return;
  Self.Refutation = Received.Refutation + 1;
  announceSelf();
}

void Membership::leave() {
  Self.Leaving = true;
  ++Self.Refutation;
  announceSelf();
}

void Membership::join() {
  Self.Leaving = false;
  ++Self.Refutation;
  announceSelf();
}

void Membership::markLeft(const HostName &Successor) {
  Self.Leaving = true;
  Self.Status = MemberStatus::Left;
  Self.Successor = Successor;
  ++Self.Refutation;
  announceSelf();
}

void Membership::announceSelf() {
  Callbacks.Changed(Self, UpdateSource::ObservedLocally);
}

const MemberRecord *Membership::find(const HostName &Host) const {
  if (Host == Self.Host)
    return &Self;
  const auto Found = Members.find(Host);
  return Found == Members.end() ? nullptr : &Found->second.Record;
}

std::vector<MemberRecord> Membership::all() const {
  std::vector<MemberRecord> Result{Self};
  for (const auto &[Host, Entry] : Members)
    Result.push_back(Entry.Record);
  return Result;
}

std::vector<MemberRecord> Membership::recordsForPeers(Instant Now) const {
  std::vector<MemberRecord> Result{Self};
  for (const auto &[Host, Entry] : Members) {
    Result.push_back(Entry.Record);
    if (Entry.Record.Status > MemberStatus::Suspect)
      Result.back().Age = Now - Entry.UpdatedAt;
  }
  return Result;
}

std::vector<MemberRecord> Membership::working() const {
  std::vector<MemberRecord> Result = all();
  std::erase_if(Result, [](const MemberRecord &Record) {
    return Record.Leaving || Record.Status > MemberStatus::Suspect;
  });
  std::sort(Result.begin(), Result.end(),
            [](const MemberRecord &Left, const MemberRecord &Right) {
              return Left.Host < Right.Host;
            });
  return Result;
}

std::vector<MemberRecord> Membership::reachablePeers() const {
  std::vector<MemberRecord> Result;
  for (const auto &[Host, Entry] : Members)
    if (Entry.Record.Status <= MemberStatus::Suspect)
      Result.push_back(Entry.Record);
  return Result;
}

std::size_t Membership::countReachablePeers() const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [](const auto &Entry) {
        return Entry.second.Record.Status <= MemberStatus::Suspect;
      }));
}

std::uint64_t Membership::digest() const { return digests(1).front(); }

std::vector<std::uint64_t> Membership::digests(std::size_t Buckets) const {
  std::vector<std::uint64_t> Result(Buckets);
  const auto Add = [&Result, Buckets](const MemberRecord &Record) {
    // Hosts drop the records of dead hosts and of hosts that left at different
    // times. If these records counted, digests would differ without any state
    // to exchange.
    if (Record.Status > MemberStatus::Suspect)
      return;
    std::uint64_t Hash =
        stableHash(Record.Host.value(), Record.Incarnation.value());
    Hash = stableHash(toString(Record.Status), Hash + Record.Refutation);
    // Addition makes the digest independent of the order of the records.
    Result[bucketOf(Record.Host, Buckets)] += Hash;
  };
  Add(Self);
  for (const auto &[Host, Entry] : Members)
    Add(Entry.Record);
  return Result;
}

} // namespace mimosacart
