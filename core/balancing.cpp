#include "core/balancing.h"

#include <algorithm>
#include <memory>
#include <random>

namespace mimosacart {

namespace {

double loadPerSlot(const ServerChoice &Choice) {
  return static_cast<double>(Choice.InFlight) / Choice.Slots;
}

/// Returns the expected time to answer in microseconds if the server got one
/// more request.
double expectedDelay(const ServerChoice &Choice) {
  const double Mean = std::max(Choice.MeanMicroseconds, 1.0);
  return Mean * (Choice.InFlight + 1) / Choice.Slots;
}

using SharedRandom = std::shared_ptr<std::mt19937_64>;

std::size_t drawIndex(std::mt19937_64 &Random, std::size_t Count) {
  return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
}

} // namespace

ChooseHook chooseFastest() {
  return [](const std::vector<ServerChoice> &Choices) {
    const auto Best = std::min_element(
        Choices.begin(), Choices.end(),
        [](const ServerChoice &Left, const ServerChoice &Right) {
          return expectedDelay(Left) < expectedDelay(Right);
        });
    return static_cast<std::size_t>(Best - Choices.begin());
  };
}

ChooseHook chooseRoundRobin() {
  return [Next = std::size_t(0)](
             const std::vector<ServerChoice> &Choices) mutable {
    return Next++ % Choices.size();
  };
}

ChooseHook chooseLeastInFlight(std::uint64_t Seed) {
  const auto Random = std::make_shared<std::mt19937_64>(Seed);
  return [Random](const std::vector<ServerChoice> &Choices) {
    // The random start breaks ties at random, so that hosts with the same view
    // of the loads do not all choose the same server.
    const std::size_t Start = drawIndex(*Random, Choices.size());
    std::size_t Best = Start;
    for (std::size_t Step = 1; Step < Choices.size(); ++Step) {
      const std::size_t Index = (Start + Step) % Choices.size();
      if (loadPerSlot(Choices[Index]) < loadPerSlot(Choices[Best]))
        Best = Index;
    }
    return Best;
  };
}

ChooseHook chooseLessLoadedOfTwo(std::uint64_t Seed) {
  const auto Random = std::make_shared<std::mt19937_64>(Seed);
  return [Random](const std::vector<ServerChoice> &Choices) {
    const std::size_t First = drawIndex(*Random, Choices.size());
    const std::size_t Second = drawIndex(*Random, Choices.size());
    return loadPerSlot(Choices[Second]) < loadPerSlot(Choices[First]) ? Second
                                                                      : First;
  };
}

BalancingPolicy makeBalancingPolicy(std::string_view Name, std::uint64_t Seed) {
  if (Name == "round-robin")
    return {false, chooseRoundRobin()};
  if (Name == "least-in-flight")
    return {false, chooseLeastInFlight(Seed)};
  if (Name == "two-choices")
    return {false, chooseLessLoadedOfTwo(Seed)};
  return {true, chooseFastest()};
}

} // namespace mimosacart
