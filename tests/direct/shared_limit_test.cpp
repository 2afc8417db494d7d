/// \file
/// The sum of the requests that a fleet sends to a server with a limit.
#include "tests/direct/shared_limit_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr Duration Length = 70s;
constexpr std::array<std::size_t, 4> FleetSizes = {5, 6, 56, 189};

/// Draws from all seeds alike, while RapidCheck begins with small numbers.
std::uint32_t drawSeed() {
  return *rc::gen::noShrink(
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
}

/// Draws what happens to a fleet.
class Scenario {
public:
  explicit Scenario(std::uint64_t Seed)
      : Random(Seed), HostCount(FleetSizes[drawNumber(0, 3)]),
        Fleet(HostCount, Seed) {}

  std::size_t drawNumber(std::size_t Min, std::size_t Max) {
    return std::uniform_int_distribution<std::size_t>(Min, Max)(Random);
  }
  Duration drawTime() {
    return std::chrono::milliseconds(drawNumber(0, 70'000));
  }
  /// From 0 to 50; as often below one as above.
  double drawLimit() {
    const auto Thousandths = static_cast<double>(drawNumber(0, 1000));
    return drawNumber(0, 1) == 0 ? Thousandths / 1000 : Thousandths / 20;
  }

  void addLimits(bool Changing) {
    Fleet.changeLimit(1s, drawLimit());
    if (!Changing)
      return;
    for (Duration At = 1s; At < Length;) {
      At += std::chrono::milliseconds(drawNumber(200, 30'000));
      if (drawNumber(0, 3) == 0)
        Fleet.changeLimit(At, std::nullopt);
      else
        Fleet.changeLimit(At, drawLimit());
    }
  }

  void addPauses() {
    for (std::size_t Count = drawNumber(0, 3); Count > 0; --Count) {
      const Duration At = drawTime();
      Fleet.pause(At, At + std::chrono::milliseconds(drawNumber(500, 40'000)));
    }
  }

  void addFaults() {
    const std::size_t Most = std::max<std::size_t>(1, HostCount / 3);
    for (std::size_t Count = drawNumber(0, Most); Count > 0; --Count)
      Fleet.restart(drawTime(), drawNumber(0, HostCount - 1));
    for (std::size_t Count = drawNumber(0, Most); Count > 0; --Count)
      Fleet.kill(drawTime(), drawNumber(0, HostCount - 1));
    for (std::size_t Count = drawNumber(0, Most); Count > 0; --Count)
      Fleet.join(drawTime());
    if (drawNumber(0, 1) == 0)
      return;
    std::vector<std::size_t> Cut;
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      if (drawNumber(0, 1) == 0)
        Cut.push_back(Index);
    const Duration At = drawTime();
    Fleet.cut(At, At + std::chrono::milliseconds(drawNumber(500, 8000)), Cut);
  }

  std::mt19937_64 Random;
  std::size_t HostCount;
  SharedLimitFleet Fleet;
};

// Guards against more requests than a limit allows while it changes and the
// hosts' views of the fleet differ.
RC_GTEST_PROP(SharedLimitTest, anyChangesOfFleetAndLimit_pressure_limitIsKept,
              ()) {
  const std::uint32_t Seed = drawSeed();
  Scenario Drawn(Seed);
  Drawn.addLimits(true);
  Drawn.addPauses();
  Drawn.addFaults();
  RC_ASSERT(Drawn.Fleet.run(Length).Excess <= 0);
}

// Guards against limits that are kept by leaving most of them unused.
RC_GTEST_PROP(SharedLimitTest, calmFleet_pressure_limitIsUsed, ()) {
  const std::uint32_t Seed = drawSeed();
  Scenario Drawn(Seed);
  Drawn.addLimits(false);
  const SharedLimitResult Result = Drawn.Fleet.run(Length);
  RC_ASSERT(Result.Excess <= 0);
  RC_ASSERT(Result.Sent >= 0.9 * Result.Allowed - 3);
}

// Guards against hosts that take larger parts because they cannot reach others.
RC_GTEST_PROP(SharedLimitTest, hostsOverlookOthers_pressure_limitIsKept, ()) {
  const std::uint32_t Seed = drawSeed();
  Scenario Drawn(Seed);
  Drawn.addLimits(true);
  Drawn.addPauses();
  Drawn.Fleet.overlook(static_cast<double>(Drawn.drawNumber(1, 6)) / 10);
  RC_ASSERT(Drawn.Fleet.run(Length).Excess <= 0);
}

} // namespace
} // namespace mimosacart
