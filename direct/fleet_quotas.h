/// \file
/// Keeps the quotas of workspaces together with the other hosts.
#pragma once

#include "core/peer_messages.h"
#include "direct/flow_types.h"
#include "direct/quota_borrower.h"
#include "direct/quota_lender.h"
#include "direct/quota_limits.h"
#include "direct/server_constraints.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// The hosts as FleetQuotas needs them.
struct QuotaFleet {
  /// Peer addresses of the reachable hosts that serve callers and do not leave,
  /// this host included; sorted, each once.
  std::vector<std::string> Serving;
  /// Number of reachable hosts.
  std::size_t Reachable = 1;
  /// Number of hosts that may be at work; 0 if not known.
  std::size_t Overall = 0;

  friend bool operator==(const QuotaFleet &, const QuotaFleet &) = default;
};

/// Counters since the start of the process and current numbers, for metrics.
struct QuotaCounters {
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  /// Those of Admitted that were taken from the reserve.
  std::uint64_t FromReserve = 0;
  std::uint64_t Waiting = 0;
  /// Unused tokens that this host has borrowed.
  std::uint64_t Leases = 0;
  /// Tokens in valid leases that this host lent.
  std::uint64_t Lent = 0;
  /// Workspaces for which this host lends.
  std::uint64_t Lending = 0;
};

/// Admits the requests of workspaces with quotas. For each workspace one host
/// lends tokens, and all hosts, that one included, borrow from it. See
/// docs/design/quotas.md. Not thread-safe; uses no sockets or clocks.
class FleetQuotas {
public:
  struct Hooks {
    std::function<void(const std::string &Address, PeerBody)> Send;
    /// A request that waited may run.
    std::function<void(RequestId)> Admitted;
    /// A request that waited is refused.
    std::function<void(RequestId, Duration RetryAfter)> Refused;
    /// See FleetGossip::position().
    std::function<FleetPosition(const std::string &Key)> Position;
    FlowLogHook Log;
  };

  /// \p Self is the peer address of this host. Numbers of requests begin at
  /// \p Seed, so that those of earlier processes differ.
  FleetQuotas(Instant Now, QuotaLimits Limits, std::string Self,
              std::uint64_t Seed, Hooks Callbacks);

  /// Replaces all quotas. Requests of workspaces that no longer have one are
  /// admitted.
  void setQuotas(Instant Now, const RouteConfiguration &Configuration);
  void setFleet(Instant Now, QuotaFleet NewFleet);

  /// Admits a request if a token is at hand or the workspace has no quota.
  bool tryAdmit(Instant Now, const std::string &Workspace);
  /// Makes a request wait that tryAdmit() did not admit. The result is told
  /// through a hook, perhaps before this returns.
  void wait(Instant Now, RequestId Id, const std::string &Workspace,
            Instant Deadline);
  /// Drops a request that waits.
  void abandon(RequestId Id, const std::string &Workspace);

  void onRequest(Instant Now, const std::string &From,
                 const QuotaRequest &Request);
  void onGrant(Instant Now, const std::string &From, const QuotaGrant &Grant);
  void tick(Instant Now);
  Instant nextTick() const { return NextTick; }
  QuotaCounters counters(Instant Now);

private:
  /// A workspace with a quota.
  struct Entry {
    std::string Name;
    WorkspaceQuota Quota;
    std::uint64_t Hash = 0;
    /// The lender and the host that follows it; empty if there is none.
    std::string Lender;
    std::string Next;
    std::unique_ptr<QuotaLender> Lends;
    /// The bucket was handed over before this host knew that it is the lender.
    bool IsPending = false;
    /// End of the time in which a handover is valid without a confirmation by
    /// Next or, if pending, at all.
    Instant HandedUntil{};
    /// Rate of the previous lender, used as long as the part of this host is
    /// not known.
    double HandedRate = 0;
    std::unique_ptr<QuotaBorrower> Borrows;
    bool IsDirty = false;
  };
  struct Confirmation {
    std::uint64_t Number = 0;
    Instant AskedAt{};
    /// When the last confirmed question was asked.
    Instant ConfirmedAt{};
  };

  /// Called first with each event. After a suspension in which another host may
  /// have begun to lend, all buckets start again.
  void touch(Instant Now);
  void schedule(Instant At) { NextTick = std::min(NextTick, At); }
  Entry *find(const std::string &Workspace);
  QuotaBorrower &borrower(Instant Now, Entry &Of);

  // Borrowing.
  void ask(Instant Now, Entry &Of);
  void flush(Instant Now);
  void applyLease(Instant Now, Entry &Of, const QuotaLease &Lease);
  void serveWaiting(Instant Now, Entry &Of);
  /// Refuses those that cannot wait until the lender expects tokens.
  void refuseDenied(Instant Now, Entry &Of);
  void decideByReserve(Instant Now, Entry &Of);
  void admit(Entry &Of, RequestId Id);
  void refuse(Instant Now, Entry &Of, RequestId Id, Duration RetryAfter);
  void tickBorrower(Instant Now, Entry &Of);
  void logRefusals(Instant Now, Entry &Of);

  // Lending.
  struct LendingChanges;
  QuotaGrant answer(Instant Now, const std::string &From,
                    const QuotaRequest &Request);
  void updateLender(Instant Now, Entry &Of, LendingChanges &Changes,
                    Instant StartsAt);
  void updateLenders(Instant Now, Instant StartsAt);
  void updateRates(Instant Now, Entry &Of);
  void updatePart(Instant Now);
  /// Whether this host may lend for the workspace now.
  bool lends(Instant Now, const Entry &Of) const;
  void acceptHandover(Instant Now, const QuotaHandover &Handover);
  /// Asks the hosts that would lend next whether they count this one.
  void askConfirmations(Instant Now);

  const QuotaLimits Limits;
  const std::string Self;
  const Hooks Callbacks;
  std::unordered_map<std::string, Entry> Entries;
  /// Entries with a borrower.
  std::vector<Entry *> Active;
  /// Entries whose borrower has a request or returned tokens to send.
  std::vector<Entry *> Dirty;
  QuotaFleet Fleet;
  /// Hashes of Fleet.Serving.
  std::vector<std::uint64_t> ServingHashes;
  Instant FleetChangedAt{};
  /// Part of each rate that belongs to the reachable hosts. Raised late, since
  /// other hosts may still use theirs.
  double Part = 0;
  bool IsPartKnown = false;
  std::optional<Instant> RaisePartAt;
  double RaisedPart = 0;
  std::map<std::string, Confirmation> Confirmations;
  Instant NextConfirmationAt{};
  std::uint64_t LastNumber;
  Instant NextFlushAt{};
  Instant LastEventAt;
  Instant NextTick = Instant::max();
  QuotaCounters Counters;
};

} // namespace mimosacart
