/// \file
/// Fleet membership: a failure detector of the SWIM family (Das, Gupta,
/// Motivala 2002) with suspicion and incarnation numbers.
#pragma once

#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/probe_burst.h"
#include "core/receive_lag.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mimosacart {

/// Intervals and timeouts of the failure detector.
struct MembershipTimes {
  /// Time between two pings of the failure detector.
  Duration Period = std::chrono::milliseconds(200);
  /// Replaces `Period` while no other host is known.
  Duration PeriodAlone = std::chrono::milliseconds(200);
  /// A target that has not answered a ping for this long is also pinged
  /// through other hosts.
  Duration AckTimeout = std::chrono::milliseconds(150);
  /// A target that has not answered a ping for this long becomes suspect.
  Duration SuspectAfter = std::chrono::milliseconds(400);
  /// A suspect that does not refute the suspicion for this long is dead.
  Duration DeadAfter = std::chrono::milliseconds(1000);
  /// Records of dead hosts and of hosts that left are dropped after this.
  Duration ForgetAfter = std::chrono::minutes(30);
};

/// Fields of a ping or an ack that other modules supply.
struct PingExtras {
  std::uint64_t StateDigest = 0;
  std::optional<ConfigurationId> ConfigId;
  TableVersions Tables;
};

/// How a host learned of a change in membership.
enum class UpdateSource : std::uint8_t {
  /// The host observed the change itself and broadcasts it.
  ObservedLocally,
  /// A peer sent the change, or it follows from a timeout that expires on all
  /// hosts. It is not broadcast again: the host that observed it first sends
  /// it to all others, and lost messages are repaired by comparing digests. A
  /// broadcast by every host would need a number of messages quadratic in the
  /// fleet size.
  Relayed,
};

/// One entry host's view of the fleet.
///
/// The view is soft state: an outdated or wrong view can cost performance but
/// never safety.
class Membership {
public:
  /// Sends \p Body to a peer address.
  using SendHook = std::function<void(const std::string &Address, PeerBody)>;
  /// Called with each record whose status, incarnation or leaving flag changed.
  using ChangeHook = std::function<void(const MemberRecord &, UpdateSource)>;
  /// Returns the fields of pings and acks that other modules supply.
  using ExtrasHook = std::function<PingExtras()>;

  struct Hooks {
    SendHook Send;
    ChangeHook Changed;
    ExtrasHook Extras;
  };

  Membership(MemberRecord Self, std::vector<std::string> SeedAddresses,
             MembershipTimes Times, std::uint64_t Seed, Hooks Callbacks);

  /// Sends due pings, suspects hosts that do not answer and declares suspects
  /// dead.
  void tick(Instant Now);

  void onPing(Instant Now, const HostName &From, const Ping &Message);
  void onAck(Instant Now, const Ack &Message);
  void onPingRequest(Instant Now, const HostName &From,
                     const PingRequest &Message);

  /// A message of a peer was read \p Delay after the time that its fastest one
  /// would have taken.
  void onMessageRead(Instant Now, Duration Delay);

  /// Merges one record into the view; returns true if a record of another host
  /// was added or replaced.
  bool merge(Instant Now, const MemberRecord &Received, UpdateSource Source);

  /// Marks this host as leaving and reports the change.
  void leave();

  /// Marks this host as accepting work and reports the change.
  void join();

  /// Marks this host as left, names the host that took over its claims and
  /// reports the change.
  void markLeft(const HostName &Successor);

  /// Sets the token epoch in this host's own record.
  void setEpoch(std::uint64_t Epoch) { Self.Epoch = Epoch; }

  /// Replaces the peer addresses that are pinged to find hosts that are not in
  /// the view.
  void setSeeds(std::vector<std::string> Addresses);
  /// Sends the host at \p Address this host's record, which may be new to it.
  void introduceTo(const std::string &Address);

