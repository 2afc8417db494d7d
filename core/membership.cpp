#include "core/membership.h"

#include "core/hash.h"

#include <algorithm>
#include <tuple>

namespace mimosacart {

namespace {

/// Peers asked to ping on our behalf.
constexpr std::size_t IndirectProbes = 2;
/// Every so many periods an unknown or dead address is tried, which heals a
/// fleet that was cut in two.
constexpr std::uint64_t SeedPingPeriods = 5;

auto rank(const MemberRecord &Value) {
  return std::tuple(Value.Incarnation, Value.Refutation, Value.Status);
}

} // namespace

std::size_t bucketOf(const HostName &Host, std::size_t Buckets) {
  return stableHash(Host.value()) % Buckets;
}

bool overrides(const MemberRecord &Left, const MemberRecord &Right) {
  return rank(Left) > rank(Right);
}

Membership::Membership(MemberRecord Self,
                       std::vector<std::string> SeedAddresses,
                       MembershipTimes Times, std::uint64_t Seed,
                       Hooks Callbacks)
    : Self(std::move(Self)), Seeds(std::move(SeedAddresses)), Times(Times),
      Callbacks(std::move(Callbacks)), Random(Seed) {}

void Membership::setSeeds(std::vector<std::string> Addresses) {
  Seeds = std::move(Addresses);
}

void Membership::tick(Instant Now) {
  checkPendingPings(Now);
  checkSuspicions(Now);
  if (Now < NextPeriod)
    return;
  // A host that was frozen does not make up for the periods it missed.
  NextPeriod = Now + (Members.empty() ? Times.PeriodAlone : Times.Period);
  ++PeriodCount;
  pingNext(Now);
  if (PeriodCount % SeedPingPeriods == 1 || Members.empty())
    pingSeed();
}

void Membership::pingNext(Instant Now) {
  const auto IsTarget = [this](const HostName &Host) {
    const auto Found = Members.find(Host);
    return Found != Members.end() &&
           Found->second.Record.Status <= MemberStatus::Suspect;
  };
  while (!RoundRobin.empty() && !IsTarget(RoundRobin.back()))
    RoundRobin.pop_back();
  if (RoundRobin.empty()) {
    for (const auto &[Host, Known] : Members)
      if (IsTarget(Host))
        RoundRobin.push_back(Host);
    std::shuffle(RoundRobin.begin(), RoundRobin.end(), Random);
  }
  if (RoundRobin.empty())
    return;
  const HostName Target = RoundRobin.back();
  RoundRobin.pop_back();
  sendPing(Now, Members.at(Target).Record, std::nullopt);
}

void Membership::pingSeed() {
  std::vector<std::string> Candidates = Seeds;
  for (const auto &[Host, Known] : Members)
    if (Known.Record.Status == MemberStatus::Dead)
      Candidates.push_back(Known.Record.PeerAddress);
  std::erase_if(Candidates, [this](const std::string &Address) {
    const bool IsSelf = Address == Self.PeerAddress;
    return IsSelf || std::any_of(Members.begin(), Members.end(),
                                 [&Address](const auto &Entry) {
                                   const MemberRecord &Known =
                                       Entry.second.Record;
                                   return Known.PeerAddress == Address &&
                                          Known.Status <= MemberStatus::Suspect;
                                 });
  });
  if (Candidates.empty())
    return;
  // While alone, every address is tried, so that a fleet forms at once.
  if (Members.empty()) {
    for (const std::string &Address : Candidates)
      Callbacks.Send(Address, makePing(++LastSequence));
    return;
  }
  NextSeed = (NextSeed + 1) % Candidates.size();
  Callbacks.Send(Candidates[NextSeed], makePing(++LastSequence));
}

Ping Membership::makePing(std::uint64_t Sequence) const {
  const PingExtras Extras = Callbacks.Extras();
  return {Sequence, Self, Extras.StateDigest, Extras.ConfigId, Extras.Tables};
}

void Membership::sendPing(
    Instant Now, const MemberRecord &Target,
    std::optional<std::pair<HostName, std::uint64_t>> AskedBy) {
  const std::uint64_t Sequence = ++LastSequence;
  Pending[Sequence] = {Target.Host, Now, false, std::move(AskedBy)};
  Callbacks.Send(Target.PeerAddress, makePing(Sequence));
}

void Membership::checkPendingPings(Instant Now) {
  for (auto Next = Pending.begin(); Next != Pending.end();) {
    const auto Current = Next++;
    PendingPing &Waiting = Current->second;
    const Duration Age = Now - Waiting.SentAt;
    if (Age >= Times.SuspectAfter) {
      if (!Waiting.AskedBy)
        suspect(Now, Waiting.Target);
      Pending.erase(Current);
      continue;
    }
    if (Age >= Times.AckTimeout && !Waiting.Indirect && !Waiting.AskedBy)
      requestIndirectPings(Current->first, Waiting);
  }
}

void Membership::requestIndirectPings(std::uint64_t Sequence,
                                      PendingPing &Waiting) {
  Waiting.Indirect = true;
  std::vector<MemberRecord> Helpers = reachablePeers();
  std::erase_if(Helpers, [&Waiting](const MemberRecord &Helper) {
    return Helper.Host == Waiting.Target ||
           Helper.Status != MemberStatus::Alive;
  });
  std::shuffle(Helpers.begin(), Helpers.end(), Random);
  Helpers.resize(std::min(Helpers.size(), IndirectProbes));
  for (const MemberRecord &Helper : Helpers)
    Callbacks.Send(Helper.PeerAddress, PingRequest{Sequence, Waiting.Target});
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
    const auto Current = Next++;
    Member &Known = Current->second;
    const Duration Age = Now - Known.Since;
    if (Known.Record.Status == MemberStatus::Suspect &&
        Age >= Times.DeadAfter) {
      applyStatus(Now, Known, MemberStatus::Dead, UpdateSource::Relayed);
      continue;
    }
    if (Known.Record.Status > MemberStatus::Suspect && Age >= Times.ForgetAfter)
      Members.erase(Current);
  }
}

