/// \file
/// What must always hold, on real processes under signals, cuts and platform
/// outages. These tests assert invariants, never how long anything takes.
#include "tests/process/process_fleet.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

std::string outcomeOf(const std::optional<HttpResponse> &Response) {
  if (!Response)
    return "none";
  const std::string *Refused =
      findField(Response->Headers, "Mimosacart-Outcome");
  return Refused != nullptr ? *Refused : "answered";
}

class GuaranteesProcessTest : public testing::Test {
protected:
  /// Keyed requests that were sent, with every outcome seen of each.
  struct Booking {
    std::string Id;
    std::string Token;
    std::vector<std::string> Outcomes;
  };

  std::vector<Booking> makeBookings(ProcessFleet &Fleet, unsigned Count,
                                    unsigned Host) {
    std::vector<Booking> Made;
    const std::string Token = Fleet.token(Host);
    for (unsigned Index = 0; Index < Count; ++Index)
      Made.push_back({fmt::format("{}-{}", Host, Index), Token, {}});
    return Made;
  }

  /// Sends a copy of each booking to \p Host and notes the outcomes.
  void sendAll(ProcessFleet &Fleet, std::vector<Booking> &Bookings,
               unsigned Host) {
    std::vector<std::pair<std::string, HttpRequest>> Calls;
    Calls.reserve(Bookings.size());
    for (const Booking &Each : Bookings)
      Calls.emplace_back(Fleet.callerAddress(Host),
                         Fleet.book(Each.Id, Each.Token));
    const auto Results = Fleet.callAll(Calls);
    for (std::size_t Index = 0; Index < Results.size(); ++Index)
      Bookings[Index].Outcomes.push_back(outcomeOf(Results[Index]));
  }

  void check(const ProcessFleet &Fleet, const std::vector<Booking> &Bookings) {
    for (const Booking &Each : Bookings) {
      const std::size_t Runs = Fleet.executionsOf("key-" + Each.Id);
      EXPECT_LE(Runs, 1U) << Each.Id;
      for (const std::string &Outcome : Each.Outcomes) {
        if (Outcome == "not-run") {
          EXPECT_EQ(Runs, 0U) << Each.Id;
        }
        if (Outcome == "answered") {
          EXPECT_EQ(Runs, 1U) << Each.Id;
        }
      }
    }
  }

  /// Ids and all outcomes of the bookings whose last outcome is \p Outcome.
  std::string describe(const std::vector<Booking> &Bookings,
                       const std::string &Outcome) {
    std::string Text;
    for (const Booking &Each : Bookings)
      if (Each.Outcomes.back() == Outcome)
        Text += fmt::format("{}: {}\n", Each.Id, fmt::join(Each.Outcomes, " "));
    return Text;
  }

  std::size_t count(const std::vector<Booking> &Bookings,
                    const std::string &Outcome) {
    std::size_t Found = 0;
    for (const Booking &Each : Bookings)
      Found += Each.Outcomes.back() == Outcome ? 1 : 0;
    return Found;
  }
};

TEST_F(GuaranteesProcessTest,
       issuerKilledMidway_resentElsewhere_runsAtMostOnce) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  auto Bookings = makeBookings(Fleet, 60, 0);
  std::thread Killer([&Fleet] {
    std::this_thread::sleep_for(40ms);
    Fleet.host(0).signal(SIGKILL);
  });
  sendAll(Fleet, Bookings, 0);
  Killer.join();
  sendAll(Fleet, Bookings, 1);
  sendAll(Fleet, Bookings, 2);
  check(Fleet, Bookings);
  Fleet.dropHost(0);
  Fleet.startHost(0);
  ASSERT_TRUE(Fleet.eventually([&] { return Fleet.entries(0).size() == 3; }));
  sendAll(Fleet, Bookings, 0);
  check(Fleet, Bookings);
}

TEST_F(GuaranteesProcessTest,
       issuerFrozenAndWoken_resentElsewhere_runsAtMostOnce) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  auto Bookings = makeBookings(Fleet, 60, 0);
  std::thread Freezer([&Fleet] {
    std::this_thread::sleep_for(40ms);
    Fleet.host(0).signal(SIGSTOP);
    std::this_thread::sleep_for(6s);
    Fleet.host(0).signal(SIGCONT);
  });
  sendAll(Fleet, Bookings, 0);
  sendAll(Fleet, Bookings, 1);
  Freezer.join();
  ASSERT_TRUE(Fleet.eventually([&] { return Fleet.entries(1).size() == 3; }));
  sendAll(Fleet, Bookings, 1);
  sendAll(Fleet, Bookings, 2);
  check(Fleet, Bookings);
  // The issuer lives, so nothing stays unknown.
  EXPECT_EQ(count(Bookings, "unknown"), 0U) << describe(Bookings, "unknown");
}

