/// \file
/// What entry hosts tell each other: who is there, which requests crash
/// servers, and rows that a host could not read from the store itself.
#pragma once

#include "core/delay_estimator.h"
#include "core/expiring_notices.h"
#include "core/membership.h"
#include "direct/dissemination_plan.h"
#include "direct/flow_types.h"
#include "direct/table_sync.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace mimosacart {

/// What a host is told of itself and its fleet at its start. A host that is
/// marked as leaving is not used by callers until it joins.
struct FleetSettings {
  MemberRecord Self;
  std::vector<std::string> Seeds;
  MembershipTimes Times;
  std::uint64_t RandomSeed = 1;
  TableSyncTimes Sync;
};

/// This host's side of the exchange between entry hosts.
class FleetGossip {
public:
  struct Hooks {
    std::function<void(const std::string &Address, const PeerMessage &)> Send;
    /// How closely this host is to follow the store from now on.
    std::function<void(ReadMode)> SetReadMode;
    FlowLogHook Log;
  };

  FleetGossip(FleetSettings Settings,
              const std::map<StoreTable, TableCache *> &Tables,
              Hooks Callbacks);

  void onMessage(Instant Now, const PeerMessage &Message);
  void tick(Instant Now);
  Instant nextTick() const { return NextTick; }

  /// Addresses of peers as the store lists them.
  void setSeeds(std::vector<std::string> Addresses);
  /// This host can serve callers from now on.
  void join(Instant Now);
  /// This host will stop: callers are to use the others.
  void leave(Instant Now);
  /// The last message of this host.
  void finish(Instant Now);

  /// Hosts that serve callers, this one included unless it leaves.
  std::vector<MemberRecord> serving() const { return Members.working(); }
  std::size_t hosts() const;

  void addCrash(Instant Now, std::uint64_t Fingerprint,
                const ServerName &Server);
  std::size_t crashes(std::uint64_t Fingerprint) const;

  /// See TableSync::onConfirmed().
  void onConfirmed(Instant Now, StoreTable Table, bool Changed,
                   std::uint64_t Before);
  std::size_t rank() const { return Sync.rank(); }
  Duration longestStoreRetry() const { return Sync.longestRetry(); }

private:
  Membership::Hooks membershipHooks();
  TableSync::Hooks syncHooks();
  void send(const std::string &Address, PeerBody Body);
  void sendTo(const HostName &Host, PeerBody Body);
  /// Tells all hosts, some of them through others.
  template <typename Body> void disseminate(Body Updates);
  /// Hands news on to the other hosts of this data centre.
  template <typename Body>
  void forwardInDataCentre(const HostName &From, Body Updates);
  /// Tells what was seen of members since the last time.
  void sendMemberUpdates();
  void refreshMembers();
  /// Gives a host that is new here enough members to find the others.
  void welcome(const MemberRecord &Newcomer);
  void compare(const HostName &From, std::uint64_t Digest,
               const TableVersions &Theirs);
  ViewSummary summary() const;
  void onMemberChanged(const MemberRecord &Record, UpdateSource Source);
  std::uint64_t digest() const { return Members.digest() + Notices.digest(); }

  void handle(const HostName &From, const Ping &Message);
  void handle(const HostName &From, const Ack &Message);
  void handle(const HostName &From, const PingRequest &Message);
  void handle(const HostName &From, const SoftState &Message);
  void handle(const HostName &From, const TableRequest &Message);
  void handle(const HostName &From, const TableRows &Message);
  void handle(const HostName &From, const ViewSummary &Message);

  const FleetSettings Settings;
  const Hooks Callbacks;
  /// Time of the event that is being handled.
  Instant Now{};
  Instant NextTick{};
  /// How long the message that is being handled was on its way, beyond the
  /// usual.
  Duration MessageDelay{};
  std::map<HostName, DelayEstimator> Delays;
  std::uint64_t LastSequence = 0;
  std::uint64_t LastEvent = 0;
  std::mt19937_64 Random;
  ExpiringNotices Notices;
  /// Members that changed as seen by this host, not told yet.
  std::map<HostName, MemberRecord> MemberUpdates;
  /// Spread and Relay do not know the latest members yet.
  bool MembersChanged = true;
  /// Before this no summary of this host's view is sent.
  std::optional<Instant> NextSummaryAt;
  DisseminationPlan Dissemination;
  TableSync Sync;
  Membership Members;
};

} // namespace mimosacart
