#include "direct/reader_ranks.h"

#include "core/hash.h"

#include <algorithm>

namespace mimosacart {

namespace {

std::vector<MemberRecord> orderByRank(std::vector<MemberRecord> Members) {
  std::sort(Members.begin(), Members.end(),
            [](const MemberRecord &Left, const MemberRecord &Right) {
              return stableHash(Left.Host.value()) <
                     stableHash(Right.Host.value());
            });
  const auto OtherDataCentre = std::find_if(
      Members.begin(), Members.end(), [&Members](const MemberRecord &Member) {
        return Member.DataCentre != Members.front().DataCentre;
      });
  if (OtherDataCentre != Members.end())
    std::rotate(Members.begin() + 1, OtherDataCentre, OtherDataCentre + 1);
  return Members;
}

} // namespace

void ReaderRanks::setMembers(const std::vector<MemberRecord> &Members) {
  const std::vector<MemberRecord> Ordered = orderByRank(Members);
  Peers.clear();
  Sources = {};
  const auto Own = std::find_if(
      Ordered.begin(), Ordered.end(),
      [this](const MemberRecord &Member) { return Member.Host == Self; });
  Rank = static_cast<std::size_t>(Own - Ordered.begin());
  for (const MemberRecord &Member : Ordered) {
    if (Member.Host == Self)
      continue;
    Peers.push_back(Member.Host);
    // A member at this host's address is an earlier incarnation of it.
    const bool CanAnswer = Own != Ordered.end() &&
                           Member.Status == MemberStatus::Alive &&
                           Member.PeerAddress != Own->PeerAddress;
    if (!CanAnswer)
      continue;
    const bool IsLocal = Member.DataCentre == Own->DataCentre;
    (IsLocal ? Sources.Local : Sources.Remote).push_back(Member.Host);
  }
}

double ReaderRanks::share() const {
  return static_cast<double>(Rank) / static_cast<double>(Peers.size() + 1);
}

bool ReaderRanks::outranksThis(const HostName &Reader) const {
  const auto Found = std::find(Peers.begin(), Peers.end(), Reader);
  return Found == Peers.end() ||
         static_cast<std::size_t>(Found - Peers.begin()) < Rank;
}

bool ReaderRanks::isLocalPeer(const HostName &Host) const {
  return std::find(Sources.Local.begin(), Sources.Local.end(), Host) !=
         Sources.Local.end();
}

} // namespace mimosacart
