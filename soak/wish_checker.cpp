#include "soak/wish_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

/// Time from the first answer with a limit until it must be kept.
constexpr auto ContactTime = 3s;
constexpr auto LimitWindow = 4s;
/// Requests above the limit that are allowed in a window, besides this factor.
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;
/// Time after an answer until hosts must heed it.
constexpr auto PauseReactionTime = 500ms;
constexpr auto LeavingReactionTime = 2s;
constexpr unsigned MaxArrivalsInPause = 2;

} // namespace

void WishChecker::setLimit(Time Now, const std::string &Server,
                           std::optional<double> RequestsPerSecond) {
  if (RequestsPerSecond)
    Limits[Server] = {*RequestsPerSecond, Now, {}};
  else
    Limits.erase(Server);
}

void WishChecker::onLeavingAnswer(std::size_t Host, const std::string &Server) {
  Leaving.try_emplace({Host, Server}, std::chrono::steady_clock::now());
}

void WishChecker::onPauseAnswer(std::size_t Host, const std::string &Server,
                                std::chrono::milliseconds Length) {
  const Time Now = std::chrono::steady_clock::now();
  ++PauseCount;
  Pauses.try_emplace({Host, Server}, Pause{Now, Now + Length, 0});
}

void WishChecker::onRestart(const std::string &Server) {
  const auto IsServer = [&Server](const auto &Entry) {
    return Entry.first.second == Server;
  };
  std::erase_if(Pauses, IsServer);
  std::erase_if(Leaving, IsServer);
  Limits.erase(Server);
}

void WishChecker::onArrival(Time Now, std::size_t Host,
                            const std::string &Server, Time SentAt) {
  checkLimit(Server, Host, Now);
  checkPause(Server, Host, Now);
  const auto Found = Leaving.find({Host, Server});
  if (Found != Leaving.end() && SentAt > Found->second + LeavingReactionTime &&
      !WasDisturbed(Host, Found->second, Now))
    Violations.push_back(
        fmt::format("DRAIN: host {} sent to {}, which had said that it leaves",
                    Host, Server));
}

void WishChecker::checkLimit(const std::string &Server, std::size_t Host,
                             Time Now) {
  const auto Found = Limits.find(Server);
  if (Found == Limits.end())
    return;
  Limit &Named = Found->second;
  ++LimitedArrivals;
  if (Now < Named.NamedAt + ContactTime || WasInterrupted(Host, Now))
    return;
  Named.Arrivals.push_back(Now);
  const auto Recent = std::count_if(
      Named.Arrivals.begin(), Named.Arrivals.end(),
      [Now](Time Arrival) { return Now - Arrival <= LimitWindow; });
  const double Allowed =
      LimitFactor * Named.RequestsPerSecond *
          std::chrono::duration<double>(LimitWindow).count() +
      LimitSlack;
  if (static_cast<double>(Recent) > Allowed)
    Violations.push_back(
        fmt::format("LIMIT: {} got {} requests in 4 s, allowed {}", Server,
                    Recent, Allowed));
}

void WishChecker::checkPause(const std::string &Server, std::size_t Host,
                             Time Now) {
  const auto Found = Pauses.find({Host, Server});
  if (Found == Pauses.end())
    return;
  Pause &Asked = Found->second;
  if (Now > Asked.EndsAt) {
    Pauses.erase(Found);
    return;
  }
  if (Now < Asked.AskedAt + PauseReactionTime ||
      WasDisturbed(Host, Asked.AskedAt, Now))
    return;
  if (++Asked.Arrivals > MaxArrivalsInPause)
    Violations.push_back(
        fmt::format("BUDGET: host {} sent {} requests to {} in its pause", Host,
                    Asked.Arrivals, Server));
}

} // namespace mimosacart
