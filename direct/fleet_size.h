/// \file
/// The number of hosts that share limits of the whole fleet.
#pragma once

#include "core/peer_messages.h"
#include "core/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosacart {

/// Counts the hosts that may be at work, whether they can be reached or not.
///
/// A host that cannot be reached may still serve callers and use its part of a
/// limit. It is therefore counted for a long time, by its peer address, which
/// it keeps when it restarts.
class FleetSize {
public:
  /// \p Self is the peer address of this host, \p Seeds those that its settings
  /// name.
  FleetSize(std::string Self, const std::vector<std::string> &Seeds);

  /// Takes the known records of all hosts, the unreachable ones included.
  void onMembers(Instant Now, const std::vector<MemberRecord> &Members);
  /// Takes records that another host sent, of which dead hosts may be unknown
  /// here.
  void onToldMembers(Instant Now, const std::vector<MemberRecord> &Members);
  /// Takes the peer addresses that the store lists.
  void onListed(Instant Now, const std::vector<std::string> &Addresses);
  /// Returns records of the hosts that may be at work and are not in
  /// \p Reachable, with the time since they were, for other hosts to count
  /// them. Membership drops such records earlier.
  std::vector<MemberRecord>
  unreachableHosts(Instant Now, const std::set<std::string> &Reachable) const;
  /// Drops the hosts that have been out of reach for long.
  void expire(Instant Now);

  /// Number of hosts that may be at work, this one included. 0 as long as it is
  /// not known: the store's list names only some hosts, and the first peers of
  /// a new process do not tell it of all others at once.
  std::size_t hosts(Instant Now) const {
    return Now >= CompleteAt ? Others.size() + 1 : 0;
  }

  /// Number of other hosts that may be at work and whose peer address
  /// \p IsCounted names.
  std::size_t
  countOthers(const std::function<bool(const std::string &)> &IsCounted) const;

private:
  struct OtherHost {
    /// When the host no longer counts.
    Instant ForgetAt{};
    /// The last record of the host; none if only its address is known.
    std::optional<MemberRecord> Record;
    /// When the host was in the state of its record.
    Instant RecordedAt{};
  };

  OtherHost *add(const std::string &Address, Instant Until);
  void add(const MemberRecord &Member, Instant RecordedAt);

  const std::string Self;
  const bool HasSeeds;
  /// When the count is taken to be complete.
  Instant CompleteAt = Instant::max();
  /// Other hosts by their peer addresses.
  std::map<std::string, OtherHost> Others;
};

} // namespace mimosacart
