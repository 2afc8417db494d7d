#include "core/work_queue.h"

#include <utility>

namespace mimosacart {

AttemptKey keyOf(const WorkItem &Item) {
  return {Item.Origin, Item.OriginIncarnation, Item.Attempt};
}

void WorkQueue::push(WorkItem Item) {
  const Position QueuePosition{Item.Kind.Priority, Item.ExpiresAt,
                               ++LastArrival};
  Positions[keyOf(Item)] = QueuePosition;
  ++CountByPriority[static_cast<std::size_t>(QueuePosition.Priority)];
  Items.emplace(QueuePosition, std::move(Item));
}

WorkItem WorkQueue::takeAt(std::map<Position, WorkItem>::iterator Entry) {
  WorkItem Taken = std::move(Entry->second);
  --CountByPriority[static_cast<std::size_t>(Entry->first.Priority)];
  Positions.erase(keyOf(Taken));
  Items.erase(Entry);
  return Taken;
}

std::optional<WorkItem> WorkQueue::pop() {
  if (Items.empty())
    return std::nullopt;
  return takeAt(Items.begin());
}

std::optional<WorkItem> WorkQueue::popLast() {
  if (Items.empty())
    return std::nullopt;
  return takeAt(std::prev(Items.end()));
}

std::optional<WorkItem> WorkQueue::remove(const AttemptKey &Key) {
  const auto Found = Positions.find(Key);
  if (Found == Positions.end())
    return std::nullopt;
  return takeAt(Items.find(Found->second));
}

std::vector<WorkItem> WorkQueue::removeExpired(Instant Now) {
  std::vector<WorkItem> Expired;
  for (const PriorityClass Priority :
       {PriorityClass::High, PriorityClass::Normal, PriorityClass::Low}) {
    // Within one priority, attempts are ordered by deadline.
    auto Entry = Items.lower_bound({Priority, Instant::min(), 0});
    while (Entry != Items.end() && Entry->first.Priority == Priority &&
           Entry->first.ExpiresAt <= Now)
      Expired.push_back(takeAt(Entry++));
  }
  return Expired;
}

std::size_t WorkQueue::countBefore(PriorityClass Priority,
                                   Instant ExpiresAt) const {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < static_cast<std::size_t>(Priority);
       ++Index)
    Count += CountByPriority[Index];
  auto Begin = Items.lower_bound({Priority, Instant::min(), 0});
  const auto End = Items.lower_bound({Priority, ExpiresAt, 0});
  Count += static_cast<std::size_t>(std::distance(Begin, End));
  return Count;
}

std::optional<PriorityClass> WorkQueue::lastPriority() const {
  if (Items.empty())
    return std::nullopt;
  return std::prev(Items.end())->first.Priority;
}

} // namespace mimosacart
