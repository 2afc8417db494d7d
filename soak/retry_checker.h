/// \file
/// Checks that entry hosts keep the limit on the retries of the whole fleet, by
/// what arrives at servers.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosacart {

/// The limit that the hosts are told: in any Window, a service gets at most
/// Share times its requests plus Slack arrivals beyond the first of each
/// request.
struct SoakRetryLimits {
  double Share = 0.2;
  double Slack = 50;
  std::chrono::seconds Window{10};
};

/// Records the requests of callers and their arrivals at servers, and reports
/// windows with too many repeats. Events must come in the order of their times.
class RetryChecker {
public:
  using Time = std::chrono::steady_clock::time_point;

  explicit RetryChecker(SoakRetryLimits FleetLimits) : Limits(FleetLimits) {}

  /// A caller sent a request on a route to \p Service.
  void onRequest(Time Now, const std::string &Service);
  /// The request reached a server, which may reject it.
  void onArrival(Time Now, const std::string &Service,
                 const std::string &RequestId);

  /// The worst window of each service with too many repeats.
  std::vector<std::string> findViolations() const;
  std::size_t repeats() const { return RepeatCount; }
  /// Greatest part of the limit that was used in a window; 1 is all of it.
  double mostUsed() const;

private:
  struct ServiceState {
    /// Requests of the last two windows, repeats of the last one.
    std::deque<Time> Requests;
    std::deque<Time> Repeats;
    /// Of the window with the greatest share of its limit.
    double MostUsed = 0;
    std::size_t WorstRepeats = 0;
    double WorstLimit = 0;
  };

  double limitAt(Time Now, const ServiceState &State) const;

  const SoakRetryLimits Limits;
  std::map<std::string, ServiceState> Services;
  /// Requests that have reached a server.
  std::set<std::string> Arrived;
  std::size_t RepeatCount = 0;
};

} // namespace mimosacart