TEST_F(GuaranteesProcessTest, ownerKilledMidway_keyedRequests_runAtMostOnce) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  auto Bookings = makeBookings(Fleet, 60, 0);
  std::thread Killer([&Fleet] {
    std::this_thread::sleep_for(30ms);
    Fleet.host(1).signal(SIGKILL);
  });
  sendAll(Fleet, Bookings, 0);
  Killer.join();
  sendAll(Fleet, Bookings, 2);
  check(Fleet, Bookings);
}

TEST_F(GuaranteesProcessTest, plannedStop_underLoad_cutsNothingLosesNoClaim) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  auto Bookings = makeBookings(Fleet, 60, 0);
  std::thread Stopper([&Fleet] {
    std::this_thread::sleep_for(40ms);
    Fleet.host(0).signal(SIGTERM);
  });
  sendAll(Fleet, Bookings, 0);
  Stopper.join();
  EXPECT_EQ(count(Bookings, "answered"), 60U);
  EXPECT_EQ(Fleet.host(0).wait(), 0);
  sendAll(Fleet, Bookings, 1);
  EXPECT_EQ(count(Bookings, "answered"), 60U);
  check(Fleet, Bookings);
}

TEST_F(GuaranteesProcessTest, serverKilledMidway_keyedRequests_runAtMostOnce) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  auto Bookings = makeBookings(Fleet, 60, 0);
  std::thread Killer([&Fleet] {
    std::this_thread::sleep_for(30ms);
    Fleet.dropServer(0);
    Fleet.dropServer(1);
  });
  sendAll(Fleet, Bookings, 0);
  Killer.join();
  sendAll(Fleet, Bookings, 2);
  check(Fleet, Bookings);
}

TEST_F(GuaranteesProcessTest, platformDown_repeatableAndFirstSends_goOn) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  for (const char *Mode : {"mode=down", "mode=hang"}) {
    Fleet.controlPlatform(Mode);
    std::this_thread::sleep_for(500ms);
    auto Bookings = makeBookings(Fleet, 30, 1);
    for (Booking &Each : Bookings)
      Each.Id += Mode;
    sendAll(Fleet, Bookings, 1);
    EXPECT_EQ(count(Bookings, "answered"), 30U) << Mode;
    EXPECT_EQ(outcomeOf(Fleet.call(Fleet.callerAddress(2), Fleet.read("1"))),
              "answered");
    check(Fleet, Bookings);
  }
}

TEST_F(GuaranteesProcessTest, hostStartedDuringOutage_takesPeersConfiguration) {
  FleetShape Shape;
  Shape.Hosts = 4;
  ProcessFleet Fleet(Shape);
  Fleet.startPlatform();
  for (unsigned Index = 0; Index < 6; ++Index)
    Fleet.startServer(Index);
  for (unsigned Index = 0; Index < 3; ++Index)
    Fleet.startHost(Index);
  const std::string File = Fleet.writeConfiguration("services.toml");
  ASSERT_TRUE(Fleet.eventually([&] {
    return Fleet.operate(
               {"--settings=" + Fleet.operatorSettings(), "apply", File}) == 0;
  }));
  Fleet.stopPlatform();
  Fleet.startHost(3);
  EXPECT_TRUE(Fleet.eventually([&] {
    return outcomeOf(Fleet.call(Fleet.callerAddress(3), Fleet.read("1"))) ==
           "answered";
  }));
}

TEST_F(GuaranteesProcessTest,
       operatorsRace_twentyAtOnce_oneWinnerPerGeneration) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  std::vector<std::unique_ptr<ChildProcess>> Operators;
  for (unsigned Index = 0; Index < 20; ++Index)
    Operators.push_back(std::make_unique<ChildProcess>(
        std::vector<std::string>{
            std::string(BUILD_DIR) + "/ctl/mimosacartctl",
            "--settings=" + Fleet.operatorSettings(), "apply",
            Fleet.writeConfiguration(fmt::format("race-{}.toml", Index),
                                     Index + 1)},
        Fleet.path(fmt::format("race-{}.log", Index))));
  std::set<std::string> Generations;
  unsigned Accepted = 0;
  for (unsigned Index = 0; Index < 20; ++Index) {
    const int Status = Operators[Index]->wait();
    std::ifstream Log(Fleet.path(fmt::format("race-{}.log", Index)));
    std::ostringstream Text;
    Text << Log.rdbuf();
    const bool Won = Text.str().rfind("accepted as generation", 0) == 0;
    // 0 and 6 are accepted, 4 lost the race; nobody is told anything else.
    EXPECT_TRUE(Won ? Status == 0 || Status == 6 : Status == 4) << Text.str();
    if (!Won)
      continue;
    ++Accepted;
    Generations.insert(Text.str().substr(0, Text.str().find('\n')));
  }
  EXPECT_GE(Accepted, 1U);
  EXPECT_EQ(Generations.size(), Accepted);
  // The history is the truth: every accepted file is in it once.
  ASSERT_TRUE(Fleet.eventually([&] {
    for (unsigned Host = 0; Host < 3; ++Host)
      if (Fleet.status(Host).value("generation", 0U) != Accepted + 1)
        return false;
    return true;
  }));
}

