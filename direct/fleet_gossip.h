/// \file
/// Exchange of state between entry hosts: the members of the fleet, requests
/// that crash servers, and table rows for hosts that do not read the store.
#pragma once

#include "core/delay_estimator.h"
#include "core/expiring_notices.h"
#include "core/membership.h"
#include "direct/crash_records.h"
#include "direct/dissemination_plan.h"
#include "direct/fleet_size.h"
#include "direct/flow_types.h"
#include "direct/server_constraints.h"
#include "direct/table_sync.h"
#include "direct/update_batch.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace mimosacart {

/// Settings of FleetGossip. If Self is marked as leaving, callers do not use
/// this host until FleetGossip::join() is called.
struct FleetSettings {
  MemberRecord Self;
  std::vector<std::string> Seeds;
  MembershipTimes Times;
  std::uint64_t RandomSeed = 1;
  TableSyncTimes Sync;
  /// The whole fleet starts for the first time, with an empty store.
  bool IsFirstStart = false;
};

/// Exchanges state with the other entry hosts.
class FleetGossip {
public:
  struct Hooks {
    std::function<void(const std::string &Address, const PeerMessage &)> Send;
    /// Sets how this host reads a table of the store from now on.
    std::function<void(StoreTable, ReadMode)> SetReadMode;
    /// Reads a whole table from the store once.
    std::function<void(StoreTable)> ReadTable;
    FlowLogHook Log;
    /// Whether a server has just run such a request of this host to its end.
    std::function<bool(std::uint64_t Fingerprint)> WasServed;
    CrashRecords::Hooks Records;
  };

  FleetGossip(FleetSettings Settings,
              const std::map<StoreTable, TableCache *> &Tables,
              Hooks Callbacks);

  void onMessage(Instant Now, const PeerMessage &Message);
  void tick(Instant Now);
  Instant nextTick() const {
    return std::min(
        {NextTick, OwnUpdates.dueAt(), Forwards.dueAt(), NextToldLogAt});
  }

  /// Sets the addresses of peers that the store lists.
  void setSeeds(std::vector<std::string> Addresses);
  /// Announces that this host can serve callers.
  void join(Instant Now);
  /// Announces that this host will stop, so that callers use other hosts.
  void leave(Instant Now);
  /// Announces that this host stops now. Sends its last message.
  void finish(Instant Now);

  /// Hosts that serve callers, including this one unless it is leaving.
  std::vector<MemberRecord> serving() const { return Members.working(); }
  /// Number of reachable hosts in the fleet, including this one.
  std::size_t hosts() const;
  /// Number of hosts that may be at work and so share limits of the fleet, the
  /// unreachable ones included; 0 if not known. See FleetSize::hosts().
  std::size_t sharingHosts() const { return Size.hosts(Now); }

  /// Increases whenever serving(), hosts() or sharingHosts() may have changed.
  std::uint64_t changes() const { return Changes; }
  /// Peer address of a host; empty if the host is not known.
  std::string addressOf(const HostName &Host) const;
  /// Sends a message of another module.
  void send(Instant Now, const std::string &Address, PeerBody Body);

  /// This host's position among the others in an order that depends on \p Key.
  FleetPosition position(const std::string &Key) const;

  /// Records that a request with \p Fingerprint crashed \p Server, and sends
  /// the notice to all hosts, together with others that come within a short
  /// time. \p Server is what identifies the process: its
  /// address, since discovery may list several ids of one process.
  void addCrash(Instant Now, std::uint64_t Fingerprint,
                const ServerName &Server);
  /// Number of unexpired crashes that requests with \p Fingerprint are
  /// suspected of.
  std::size_t crashes(std::uint64_t Fingerprint) const;
  /// Excuses the crashes known for \p Fingerprint at all hosts, see
  /// ExpiringNotices::excuseCrashes().
  void excuseCrashes(Instant Now, std::uint64_t Fingerprint);
  /// See ExpiringNotices::renewCrashes(). The other hosts get the notices again
  /// when theirs have expired.
  void renewCrashes(Instant Now, std::uint64_t Fingerprint) {
    Notices.renewCrashes(Now, Fingerprint);
  }
  /// See CrashRecords::onChanged().
  void onCrashRecordChanged(std::uint64_t Fingerprint, bool Succeeded) {
    Records.onChanged(Fingerprint, Succeeded);
  }
  /// Takes over the crashes that earlier incarnations of hosts recorded in the
  /// store, and sends them to all hosts.
  void onCrashRecordsRead(Instant Now, std::vector<CrashNotice> Recorded);
  /// Number of unexpired crash notices that this host holds.
  std::size_t crashNotices() const { return Notices.crashes(Now).size(); }

