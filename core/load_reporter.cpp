#include "core/load_reporter.h"

#include <algorithm>
#include <bit>

namespace mimosacart {

namespace {

/// Estimated size of a report without the service name, in bytes: the envelope
/// and three numbers.
constexpr double ReportOverheadBytes = 60;
/// Base value of the difference of a significant change. The changes in free
/// slots and in queue length are added to it.
constexpr std::uint32_t SignificantChangeWeight = 1000;

std::uint32_t distance(std::uint32_t Left, std::uint32_t Right) {
  return Left > Right ? Left - Right : Right - Left;
}

/// Returns how large a load change is; zero if other owners need not act on it.
std::uint32_t differenceOf(const ServiceLoad &Before,
                           const ServiceLoad &After) {
  const bool BusyChanged = (Before.FreeSlots == 0) != (After.FreeSlots == 0);
  const bool HasQueueChanged = (Before.Queued == 0) != (After.Queued == 0);
  const bool QueueMagnitudeChanged =
      std::bit_width(Before.Queued) != std::bit_width(After.Queued);
  const bool UsableChanged = Before.UsableSlots != After.UsableSlots;
  if (!BusyChanged && !HasQueueChanged && !QueueMagnitudeChanged &&
      !UsableChanged)
    return 0;
  return SignificantChangeWeight + distance(Before.FreeSlots, After.FreeSlots) +
         distance(Before.Queued, After.Queued);
}

} // namespace

LoadReporter::LoadReporter(LoadReportBudget Budget, Hooks Callbacks)
    : Budget(Budget), Callbacks(std::move(Callbacks)),
      ByteBudget(Budget.BurstBytes, Budget.BurstBytes) {}

std::vector<LoadReporter::Candidate> LoadReporter::collectCandidates() {
  std::vector<Candidate> Result;
  for (const ServiceName &Service : Changed) {
    const ServiceLoad Current = Callbacks.Load(Service);
    const auto Before = LastSent.find(Service);
    ServiceLoad ZeroLoad;
    ZeroLoad.Service = Service;
    const std::uint32_t Difference = differenceOf(
        Before == LastSent.end() ? ZeroLoad : Before->second, Current);
    if (Difference > 0)
      Result.push_back({Current, Difference});
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.Difference > Right.Difference;
                   });
  return Result;
}

void LoadReporter::flush(Instant Now) {
  if (Changed.empty() || Now - LastFlush < Budget.MinInterval)
    return;
  const Duration Elapsed =
      std::min(Now - LastFlush, Duration(std::chrono::seconds(1)));
  LastFlush = Now;
  ByteBudget.earn(toSeconds(Elapsed) * Budget.BytesPerSecond);
  const std::vector<Candidate> Ranked = collectCandidates();
  Changed.clear();
  for (const Candidate &Change : Ranked) {
    const std::vector<HostName> Recipients =
        Callbacks.Recipients(Change.Load.Service);
    const double Cost =
        (ReportOverheadBytes +
         static_cast<double>(Change.Load.Service.value().size())) *
        static_cast<double>(Recipients.size());
    if (!ByteBudget.spend(Cost)) {
      ++DeferredCount;
      Changed.insert(Change.Load.Service);
      continue;
    }
    BytesSpent += Cost;
    LastSent[Change.Load.Service] = Change.Load;
    for (const HostName &Host : Recipients)
      Callbacks.Send(Host, LoadReport{{Change.Load}});
  }
}

} // namespace mimosacart