void Membership::applyStatus(Instant Now, Member &Changed, MemberStatus Status,
                             UpdateSource Source) {
  Changed.Record.Status = Status;
  Changed.Since = Now;
  Callbacks.Changed(Changed.Record, Source);
}

void Membership::onPing(Instant Now, const HostName &From,
                        const Ping &Message) {
  merge(Now, Message.Self,
        From == Message.Self.Host ? UpdateSource::ObservedLocally
                                  : UpdateSource::Relayed);
  const PingExtras Extras = Callbacks.Extras();
  const MemberRecord *Sender = find(From);
  if (Sender == nullptr)
    return;
  Callbacks.Send(Sender->PeerAddress,
                 Ack{Message.Sequence, Self, Extras.StateDigest,
                     Extras.ConfigId, Extras.Tables});
}

void Membership::onAck(Instant Now, const Ack &Message) {
  merge(Now, Message.Self, UpdateSource::Relayed);
  const auto Found = Pending.find(Message.Sequence);
  if (Found == Pending.end())
    return;
  const PendingPing Answered = Found->second;
  // An ack for an indirect ping names the target as its sender's record.
  if (Answered.Target != Message.Self.Host)
    return;
  Pending.erase(Found);
  if (Answered.AskedBy) {
    const MemberRecord *Asker = find(Answered.AskedBy->first);
    if (Asker != nullptr)
      Callbacks.Send(Asker->PeerAddress, Ack{Answered.AskedBy->second,
                                             Message.Self, Message.StateDigest,
                                             Message.ConfigId, Message.Tables});
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
    // A host that died before it was known here is of no use to anybody.
    if (Received.Status == MemberStatus::Dead)
      return false;
    Members[Received.Host] = {Received, Now - Received.Age};
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
  Found->second = {Received, Now - Received.Age};
  if (SameIncarnation)
    Found->second.Record.Epoch = Epoch;
  Callbacks.Changed(Received, Source);
  return true;
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
  for (const auto &[Host, Known] : Members)
    Result.push_back(Known.Record);
  return Result;
}

std::vector<MemberRecord> Membership::recordsForPeers(Instant Now) const {
  std::vector<MemberRecord> Result{Self};
  for (const auto &[Host, Known] : Members) {
    Result.push_back(Known.Record);
    if (Known.Record.Status > MemberStatus::Suspect)
      Result.back().Age = Now - Known.Since;
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
  for (const auto &[Host, Known] : Members)
    if (Known.Record.Status <= MemberStatus::Suspect)
      Result.push_back(Known.Record);
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
    // Hosts forget departed ones at different times, which must not look like
    // a difference that another exchange could mend.
    if (Record.Status > MemberStatus::Suspect)
      return;
    std::uint64_t One =
        stableHash(Record.Host.value(), Record.Incarnation.value());
    One = stableHash(toString(Record.Status), One + Record.Refutation);
    // Addition makes the digest independent of the order of the records.
    Result[bucketOf(Record.Host, Buckets)] += One;
  };
  Add(Self);
  for (const auto &[Host, Known] : Members)
    Add(Known.Record);
  return Result;
}

} // namespace mimosacart
