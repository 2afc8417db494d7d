/// \file
/// Cuts between hosts, and between hosts, the store and servers, while hosts
/// are killed, stopped, suspended and told to read their settings again.
#include "soak/soak.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

constexpr auto FirstCut = 4000ms;
/// Time after the start of the last cut.
constexpr auto AfterLastCut = 13000ms;
constexpr auto MeanTimeBetweenCuts = 3000ms;
constexpr long MinCutMs = 1000;
constexpr long MaxCutMs = 12000;
constexpr auto WaveDisturbance = 5000ms;
constexpr auto PauseLength = 3000ms;

} // namespace

long Soak::drawForCuts(long Min, long Max) {
  return std::uniform_int_distribution<long>(Min, Max)(CutRandom);
}

/// Drawn by an engine of their own, so that the faults of a seed stay the same.
void Soak::scheduleCutTrouble() {
  if (!Options.CutTrouble)
    return;
  CutRandom.seed(Options.Seed * 2 + 2);
  const auto Period =
      std::chrono::duration_cast<std::chrono::milliseconds>(Options.Length) -
      FirstCut - AfterLastCut;
  for (auto Count = std::max<long>(2, Period / MeanTimeBetweenCuts); Count > 0;
       --Count)
    runAfter(FirstCut + std::chrono::milliseconds(
                            drawForCuts(0, std::max(0L, Period.count()))),
             [this] { startCut(); });
}

std::vector<std::size_t> Soak::drawPart() {
  std::vector<std::size_t> Part(Hosts.size());
  for (std::size_t Index = 0; Index < Part.size(); ++Index)
    Part[Index] = Index;
  std::shuffle(Part.begin(), Part.end(), CutRandom);
  // A single host in one of three cuts.
  const double Share = drawForCuts(0, 2) == 0
                           ? 0
                           : static_cast<double>(drawForCuts(20, 80)) / 100;
  Part.resize(
      std::max(1L, std::lround(Share * static_cast<double>(Hosts.size()))));
  return Part;
}

void Soak::startCut() {
  const std::vector<std::size_t> Part = drawPart();
  std::vector<std::size_t> Rest;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    if (std::find(Part.begin(), Part.end(), Index) == Part.end())
      Rest.push_back(Index);
  // A cut at the end of the period ends before the calm time.
  const auto Length =
      std::chrono::milliseconds(drawForCuts(MinCutMs, MaxCutMs));
  const SoakTime LatestEnd = StartedAt + Options.Length - FaultFreeEnd;
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      LatestEnd - std::chrono::steady_clock::now());
  const Cut Added = drawCut(Part, Rest);
  beginCut(Added, Part, std::max(500ms, std::min(Length, Left)));
  if (drawForCuts(0, 1) == 0)
    runAfter(std::chrono::milliseconds(drawForCuts(0, Length.count())),
             [this, Part] { signalWave(Part); });
}

/// Draws what the hosts of \p Part lose.
Soak::Cut Soak::drawCut(const std::vector<std::size_t> &Part,
                        const std::vector<std::size_t> &Rest) {
  Cut Result;
  const auto LosePeers = [&](bool BothWays) {
    for (const std::size_t Receiver : Rest)
      for (const std::size_t Sender : Part) {
        Result.Links.emplace_back(Sender, Hosts[Receiver].PeerProxy.get());
        if (BothWays)
          Result.Links.emplace_back(Receiver, Hosts[Sender].PeerProxy.get());
      }
  };
  const auto LoseEachOther = [&] {
    for (const std::size_t Receiver : Part)
      for (const std::size_t Sender : Part)
        Result.Links.emplace_back(Sender, Hosts[Receiver].PeerProxy.get());
  };
  const auto LoseStore = [&] {
    for (const std::size_t Host : Part)
      Result.Links.emplace_back(Host, Hosts[Host].StoreProxy.get());
  };
  const auto LoseServers = [&] {
    for (const auto &Server : Servers)
      if (drawForCuts(0, 1) == 0)
        for (const std::size_t Host : Part)
          Result.Links.emplace_back(Host, Server->Proxy.get());
  };
  switch (drawForCuts(0, 5)) {
  case 0:
    Result.Description = "cut both ways";
    LosePeers(true);
    break;
  case 1:
    Result.Description = "cut one way";
    LosePeers(false);
    break;
  case 2:
    Result.Description = "cut both ways, from each other and the store";
    LosePeers(true);
    LoseEachOther();
    LoseStore();
    break;
  case 3:
    Result.Description = "cut from half of the servers";
    LoseServers();
    break;
  case 4:
    Result.Description = "cut one way and from half of the servers";
    LosePeers(false);
    LoseServers();
    break;
  default:
    Result.Description =
        "cut both ways, from the store and half of the servers";
    LosePeers(true);
    LoseStore();
    LoseServers();
  }
  return Result;
}

void Soak::beginCut(const Cut &Added, const std::vector<std::size_t> &Part,
                    std::chrono::milliseconds Length) {
  printEvent(fmt::format("{} for {} ms: {} of {} hosts", Added.Description,
                         Length.count(), Part.size(), Hosts.size()));
  const SoakTime Now = std::chrono::steady_clock::now();
  Checker.addDisturbance({Added.Description, Now, Now + Length, std::nullopt,
                          DisturbanceKind::Link});
  for (const auto &[Host, Link] : Added.Links)
    Link->cutOff(Hosts[Host].SourceAddress);
  runAfter(Length, [this, Added] {
    for (const auto &[Host, Link] : Added.Links)
      Link->reconnect(Hosts[Host].SourceAddress);
  });
}

/// Sends all hosts of \p Part the same signal.
void Soak::signalWave(const std::vector<std::size_t> &Part) {
  struct Wave {
    const char *Description;
    int Signal;
    DisturbanceKind Kind;
  };
  constexpr std::array<Wave, 4> Waves = {
      {{"kill wave", SIGKILL, DisturbanceKind::Process},
       {"stop wave", SIGTERM, DisturbanceKind::PlannedStop},
       {"reload wave", SIGHUP, DisturbanceKind::Reload},
       {"pause wave", SIGSTOP, DisturbanceKind::Process}}};
  const Wave &Drawn = Waves.at(static_cast<std::size_t>(drawForCuts(0, 3)));
  printEvent(fmt::format("{} of {} hosts", Drawn.Description, Part.size()));
  const SoakTime Now = std::chrono::steady_clock::now();
  for (const std::size_t Index : Part) {
    Checker.addDisturbance(
        {Drawn.Description, Now, Now + WaveDisturbance, Index, Drawn.Kind});
    Hosts[Index].Process->signal(Drawn.Signal);
  }
  if (Drawn.Signal != SIGSTOP)
    return;
  runAfter(PauseLength, [this, Part] {
    for (const std::size_t Index : Part)
      Hosts[Index].Process->signal(SIGCONT);
  });
}

} // namespace mimosacart
