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
      : Requests(makeBudget(HostBytes, RequestPercent)),
        Answers(makeBudget(HostBytes, AnswerPercent)),
        Platform(makeBudget(HostBytes, PlatformPercent)),
        MaxPeerMessageBytes(HostBytes / HundredPercent * PeerMessagePercent),
        MaxConnections(HostBytes / HundredPercent * UncountedPercent /
                       MemoryReservation::UncountedBytes) {}

  static constexpr std::size_t HundredPercent = 100;
  static constexpr std::size_t RequestPercent = 30;
  static constexpr std::size_t AnswerPercent = 30;
  static constexpr std::size_t PlatformPercent = 2;
  static constexpr std::size_t PeerMessagePercent = 6;
  /// For the uncounted bytes of all connections.
  static constexpr std::size_t UncountedPercent = 25;

  static std::shared_ptr<MemoryBudget> makeBudget(std::size_t HostBytes,
                                                  std::size_t Percent) {
    return std::make_shared<MemoryBudget>(HostBytes / HundredPercent * Percent);
  }

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