  const MemberRecord &self() const { return Self; }
  /// The record of \p Host, this host included; null if not known.
  const MemberRecord *find(const HostName &Host) const;
  /// Every known record, this host's first.
  std::vector<MemberRecord> all() const;
  /// Every known record as sent to peers: `Age` is set for dead hosts and
  /// hosts that left.
  std::vector<MemberRecord> recordsForPeers(Instant Now) const;
  /// Number of other hosts that are alive or suspect.
  std::size_t countReachablePeers() const;
  /// Hosts that accept work: alive or suspect and not leaving, this host
  /// included. Sorted by name.
  std::vector<MemberRecord> working() const;
  /// Other hosts that are alive or suspect.
  std::vector<MemberRecord> reachablePeers() const;
  /// Digest of the records of hosts that are alive or suspect; hosts with equal
  /// views have equal digests.
  std::uint64_t digest() const;
  /// One such digest for each of \p Buckets groups of hosts; see bucketOf().
  std::vector<std::uint64_t> digests(std::size_t Buckets) const;

private:
  struct Member {
    MemberRecord Record;
    /// When the record was last added or replaced, or changed its status.
    Instant UpdatedAt{};
    /// When the host last sent a ping or an ack.
    Instant HeardAt{};
    /// When this host last pinged it.
    Instant PingedAt{};
  };
  struct PendingPing {
    HostName Target;
    Instant SentAt{};
    /// Whether other hosts were asked to ping the target too.
    bool Indirect = false;
    /// Sender and sequence number of the PingRequest that caused this ping;
    /// empty for this host's own pings.
    std::optional<std::pair<HostName, std::uint64_t>> RequestedBy;
  };

  void pingNext(Instant Now);
  void pingSeed();
  bool hasRecentlyDied(Instant Now) const;
  /// Sends the additional pings that are due after one was not answered.
  void pingMore(Instant Now);
  /// Hosts of which nothing is known since \p Since.
  std::vector<MemberRecord> silentPeers(Instant Since) const;
  void onHeard(Instant Now, const HostName &Host);
  /// Whether \p Unanswered has been awaited long enough to suspect its target.
  bool isOverdue(Instant Now, const PendingPing &Unanswered) const;
  /// Takes time in which this host was suspended out of the waits for others.
  void skipSuspension(Instant Now);
  void checkPendingPings(Instant Now);
  void checkSuspicions(Instant Now);
  void onUnanswered(Instant Now, const PendingPing &Unanswered);
  void requestIndirectPings(std::uint64_t Sequence, PendingPing &Unanswered);
  void suspect(Instant Now, const HostName &Host);
  void applyStatus(Instant Now, Member &Target, MemberStatus Status,
                   UpdateSource Source);
  /// Takes a death that another host reports for a suspicion.
  bool suspectOnHearsay(Instant Now, Member &Entry,
                        const MemberRecord &Received);
  void refute(const MemberRecord &Received);
  /// Sends \p Entry the record that others have of it, which it may refute.
  void askToRefute(const MemberRecord &Entry);
  /// Asks \p Host to refute its record if it was taken for lost.
  void askIfTakenForLost(const HostName &Host);
  std::uint64_t
  sendPing(Instant Now, const MemberRecord &Target,
           std::optional<std::pair<HostName, std::uint64_t>> RequestedBy);
  void announceSelf();
  Ping makePing(std::uint64_t Sequence) const;

  MemberRecord Self;
  std::vector<std::string> Seeds;
  const MembershipTimes Times;
  const Hooks Callbacks;
  std::mt19937_64 Random;
  std::map<HostName, Member> Members;
  /// Unanswered pings by sequence number.
  std::map<std::uint64_t, PendingPing> PendingPings;
  ReceiveLag Lag;
  /// Hosts still to be pinged in the current round, the next one last.
  std::vector<HostName> PingOrder;
  std::size_t NextSeed = 0;
  std::uint64_t PeriodCount = 0;
  std::uint64_t LastSequence = 0;
  Instant NextPeriodAt{};
  ProbeBurst Burst;
  /// Additional pings whose answers decide on the next ones.
  std::vector<std::uint64_t> BurstPings;
  /// When the last message of another host arrived.
  std::optional<Instant> HeardAt;
  std::optional<Instant> StartedAt;
  Instant LastTickAt{};
};

/// Index of the group of \p Host when hosts are split into \p Buckets groups.
std::size_t bucketOf(const HostName &Host, std::size_t Buckets);

/// Whether \p Left replaces \p Right; both are records of the same host.
bool overrides(const MemberRecord &Left, const MemberRecord &Right);

} // namespace mimosacart
