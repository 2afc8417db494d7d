/// \file
/// Servers in virtual time for a FlowHarness: some slow, with slots and queues.
#pragma once

#include "tests/direct/flow_harness.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mimosacart {

/// Servers of a simulated service.
struct SimulatedServers {
  unsigned Count = 30;
  unsigned Slots = 2;
  unsigned Queue = 8;
  Duration Work = std::chrono::milliseconds(86);
  /// Part of the servers that runs SlowFactor times slower; another one each
  /// ChangeInterval.
  double SlowShare = 0;
  double SlowFactor = 7;
  Duration ChangeInterval = std::chrono::milliseconds(500);
  /// Part of the calls that takes StragglerFactor times as long.
  double StragglerShare = 0;
  double StragglerFactor = 7;
};

/// Quantiles of the answered requests, in milliseconds.
struct SimulatedLatencies {
  double P50 = 0;
  double P99 = 0;
  double P999 = 0;
};

/// Plays servers for the requests of one host.
class FlowSimulation {
public:
  FlowSimulation(SimulatedServers Servers, FlowPolicy Policy);

  /// Calls \p Start at random times, \p PerSecond times a second on average,
  /// from \p From until \p Until after the start of the simulation.
  void addArrivals(double PerSecond, Duration From, Duration Until,
                   const std::function<void()> &Start);
  void at(Instant When, std::function<void()> Event) {
    Events.emplace(When, std::move(Event));
  }
  void run(Duration Span);
  SimulatedLatencies latencies() const;

  FlowHarness Harness;

private:
  struct Server {
    bool Slow = false;
    unsigned Running = 0;
    std::deque<CallId> Waiting;
  };

  void takeCalls();
  void takeProbes();
  void changeSlowServers();
  void begin(const std::string &Name, CallId Id);
  void end(const std::string &Name, CallId Id);
  ServerLoad load(const Server &State) const;

  const SimulatedServers Settings;
  std::map<std::string, Server> Servers;
  std::multimap<Instant, std::function<void()>> Events;
  std::mt19937_64 Random{7};
};

} // namespace mimosacart
