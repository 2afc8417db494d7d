/// \file
/// Fixture of the tests of a fleet under one failure at a time, with nodes in
/// virtual time.
#pragma once

#include "tests/support/node_fleet.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>

namespace mimosacart {

using namespace std::chrono_literals;

/// Time within which a draining server must stop receiving new work: "a few
/// seconds" in the requirements.
inline constexpr Duration MaxDrainDelay = 3s;
/// Time within which the fleet must adapt to a failure or a change: "within
/// seconds" in the requirements.
inline constexpr Duration MaxConvergenceTime = 5s;

/// A fleet of five hosts in three data centres that has run for 2 s.
class FleetScenariosTest : public testing::Test {
protected:
  FleetScenariosTest() : Fleet(makeTestConfiguration(6, 2)) {
    const std::vector<std::string> DataCentres = {"dc-a", "dc-a", "dc-b",
                                                  "dc-b", "dc-c"};
    for (std::size_t Index = 0; Index < DataCentres.size(); ++Index) {
      Names.push_back(fmt::format("host-{}", "abcde"[Index]));
      Fleet.addHost(Names.back(), DataCentres[Index]);
    }
    Fleet.run(2s);
  }

  std::size_t sendBooking(const std::string &Host, const std::string &Id,
                          const std::string &Token,
                          const std::string &Body = "") {
    return Fleet.send(Host, {"POST", "/book/" + Id, Body, "key-" + Id, Token});
  }

  std::size_t sendRead(const std::string &Host, const std::string &Id) {
    return Fleet.send(Host, {"GET", "/read/" + Id, "", "", ""});
  }

  /// Sends one read to every running host every 10 ms for \p Span.
  std::vector<std::size_t> sendReads(Duration Span) {
    std::vector<std::size_t> Sent;
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += 10ms) {
      for (const std::string &Name : Names)
        if (Fleet.isRunning(Name) && !Frozen.contains(Name))
          Sent.push_back(sendRead(Name, std::to_string(++LastId)));
      Fleet.run(10ms);
    }
    return Sent;
  }

  std::size_t countOutcome(const std::vector<std::size_t> &Sent,
                           const std::string &Outcome) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [&](std::size_t Index) {
          return Fleet.outcome(Index) == Outcome;
        }));
  }

  std::set<std::string> listEntryHosts(const std::string &Name) {
    std::set<std::string> Result;
    for (const EntryHost &Listed : Fleet.node(Name).entries(Fleet.now()).Hosts)
      Result.insert(Listed.Host.value());
    return Result;
  }

  void freeze(const std::string &Name) {
    Frozen.insert(Name);
    Fleet.freeze(Name);
  }
  void thaw(const std::string &Name) {
    Frozen.erase(Name);
    Fleet.thaw(Name);
  }

  std::vector<std::string> Names;
  std::set<std::string> Frozen;
  NodeFleet Fleet;
  unsigned LastId = 0;
};

} // namespace mimosacart
