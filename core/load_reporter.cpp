#include "core/load_reporter.h"

#include <algorithm>
#include <bit>

namespace mimosacart {

namespace {

/// Bytes of a report besides the service's name: envelope and three numbers.
constexpr double ReportOverheadBytes = 60;
/// Weight of a change between idle and busy against one of a single slot.
constexpr std::uint32_t FlipWeight = 1000;

std::uint32_t distance(std::uint32_t Left, std::uint32_t Right) {
  return Left > Right ? Left - Right : Right - Left;
}

/// Zero unless other owners should act differently after the change.
std::uint32_t differenceOf(const ServiceLoad &Before, const ServiceLoad &Now) {
  const bool FreeFlipped = (Before.FreeSlots == 0) != (Now.FreeSlots == 0);
  const bool QueueFlipped = (Before.Queued == 0) != (Now.Queued == 0);
  const bool QueueMagnitudeChanged =
      std::bit_width(Before.Queued) != std::bit_width(Now.Queued);
  const bool UsableChanged = Before.UsableSlots != Now.UsableSlots;
  if (!FreeFlipped && !QueueFlipped && !QueueMagnitudeChanged && !UsableChanged)
    return 0;
  return FlipWeight + distance(Before.FreeSlots, Now.FreeSlots) +
         distance(Before.Queued, Now.Queued);
}

} // namespace

LoadReporter::LoadReporter(LoadReportBudget Budget, Hooks Callbacks)
    : Budget(Budget), Callbacks(std::move(Callbacks)),
      Bytes(Budget.BurstBytes, Budget.BurstBytes) {}

std::vector<LoadReporter::Candidate> LoadReporter::candidates() {
  std::vector<Candidate> Result;
  for (const ServiceName &Service : Changed) {
    const ServiceLoad Now = Callbacks.Load(Service);
    const auto Before = LastSent.find(Service);
    ServiceLoad Unknown;
    Unknown.Service = Service;
    const std::uint32_t Difference =
        differenceOf(Before == LastSent.end() ? Unknown : Before->second, Now);
    if (Difference > 0)
      Result.push_back({Now, Difference});
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
  Bytes.earn(toSeconds(Elapsed) * Budget.BytesPerSecond);
  const std::vector<Candidate> Ranked = candidates();
  Changed.clear();
  for (const Candidate &Next : Ranked) {
    const std::vector<HostName> Audience =
        Callbacks.Audience(Next.Load.Service);
    const double Cost =
        (ReportOverheadBytes +
         static_cast<double>(Next.Load.Service.value().size())) *
        static_cast<double>(Audience.size());
    if (!Bytes.spend(Cost)) {
      ++Deferred;
      Changed.insert(Next.Load.Service);
      continue;
    }
    Spent += Cost;
    LastSent[Next.Load.Service] = Next.Load;
    for (const HostName &Host : Audience)
      Callbacks.Send(Host, LoadReport{{Next.Load}});
  }
}

} // namespace mimosacart
