#include "core/balancing.h"

#include <algorithm>
#include <memory>
#include <random>

namespace mimosacart {

namespace {

double loadOf(const ServerChoice &Choice) {
  return static_cast<double>(Choice.InFlight) / Choice.Slots;
}

/// Expected time to answer if the server took one more request.
double delayOf(const ServerChoice &Choice) {
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
    const auto Best =
        std::min_element(Choices.begin(), Choices.end(),
                         [](const ServerChoice &L, const ServerChoice &R) {
                           return delayOf(L) < delayOf(R);
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
    // Beginning anywhere draws among equals, so that hosts with the same view
    // do not all choose the same server.
    const std::size_t Start = drawIndex(*Random, Choices.size());
    std::size_t Best = Start;
    for (std::size_t Step = 1; Step < Choices.size(); ++Step) {
      const std::size_t Index = (Start + Step) % Choices.size();
      if (loadOf(Choices[Index]) < loadOf(Choices[Best]))
        Best = Index;
    }
    return Best;
  };
}

ChooseHook chooseOfTwo(std::uint64_t Seed) {
  const auto Random = std::make_shared<std::mt19937_64>(Seed);
  return [Random](const std::vector<ServerChoice> &Choices) {
    const std::size_t First = drawIndex(*Random, Choices.size());
    const std::size_t Second = drawIndex(*Random, Choices.size());
    return loadOf(Choices[Second]) < loadOf(Choices[First]) ? Second : First;
  };
}

BalancingPolicy makeBalancingPolicy(std::string_view Name, std::uint64_t Seed) {
  if (Name == "round-robin")
    return {false, chooseRoundRobin()};
  if (Name == "least-in-flight")
    return {false, chooseLeastInFlight(Seed)};
  if (Name == "two-choices")
    return {false, chooseOfTwo(Seed)};
  return {true, chooseFastest()};
}

} // namespace mimosacart
