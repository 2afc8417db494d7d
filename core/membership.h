/// \file
/// Which entry hosts are there: a failure detector of the SWIM family
/// (Das, Gupta, Motivala 2002) with suspicion and incarnation numbers.
#pragma once

#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mimosacart {

/// Periods of the failure detector.
struct MembershipTimes {
  /// One member is pinged in each period.
  Duration Period = std::chrono::milliseconds(200);
  /// The same while no other host is known.
  Duration PeriodAlone = std::chrono::milliseconds(200);
  /// A ping without an answer for this long is also tried through others.
  Duration AckTimeout = std::chrono::milliseconds(150);
  /// A ping without any answer for this long makes its target suspect.
  Duration SuspectAfter = std::chrono::milliseconds(400);
  /// A suspicion that is not denied for this long means dead.
  Duration DeadAfter = std::chrono::milliseconds(1000);
  /// Records of dead hosts are dropped after this.
  Duration ForgetAfter = std::chrono::minutes(30);
};

/// Builds the parts of a ping that other modules know.
struct PingExtras {
  std::uint64_t StateDigest = 0;
  std::optional<ConfigurationId> ConfigId;
  TableVersions Tables;
};

/// Where a change of the view comes from.
enum class UpdateSource : std::uint8_t {
  /// Seen by this host itself: the others have to be told.
  ObservedLocally,
  /// Told by a peer, or due everywhere by time: whoever saw it first tells
  /// all, and the exchange of digests mends what was lost. Telling it again
  /// would cost the square of the fleet's size in messages.
  Relayed,
};

/// The view that one entry host has of the fleet.
///
/// The view is soft state: a wrong one costs speed, never safety.
class Membership {
public:
  /// Sends \p Body to a peer address.
  using SendHook = std::function<void(const std::string &Address, PeerBody)>;
  /// Told of each record whose status, life or leaving flag changed.
  using ChangeHook = std::function<void(const MemberRecord &, UpdateSource)>;
  /// Supplies what pings carry for other modules.
  using ExtrasHook = std::function<PingExtras()>;

  struct Hooks {
    SendHook Send;
    ChangeHook Changed;
    ExtrasHook Extras;
  };

  Membership(MemberRecord Self, std::vector<std::string> SeedAddresses,
             MembershipTimes Times, std::uint64_t Seed, Hooks Callbacks);

  /// Pings, raises suspicions and declares hosts dead as time passes.
  void tick(Instant Now);

  void onPing(Instant Now, const HostName &From, const Ping &Message);
  void onAck(Instant Now, const Ack &Message);
  void onPingRequest(Instant Now, const HostName &From,
                     const PingRequest &Message);

  /// Merges one record; true if it changed the view.
  bool merge(Instant Now, const MemberRecord &Received, UpdateSource Source);

  /// Marks this host as leaving and tells the others.
  void leave();

  /// Marks this host as taking work and tells the others.
  void join();

  /// Marks this host as gone, with the host that holds its claims.
  void markLeft(const HostName &Successor);

  /// Sets the token epoch that peers are told.
  void setEpoch(std::uint64_t Epoch) { Self.Epoch = Epoch; }

  /// Replaces the addresses that are tried when few peers are known.
  void setSeeds(std::vector<std::string> Addresses);

  const MemberRecord &self() const { return Self; }
  /// The record of \p Host, this host included; null if not known.
  const MemberRecord *find(const HostName &Host) const;
  /// Every record that is known, this host's first.
  std::vector<MemberRecord> all() const;
  /// Every record with the age of departed ones, as peers are told.
  std::vector<MemberRecord> recordsForPeers(Instant Now) const;
  /// Number of other hosts that may hear a broadcast.
  std::size_t countReachablePeers() const;
  /// Hosts that take work: alive or suspect, not leaving, this host included
  /// unless it is leaving. Sorted by name.
  std::vector<MemberRecord> working() const;
  /// Other hosts that may hear a broadcast.
  std::vector<MemberRecord> reachablePeers() const;
  /// Digest of the hosts that are there, equal on hosts with equal views.
  std::uint64_t digest() const;
  /// The same apart for each of \p Buckets groups of hosts; see bucketOf().
  std::vector<std::uint64_t> digests(std::size_t Buckets) const;

private:
  struct Member {
    MemberRecord Record;
    /// When the record last changed its status.
    Instant Since{};
  };
  struct PendingPing {
    HostName Target;
    Instant SentAt{};
    bool Indirect = false;
    /// Set when the ping was made for another host.
    std::optional<std::pair<HostName, std::uint64_t>> AskedBy;
  };

  void pingNext(Instant Now);
  void pingSeed();
  void checkPendingPings(Instant Now);
  void checkSuspicions(Instant Now);
  void requestIndirectPings(std::uint64_t Sequence, PendingPing &Waiting);
  void suspect(Instant Now, const HostName &Host);
  void applyStatus(Instant Now, Member &Changed, MemberStatus Status,
                   UpdateSource Source);
  void refute(const MemberRecord &Received);
  void sendPing(Instant Now, const MemberRecord &Target,
                std::optional<std::pair<HostName, std::uint64_t>> AskedBy);
  void announceSelf();
  Ping makePing(std::uint64_t Sequence) const;

  MemberRecord Self;
  std::vector<std::string> Seeds;
  const MembershipTimes Times;
  const Hooks Callbacks;
  std::mt19937_64 Random;
  std::map<HostName, Member> Members;
  std::map<std::uint64_t, PendingPing> Pending;
  std::vector<HostName> RoundRobin;
  std::size_t NextSeed = 0;
  std::uint64_t PeriodCount = 0;
  std::uint64_t LastSequence = 0;
  Instant NextPeriod{};
};

/// The one of \p Buckets groups that \p Host belongs to.
std::size_t bucketOf(const HostName &Host, std::size_t Buckets);

/// Whether \p Left overrides \p Right, both being records of one host.
bool overrides(const MemberRecord &Left, const MemberRecord &Right);

} // namespace mimosacart
