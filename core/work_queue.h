/// \file
/// Queue of the attempts at an entry host that wait for a slot of a service.
#pragma once

#include "core/configuration.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mimosacart {

/// One attempt at the host that runs or queues it.
struct WorkItem {
  HostName Origin;
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
  ServiceName Service;
  RequestKind Kind;
  RequestPtr Request;
  /// The attempt is refused if it has not started by this time.
  Instant ExpiresAt{};
  /// Number of forwards between hosts so far.
  std::uint32_t Hops = 0;
  /// Server that is used only if no other is free.
  ServerName Avoid;
  Instant EnqueuedAt{};
};

/// Identifies an attempt across all hosts.
struct AttemptKey {
  HostName Origin;
  IncarnationId OriginIncarnation;
  AttemptId Attempt;

  friend bool operator==(const AttemptKey &, const AttemptKey &) = default;
  friend auto operator<=>(const AttemptKey &, const AttemptKey &) = default;
};

/// Returns the key of \p Item.
AttemptKey keyOf(const WorkItem &Item);

/// Queue ordered by priority, then by the earliest deadline.
class WorkQueue {
public:
  void push(WorkItem Item);
  /// Removes and returns the first attempt.
  std::optional<WorkItem> pop();
  /// Removes and returns the last attempt: the one with the lowest priority and
  /// the latest deadline.
  std::optional<WorkItem> popLast();
  /// Removes and returns one attempt, if it is queued.
  std::optional<WorkItem> remove(const AttemptKey &Key);
  /// Removes and returns all attempts whose \c ExpiresAt has passed.
  std::vector<WorkItem> removeExpired(Instant Now);

  std::size_t size() const { return Items.size(); }
  bool empty() const { return Items.empty(); }
  /// Returns the number of queued attempts ahead of one with \p Priority and
  /// \p ExpiresAt.
  std::size_t countBefore(PriorityClass Priority, Instant ExpiresAt) const;
  /// Returns the priority of the attempt that popLast() would remove.
  std::optional<PriorityClass> lastPriority() const;

private:
  struct Position {
    PriorityClass Priority = PriorityClass::Normal;
    Instant ExpiresAt{};
    /// Serial number in order of arrival.
    std::uint64_t Arrival = 0;

    friend bool operator==(const Position &, const Position &) = default;
    friend auto operator<=>(const Position &, const Position &) = default;
  };
  std::map<Position, WorkItem> Items;
  std::map<AttemptKey, Position> Positions;
  /// Number of queued attempts per priority, so that countBefore() need not
  /// iterate over higher priorities.
  std::size_t CountByPriority[3] = {0, 0, 0};
  std::uint64_t LastArrival = 0;

  WorkItem takeAt(std::map<Position, WorkItem>::iterator Entry);
};

} // namespace mimosacart
