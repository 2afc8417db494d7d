/// \file
/// How the memory of a host is divided among the messages that it holds.
#pragma once

#include "core/memory_budget.h"

#include <cstddef>
#include <memory>

namespace mimosacart {

/// Budgets of a process. What they leave is for tables, sessions and the bytes
/// of each message that budgets do not count.
struct MessageMemory {
  explicit MessageMemory(std::size_t HostBytes)
      : Requests(std::make_shared<MemoryBudget>(HostBytes * 3 / 10)),
        Answers(std::make_shared<MemoryBudget>(HostBytes * 3 / 10)),
        Platform(std::make_shared<MemoryBudget>(HostBytes / 64)),
        MaxPeerMessageBytes(HostBytes / 16),
        MaxConnections(HostBytes / 4 / MemoryReservation::UncountedBytes) {}

  /// Requests of callers, until their answers are written.
  std::shared_ptr<MemoryBudget> Requests;
  /// Answers of backend servers, until callers have got them.
  std::shared_ptr<MemoryBudget> Answers;
  /// Answers of the platform. Parsed, they take a multiple of their size.
  std::shared_ptr<MemoryBudget> Platform;
  std::size_t MaxPeerMessageBytes;
  /// Limit on the connections of callers, each of which may hold uncounted
  /// bytes.
  std::size_t MaxConnections;
};

} // namespace mimosacart
