/// \file
/// Servers that start again at their address under a new id, before the store
/// has dropped the old one.
#include "soak/soak.h"

#include <fmt/format.h>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

/// Number of times in a run at which the servers of a service start again.
constexpr unsigned RestartCount = 10;
constexpr auto IdleCheckInterval = 3ms;

} // namespace

/// Drawn by an engine of their own, so that the faults of a seed stay the same.
void Soak::scheduleRestarts() {
  const auto Period = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Options.Length - FaultFreeStart - FaultFreeEnd)
                          .count();
  if (Period <= 0)
    return;
  std::mt19937_64 RestartRandom(Options.Seed ^ 0x5eedULL);
  const auto Draw = [&RestartRandom](long Min, long Max) {
    return std::uniform_int_distribution<long>(Min, Max)(RestartRandom);
  };
  for (unsigned Count = 0; Count < RestartCount; ++Count) {
    const auto Start = std::chrono::milliseconds(2000 + Draw(0, Period));
    const auto OldEntryTime = std::chrono::milliseconds(Draw(500, 2500));
    runAfter(Start, [this, OldEntryTime] { restartOnceServers(OldEntryTime); });
  }
}

/// Restarts the servers of the service for non-idempotent requests that stay,
/// each once it is idle. The store keeps their old entries for \p OldEntryTime.
void Soak::restartOnceServers(std::chrono::milliseconds OldEntryTime) {
  for (const auto &Server : Servers)
    if (Server->Service == OnceService)
      restartWhenIdle(*Server, OldEntryTime);
}

/// A server that ends while it executes a request counts as crashed by it, so
/// a busy one waits.
void Soak::restartWhenIdle(ServerInstance &Server,
                           std::chrono::milliseconds OldEntryTime) {
  if (!Server.RunningServer || Server.IsLeaving)
    return;
  if (!Server.RunningServer->isIdle()) {
    runAfter(IdleCheckInterval, [this, &Server, OldEntryTime] {
      restartWhenIdle(Server, OldEntryTime);
    });
    return;
  }
  const std::string OldId = Server.Id;
  Server.RunningServer.reset();
  Server.Id = fmt::format("i-{}", ++LastServerNumber);
  startServer(Server);
  printEvent(fmt::format("{} starts again as {}, old entry for {} ms", OldId,
                         Server.Id, OldEntryTime.count()));
  runAfter(OldEntryTime, [this, OldId] { removeServerRow(OldId); });
}

} // namespace mimosacart
