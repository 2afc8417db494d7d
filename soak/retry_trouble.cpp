/// \file
/// Trouble that makes hosts use up their retries and forget what they sent.
#include "soak/soak.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <csignal>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

/// Time before each episode, in which hosts get their shares of the retries.
constexpr auto CalmTime = 14s;
constexpr auto EpisodeLength = 12s;
/// Time after the last episode.
constexpr auto CalmEnd = 12s;
constexpr auto HerdKillDisturbance = 1500ms;

} // namespace

/// Drawn by an engine of their own, so that the faults of a seed stay the same.
void Soak::scheduleRetryTrouble() {
  if (!Options.RetryTrouble)
    return;
  RetryRandom.seed(Options.Seed * 2 + 1);
  for (auto Start = CalmTime; Start + EpisodeLength + CalmEnd <= Options.Length;
       Start += EpisodeLength + CalmTime)
    runAfter(Start, [this] { startRetryEpisode(); });
}

/// All servers break or refuse all requests. Meanwhile many hosts restart or
/// pause, and the store may be away.
void Soak::startRetryEpisode() {
  const auto Draw = [this](long Min, long Max) {
    return std::uniform_int_distribution<long>(Min, Max)(RetryRandom);
  };
  troubleServers(Draw(0, 1) == 0 ? ServerTrouble::Breaks
                                 : ServerTrouble::Refuses);
  runAfter(EpisodeLength, [this] { troubleServers(ServerTrouble::None); });
  for (long Count = Draw(1, 3); Count > 0; --Count) {
    const auto Start = std::chrono::milliseconds(Draw(1500, 9000));
    const double Share = static_cast<double>(Draw(50, 100)) / 100;
    if (Draw(0, 3) > 0)
      runAfter(Start, [this, Share] {
        signalHerd(SIGKILL, Share, HerdKillDisturbance);
      });
    else
      runAfter(Start, [this, Share] { pauseHerd(Share); });
  }
  if (Draw(0, 2) == 0) {
    recordDisturbance("store away", 5000ms, std::nullopt,
                      DisturbanceKind::Store);
    Store.setMood(StoreMood::Silent);
    runAfter(5000ms, [this] { Store.setMood(StoreMood::Sound); });
  }
}

void Soak::troubleServers(ServerTrouble Kind) {
  if (Kind != ServerTrouble::None)
    recordDisturbance(Kind == ServerTrouble::Breaks ? "all servers break"
                                                    : "all servers refuse",
                      EpisodeLength, std::nullopt, DisturbanceKind::Server);
  for (const auto &Server : Servers)
    if (Server->RunningServer)
      Server->RunningServer->setTrouble(Kind);
}

void Soak::pauseHerd(double Share) {
  const auto Length = 3000ms;
  const std::vector<std::size_t> Paused = signalHerd(SIGSTOP, Share, Length);
  runAfter(Length, [this, Paused] {
    for (const std::size_t Index : Paused)
      Hosts[Index].Process->signal(SIGCONT);
  });
}

std::vector<std::size_t> Soak::signalHerd(int Signal, double Share,
                                          std::chrono::milliseconds Length) {
  std::vector<std::size_t> Order(Hosts.size());
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    Order[Index] = Index;
  std::shuffle(Order.begin(), Order.end(), RetryRandom);
  Order.resize(static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Order.size()))));
  const std::string Description =
      Signal == SIGKILL ? "herd kill" : "herd pause";
  printEvent(fmt::format("{} of {} hosts", Description, Order.size()));
  const SoakTime Now = std::chrono::steady_clock::now();
  for (const std::size_t Index : Order) {
    Checker.addDisturbance(
        {Description, Now, Now + Length, Index, DisturbanceKind::Process});
    Hosts[Index].Process->signal(Signal);
  }
  return Order;
}

} // namespace mimosacart
