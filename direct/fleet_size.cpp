#include "direct/fleet_size.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// How long a host that cannot be reached is taken to be at work.
constexpr Duration UnreachableLifetime = std::chrono::minutes(30);
/// How long a host counts that has announced its end. Longer than a window of
/// the limits.
constexpr Duration LeftLifetime = std::chrono::minutes(1);
/// Time in which the first peer of a process and others tell it of all hosts.
constexpr Duration DiscoveryTime = std::chrono::seconds(3);

bool isReachable(const MemberRecord &Member) {
  return Member.Status <= MemberStatus::Suspect;
}

/// When the host of \p Member was in its state. Ages that other hosts told may
/// have any value.
Instant recordedAt(Instant Now, const MemberRecord &Member) {
  return Now - std::clamp(Member.Age, Duration::zero(), UnreachableLifetime);
}

/// Whether \p Left says more about the present state of its address.
bool isNewer(const MemberRecord &Left, const MemberRecord &Right) {
  if (isReachable(Left) || isReachable(Right))
    return isReachable(Left) && !isReachable(Right);
  return Left.Age < Right.Age;
}

} // namespace

FleetSize::FleetSize(std::string SelfAddress,
                     const std::vector<std::string> &Seeds)
    : Self(std::move(SelfAddress)), HasSeeds(!Seeds.empty()) {
  for (const std::string &Address : Seeds)
    add(Address, Instant::max());
}

/// Returns the host at \p Address; null if that is this one.
FleetSize::OtherHost *FleetSize::add(const std::string &Address,
                                     Instant Until) {
  if (Address.empty() || Address == Self)
    return nullptr;
  OtherHost &Result = Others[Address];
  Result.ForgetAt = std::max(Result.ForgetAt, Until);
  return &Result;
}

void FleetSize::add(const MemberRecord &Member, Instant RecordedAt) {
  OtherHost *Added = add(Member.PeerAddress, RecordedAt + UnreachableLifetime);
  if (Added == nullptr)
    return;
  Added->Record = Member;
  Added->RecordedAt = std::max(Added->RecordedAt, RecordedAt);
}

void FleetSize::onMembers(Instant Now,
                          const std::vector<MemberRecord> &Members) {
  // A host that has restarted is known by several names.
  std::map<std::string, const MemberRecord *> Latest;
  for (const MemberRecord &Member : Members) {
    if (Member.PeerAddress == Self)
      continue;
    const MemberRecord *&Found = Latest[Member.PeerAddress];
    if (Found == nullptr || isNewer(Member, *Found))
      Found = &Member;
  }
  for (const auto &[Address, Member] : Latest) {
    if (CompleteAt == Instant::max())
      CompleteAt = Now + DiscoveryTime;
    const Instant At = recordedAt(Now, *Member);
    if (Member->Status == MemberStatus::Left)
      Others[Address] = {At + LeftLifetime, *Member, At};
    else
      add(*Member, At);
  }
}

void FleetSize::onToldMembers(Instant Now,
                              const std::vector<MemberRecord> &Members) {
  for (const MemberRecord &Member : Members)
    if (Member.Status == MemberStatus::Dead)
      add(Member, recordedAt(Now, Member));
}

void FleetSize::onListed(Instant Now,
                         const std::vector<std::string> &Addresses) {
  for (const std::string &Address : Addresses)
    add(Address, Now + UnreachableLifetime);
  // A fleet of one host.
  if (!HasSeeds && Others.empty())
    CompleteAt = std::min(CompleteAt, Now);
}

std::vector<MemberRecord>
FleetSize::unreachableHosts(Instant Now,
                            const std::set<std::string> &Reachable) const {
  std::vector<MemberRecord> Result;
  for (const auto &[Address, Host] : Others) {
    if (!Host.Record || Host.Record->Status == MemberStatus::Left ||
        Host.RecordedAt + UnreachableLifetime <= Now ||
        Reachable.contains(Address))
      continue;
    Result.push_back(*Host.Record);
    Result.back().Status = MemberStatus::Dead;
    Result.back().Age = Now - Host.RecordedAt;
  }
  return Result;
}

std::size_t FleetSize::countOthers(
    const std::function<bool(const std::string &)> &IsCounted) const {
  return static_cast<std::size_t>(std::count_if(
      Others.begin(), Others.end(),
      [&IsCounted](const auto &Entry) { return IsCounted(Entry.first); }));
}

void FleetSize::expire(Instant Now) {
  std::erase_if(Others, [Now](const auto &Entry) {
    return Entry.second.ForgetAt <= Now;
  });
}

} // namespace mimosacart
