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

void FleetSize::add(const std::string &Address, Instant Until) {
  if (Address.empty() || Address == Self)
    return;
  const auto [Position, Added] = ForgetAt.try_emplace(Address, Until);
  if (!Added)
    Position->second = std::max(Position->second, Until);
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
    if (Member->Status == MemberStatus::Left)
      ForgetAt[Address] = Now - Member->Age + LeftLifetime;
    else
      add(Address, Now - Member->Age + UnreachableLifetime);
  }
}

void FleetSize::onToldMembers(Instant Now,
                              const std::vector<MemberRecord> &Members) {
  for (const MemberRecord &Member : Members)
    if (Member.Status == MemberStatus::Dead)
      add(Member.PeerAddress, Now - Member.Age + UnreachableLifetime);
}

void FleetSize::onListed(Instant Now,
                         const std::vector<std::string> &Addresses) {
  for (const std::string &Address : Addresses)
    add(Address, Now + UnreachableLifetime);
  // A fleet of one host.
  if (!HasSeeds && ForgetAt.empty())
    CompleteAt = std::min(CompleteAt, Now);
}

std::size_t FleetSize::countOthers(
    const std::function<bool(const std::string &)> &IsCounted) const {
  return static_cast<std::size_t>(std::count_if(
      ForgetAt.begin(), ForgetAt.end(),
      [&IsCounted](const auto &Entry) { return IsCounted(Entry.first); }));
}

void FleetSize::expire(Instant Now) {
  std::erase_if(ForgetAt,
                [Now](const auto &Entry) { return Entry.second <= Now; });
}

} // namespace mimosacart
