/// \file
/// Checks that entry hosts heed what servers ask for in their answers: a limit
/// on the requests of all hosts, a pause, or no more requests.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosacart {

/// Records what servers asked for and which requests reached them, and reports
/// violations.
class WishChecker {
public:
  using Time = std::chrono::steady_clock::time_point;
  /// Whether the given host, or any host, was disturbed between two times.
  using DisturbedHook = std::function<bool(std::size_t Host, Time, Time)>;

  /// Whether the process of the given host was restarted or stood still, or its
  /// links were harmed, so shortly before a time that limits do not bind it.
  using InterruptedHook = std::function<bool(std::size_t Host, Time)>;

  WishChecker(DisturbedHook WasDisturbed, InterruptedHook WasInterrupted)
      : WasDisturbed(std::move(WasDisturbed)),
        WasInterrupted(std::move(WasInterrupted)) {}

  /// The server names a limit from \p Now on, in requests a second; nothing
  /// ends it.
  void setLimit(Time Now, const std::string &Server,
                std::optional<double> RequestsPerSecond);
  /// \p Host got an answer of the server that says it is leaving.
  void onLeavingAnswer(std::size_t Host, const std::string &Server);
  /// \p Host got a refusal that asks for a pause of \p Length.
  void onPauseAnswer(std::size_t Host, const std::string &Server,
                     std::chrono::milliseconds Length);
  /// A request that its caller sent at \p SentAt reached the server at \p Now.
  void onArrival(Time Now, std::size_t Host, const std::string &Server,
                 Time SentAt);
  /// Forgets what an earlier incarnation of the server asked for.
  void onRestart(const std::string &Server);

  const std::vector<std::string> &violations() const { return Violations; }
  /// Arrivals at servers that had named a limit, and refusals with a pause.
  std::size_t limitedArrivals() const { return LimitedArrivals; }
  std::size_t pauses() const { return PauseCount; }
  std::size_t leavingAnswers() const { return Leaving.size(); }

private:
  using HostAndServer = std::pair<std::size_t, std::string>;
  struct Limit {
    double RequestsPerSecond = 0;
    Time NamedAt;
    /// Requests of hosts that were bound by the limit.
    std::vector<Time> Arrivals;
  };
  struct Pause {
    Time AskedAt;
    Time EndsAt;
    unsigned Arrivals = 0;
  };

  void checkLimit(const std::string &Server, std::size_t Host, Time Now);
  void checkPause(const std::string &Server, std::size_t Host, Time Now);

  const DisturbedHook WasDisturbed;
  const InterruptedHook WasInterrupted;
  std::map<std::string, Limit> Limits;
  std::map<HostAndServer, Pause> Pauses;
  /// When each host first got an answer that says the server is leaving.
  std::map<HostAndServer, Time> Leaving;
  std::vector<std::string> Violations;
  std::size_t LimitedArrivals = 0;
  std::size_t PauseCount = 0;
};

} // namespace mimosacart
