/// \file
/// The additional pings of Membership while hosts do not answer.
#include "core/membership.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace mimosacart {

void Membership::pingMore(Instant Now) {
  if (!Burst.isDue(Now))
    return;
  const auto Unanswered = static_cast<std::size_t>(std::count_if(
      BurstPings.begin(), BurstPings.end(), [this](std::uint64_t Sequence) {
        return PendingPings.contains(Sequence);
      }));
  const std::size_t Count = Burst.next(Now, Unanswered, HeardAt);
  BurstPings.clear();
  std::vector<MemberRecord> Targets = silentPeers(Burst.since());
  std::shuffle(Targets.begin(), Targets.end(), Random);
  Targets.resize(std::min(Targets.size(), Count));
  for (const MemberRecord &Target : Targets)
    BurstPings.push_back(sendPing(Now, Target, std::nullopt));
  Burst.onSent(Targets.size());
}

std::vector<MemberRecord> Membership::silentPeers(Instant Since) const {
  // A process that has ended and the one that replaced it share an address.
  std::map<std::string_view, std::size_t> Names;
  for (const auto &[Host, Entry] : Members)
    if (Entry.Record.Status <= MemberStatus::Suspect)
      ++Names[Entry.Record.PeerAddress];
  std::vector<MemberRecord> Result;
  for (const auto &[Host, Entry] : Members) {
    const bool IsSilent = Entry.HeardAt < Since && Entry.PingedAt < Since;
    if (Entry.Record.Status == MemberStatus::Alive && IsSilent &&
        Names.at(Entry.Record.PeerAddress) == 1)
      Result.push_back(Entry.Record);
  }
  return Result;
}

} // namespace mimosacart
