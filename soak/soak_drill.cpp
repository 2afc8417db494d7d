/// \file
/// Drills of the store: it goes away and comes back from an older copy.
#include "soak/soak.h"

#include <fmt/format.h>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

constexpr const char *ServersTable = "servers";
/// Servers whose entries the copy lacks have registered again by then.
constexpr long MaxRegisterMs = 1800;
/// Time after a drill in which the hosts' calls to the store are counted.
constexpr auto CountedTime = 10s;
/// Drawn from another engine than the other faults.
constexpr std::uint64_t DrillSeed = 0x5eed'd411;

} // namespace

void Soak::writeServerRow(const std::string &Id, const std::string &Value) {
  ServerRows[Id] = Value;
  Store.put(ServersTable, Id, Value);
}

void Soak::removeServerRow(const std::string &Id) {
  ServerRows[Id] = std::nullopt;
  Store.remove(ServersTable, Id);
}

/// Drawn by an engine of their own, so that the faults of a seed stay the same.
void Soak::scheduleDrills() {
  std::mt19937_64 DrillRandom(Options.Seed ^ DrillSeed);
  const auto Draw = [&DrillRandom](long Min, long Max) {
    return std::uniform_int_distribution<long>(Min, Max)(DrillRandom);
  };
  const auto Period = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Options.Length - FaultFreeStart - FaultFreeEnd)
                          .count();
  if (Period <= 0)
    return;
  const long Count = Draw(1, 2);
  for (long Drill = 0; Drill < Count; ++Drill) {
    const auto Start = std::chrono::milliseconds(2000 + Draw(0, Period));
    const auto Away = std::chrono::milliseconds(Draw(100, 1500));
    const auto Age = std::chrono::milliseconds(Draw(500, 6000));
    const auto RegisterSeed = static_cast<std::uint64_t>(Draw(0, 1'000'000));
    runAfter(Start, [this, Away, Age, RegisterSeed] {
      performDrill(Away, Age, RegisterSeed);
    });
  }
}

void Soak::performDrill(std::chrono::milliseconds Away,
                        std::chrono::milliseconds Age,
                        std::uint64_t RegisterSeed) {
  recordDisturbance(fmt::format("store drill, copy of {} ms", Age.count()),
                    Away + std::chrono::milliseconds(MaxRegisterMs),
                    std::nullopt, DisturbanceKind::Store);
  Store.goAway();
  runAfter(Away, [this, Age, RegisterSeed] {
    Store.returnFromCopy(Age);
    printEvent("store is back");
    writeRowsAgain(RegisterSeed);
    countCallsAfterDrill();
  });
}

void Soak::countCallsAfterDrill() {
  runAfter(CountedTime, [this, CallsBefore = Store.calls()] {
    const auto Calls = static_cast<double>(Store.calls() - CallsBefore);
    printEvent(fmt::format("{:.1f} store calls a host in the {} s after a "
                           "drill, those refused included",
                           Calls / static_cast<double>(Hosts.size()),
                           CountedTime.count()));
  });
}

/// Entries of leaving servers change at once: a server that has ended takes no
/// requests, whatever the copy says, but those of this run go on.
void Soak::writeRowsAgain(std::uint64_t RegisterSeed) {
  Store.put("op", "config", ConfigurationRow);
  std::mt19937_64 DelayRandom(RegisterSeed);
  for (const auto &[Id, Value] : ServerRows) {
    const bool IsLeaving =
        !Value || Value->find("\"draining\"") != std::string::npos;
    if (IsLeaving) {
      writeServerRowAgain(Id);
      continue;
    }
    const std::chrono::milliseconds Delay(
        std::uniform_int_distribution<long>(0, MaxRegisterMs)(DelayRandom));
    runAfter(Delay, [this, Id = Id] { writeServerRowAgain(Id); });
  }
}

void Soak::writeServerRowAgain(const std::string &Id) {
  const std::optional<std::string> Value = ServerRows.at(Id);
  if (Value)
    writeServerRow(Id, *Value);
  else
    removeServerRow(Id);
}

} // namespace mimosacart