  /// See TableSync::onStoreRead().
  void onStoreRead(Instant Now, StoreTable Table, bool HasChanges,
                   StoreVersion PreviousVersion);
  /// The store has come back from an older copy: writes again what this host
  /// wrote to it.
  void onStoreEraChanged(Instant Now);
  /// See TableSync::rank().
  std::size_t rank() const { return Sync.rank(); }
  /// See TableSync::longestRetry().
  Duration longestStoreRetry() const { return Sync.longestRetry(); }
  /// See TableSync::wholeReadDelay().
  Duration wholeReadDelay(bool AfterFailures) const {
    return Sync.wholeReadDelay(AfterFailures);
  }
  TableFreshness tableFreshness(StoreTable Table) const {
    return Sync.freshness(Now, Table);
  }
  /// Longest transit time of the messages that this host read in the last full
  /// second, beyond that of the fastest message of each sender.
  Duration messageDelay() const { return DelayOfLastSecond; }

private:
  Membership::Hooks membershipHooks();
  TableSync::Hooks syncHooks();
  void send(const std::string &Address, PeerBody Body);
  void sendTo(const HostName &Host, PeerBody Body);
  /// Sends \p Updates to all hosts, directly or through relays.
  template <typename Body> void disseminate(Body Updates);
  /// Sends table rows to all hosts. If there are many, hosts forward them to
  /// each other.
  void broadcastRows(const TableRows &Updates);
  /// Sends table rows of few bytes to \p Hosts of this data centre.
  void sendInDataCentre(const TableRows &Updates,
                        const std::vector<std::string> &Hosts);
  void forwardRows(const TableRows &Updates,
                   const std::vector<ForwardingTarget> &Targets);
  /// Forwards rows that came from \p From as they ask for.
  void relayRows(const HostName &From, const TableRows &Message);
  /// Forwards updates to the other hosts of this data centre.
  template <typename Body> void forwardInDataCentre(Body Updates);
  /// Sends the changes of members that this host observed since the last call.
  void sendMemberUpdates();
  /// Passes a changed list of members on to Dissemination and Sync.
  void refreshMembers();
  /// Counts the hosts that may be at work.
  void updateSize();
  /// Sends enough members to a host that was unknown here for it to discover
  /// the others.
  void sendInitialView(const MemberRecord &Newcomer);
  void sendUnreachableHosts(const MemberRecord &Newcomer);
  std::vector<MemberRecord>
  unreachableHosts(const MemberRecord &Newcomer) const;
  static NoticeLifetimes crashNoticeLifetimes();
  /// Merges a notice of a peer, and forwards it in this data centre if it is
  /// news and \p Forward is set. Excuses it if this host knows better.
  void mergeCrash(CrashNotice Notice, bool Forward);
  void tellExcuses();
  /// Sends the waiting updates that are due, and logs the notices of peers.
  void sendBatches();
  /// Sends all waiting updates, since this host stops.
  void sendWaitingCrashes();
  void logToldCrashes();
  /// Compares this host's view with the digest and the table versions of the
  /// peer \p From, and sends the peer a summary if the digests differ. A host
  /// answers a summary with its own records that differ. Since both hosts
  /// compare their views, both views are repaired.
  void compareViews(const HostName &From, std::uint64_t Digest,
                    const TableVersions &Versions);
  ViewSummary makeSummary() const;
  const std::vector<std::uint64_t> &memberDigests() const;
  /// Same as position().Reachable.Rank, without the other counts.
  std::size_t reachableRank(const std::string &Key) const;
  void onMemberChanged(const MemberRecord &Record, UpdateSource Source);
  /// Logs once a second that messages were read late.
  void logMessageDelay();
  std::uint64_t digest() const;

  void handle(const HostName &From, const Ping &Message);
  void handle(const HostName &From, const Ack &Message);
  void handle(const HostName &From, const PingRequest &Message);
  void handle(const HostName &From, const SoftState &Message);
  void handle(const HostName &From, const TableRequest &Message);
  void handle(const HostName &From, const TableRows &Message);
  void handle(const HostName &From, const ViewSummary &Message);

  const FleetSettings Settings;
  const Hooks Callbacks;
  /// Time of the event being handled.
  Instant Now{};
  Instant NextTick{};
  /// Transit time of the message being handled, beyond that of the fastest
  /// message from its sender.
  Duration MessageDelay{};
  /// The greatest MessageDelay of this second and of the one before.
  Duration DelayOfThisSecond{};
  Duration DelayOfLastSecond{};
  Instant NextDelayLogAt{};
  std::map<HostName, DelayEstimator> Delays;
  /// Number of the last message that this host sent.
  std::uint64_t LastSequence = 0;
  /// Id of the last crash notice of this host. Ids begin at RandomSeed, so that
  /// those of other hosts and earlier incarnations differ.
  std::uint64_t LastEvent = 0;
  std::mt19937_64 Random;
  ExpiringNotices Notices;
  CrashRecords Records;
  /// Requests whose crashes this host excuses, and when it tells the others.
  std::map<std::uint64_t, Instant> UntoldExcuses;
  /// Changes of members that this host observed and has not sent yet.
  std::map<HostName, MemberRecord> MemberUpdates;
  /// Updates that wait to be sent: those that this host observed, for all
  /// hosts, and those that it forwards to the hosts of its data centre.
  UpdateBatch OwnUpdates;
  UpdateBatch Forwards;
  /// Notices of peers that are not logged yet.
  struct ToldCrash {
    std::uint64_t Fingerprint = 0;
    ServerName Server;
    bool Excused = false;
  };
  std::vector<ToldCrash> ToldCrashes;
  Instant NextToldLogAt = Instant::max();
  /// Digests of the members by bucket; empty after a change. Each ping and each
  /// ack carries their sum.
  mutable std::optional<std::vector<std::uint64_t>> MemberDigests;
  std::uint64_t Changes = 0;
  /// Whether the members changed since the last refreshMembers().
  bool MembersChanged = true;
  /// No summary of this host's view is sent before this time.
  std::optional<Instant> NextSummaryAt;
  DisseminationPlan Dissemination;
  /// Addresses of the reachable peers, each once although a host that has
  /// restarted may be known under two names.
  std::set<std::string> PeerAddresses;
  FleetSize Size;
  Instant NextSizeUpdate{};
  TableSync Sync;
  Membership Members;
};

} // namespace mimosacart