TEST_F(GuaranteesProcessTest, applyAnswerLost_operatorIsToldTheTruth) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  const std::string Settings = "--settings=" + Fleet.operatorSettings();
  // The object is there before, so only the head row's answer is lost.
  const std::string File = Fleet.writeConfiguration("next.toml", 1);
  Fleet.controlPlatform("mode=lose-answer");
  const int First = Fleet.operate({Settings, "apply", File});
  // The object store's answer was lost: nothing was accepted, and it says so.
  EXPECT_EQ(First, 3);
  EXPECT_EQ(Fleet.status(0).value("generation", 0U), 1U);
  Fleet.controlPlatform("mode=lose-row-answer");
  EXPECT_EQ(Fleet.operate({Settings, "apply", File}), 0);
  EXPECT_EQ(Fleet.status(0).value("generation", 0U), 2U);
}

TEST_F(GuaranteesProcessTest, draining_toldByHostList_noNewWorkAfter3s) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  Fleet.controlHostList(R"({"entry_hosts":[],"servers":[)"
                        R"({"name":"server-0","state":"leaving"}]})");
  std::this_thread::sleep_for(3s);
  const std::size_t Before = Fleet.executionsOn(0);
  for (unsigned Round = 0; Round < 10; ++Round) {
    std::vector<std::pair<std::string, HttpRequest>> Calls;
    for (unsigned Index = 0; Index < 30; ++Index)
      Calls.emplace_back(Fleet.callerAddress(Index % 3), Fleet.read("1"));
    for (const auto &Response : Fleet.callAll(Calls))
      EXPECT_EQ(outcomeOf(Response), "answered");
  }
  EXPECT_EQ(Fleet.executionsOn(0), Before);
}

TEST_F(GuaranteesProcessTest,
       crashingRequest_resentForEver_losesAtMostTwoServers) {
  ProcessFleet Fleet({});
  Fleet.startAll();
  for (unsigned Try = 0; Try < 30; ++Try) {
    const unsigned Host = Try % 3;
    HttpRequest Request = Fleet.book("x", Fleet.token(Host), "CRASH");
    Request.Headers[0].Value = fmt::format("crash-{}", Try);
    Fleet.call(Fleet.callerAddress(Host), Request);
  }
  unsigned Lost = 0;
  for (unsigned Index = 0; Index < 6; ++Index)
    Lost += Fleet.serverRunning(Index) ? 0 : 1;
  EXPECT_LE(Lost, 2U);
  EXPECT_TRUE(Fleet.eventually([&] {
    return outcomeOf(Fleet.call(Fleet.callerAddress(0), Fleet.read("1"))) ==
           "answered";
  }));
}

TEST_F(GuaranteesProcessTest, tenThousandAtOnce_eachGetsItsOwnAnswer) {
  FleetShape Shape;
  Shape.Slots = 50;
  Shape.MeanMs = 5;
  ProcessFleet Fleet(Shape);
  Fleet.startAll();
  std::vector<std::pair<std::string, HttpRequest>> Calls;
  for (unsigned Index = 0; Index < 10'000; ++Index)
    Calls.emplace_back(Fleet.callerAddress(Index % 3),
                       Fleet.read(fmt::format("own-{}", Index)));
  const auto Results = Fleet.callAll(Calls);
  for (std::size_t Index = 0; Index < Results.size(); ++Index) {
    // Every caller is told something: its own answer, or a true refusal.
    ASSERT_TRUE(Results[Index].has_value()) << Index;
    if (outcomeOf(Results[Index]) == "answered") {
      EXPECT_EQ(Results[Index]->Body, fmt::format("/read/own-{} ", Index));
    }
  }
}

} // namespace
} // namespace mimosacart
