/// \file
/// Attempts that wait at an entry host for a slot of a service.
#pragma once

#include "core/configuration.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mimosacart {

/// One attempt at a host that may run it.
struct WorkItem {
  HostName Origin;
  IncarnationId OriginIncarnation;
  AttemptId Attempt;
  ServiceName Service;
  RequestKind Kind;
  RequestPtr Request;
  /// The attempt is refused if it has not begun by then.
  Instant ExpiresAt{};
  /// Moves between hosts so far.
  std::uint32_t Hops = 0;
  /// Server to pass over if another is free.
  ServerName Avoid;
  Instant EnqueuedAt{};
};

/// Identifies an attempt fleet-wide.
struct AttemptKey {
  HostName Origin;
  IncarnationId OriginIncarnation;
  AttemptId Attempt;

  friend bool operator==(const AttemptKey &, const AttemptKey &) = default;
  friend auto operator<=>(const AttemptKey &, const AttemptKey &) = default;
};

/// Key of \p Item.
AttemptKey keyOf(const WorkItem &Item);

/// Queue by priority, then by the earliest deadline.
class WorkQueue {
public:
  void push(WorkItem Item);
  /// Takes the attempt that goes next.
  std::optional<WorkItem> pop();
  /// Takes the attempt that may wait longest: the last one of pop()'s order.
  std::optional<WorkItem> popLast();
  /// Takes one attempt out, if it is still queued.
  std::optional<WorkItem> remove(const AttemptKey &Key);
  /// Takes out all attempts whose time has passed.
  std::vector<WorkItem> removeExpired(Instant Now);

  std::size_t size() const { return Items.size(); }
  bool empty() const { return Items.empty(); }
  /// Queued attempts that go before one of \p Priority and \p ExpiresAt.
  std::size_t countBefore(PriorityClass Priority, Instant ExpiresAt) const;
  /// The priority of the attempt that popLast() would take.
  std::optional<PriorityClass> lastPriority() const;

private:
  struct Position {
    PriorityClass Priority = PriorityClass::Normal;
    Instant ExpiresAt{};
    std::uint64_t Arrival = 0;

    friend bool operator==(const Position &, const Position &) = default;
    friend auto operator<=>(const Position &, const Position &) = default;
  };
  std::map<Position, WorkItem> Items;
  std::map<AttemptKey, Position> Positions;
  /// Queued attempts per priority, so that countBefore() need not walk them.
  std::size_t CountByPriority[3] = {0, 0, 0};
  std::uint64_t Arrivals = 0;

  WorkItem takeAt(std::map<Position, WorkItem>::iterator Where);
};

} // namespace mimosacart
