/// \file
/// What callers are told of requests that may run once only, for each kind of
/// failure: the price of at most once.
///
/// Five hosts and six servers in virtual time, 200 bookings a second for 10 s,
/// one failure at 5 s. A caller whose outcome is not certain sends the request
/// again every second, twenty times, to any host that runs.
#include "tests/support/node_fleet.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <functional>
#include <map>

DEFINE_uint64(seed, 1, "seed of the choices");

namespace {

using namespace mimosacart;
using namespace std::chrono_literals;

const std::vector<std::string> Names = {"host-a", "host-b", "host-c", "host-d",
                                        "host-e"};

struct Booking {
  TestRequest Request;
  std::size_t Latest = 0;
  std::string FirstOutcome;
  std::size_t AskedAgain = 0;
};

class Experiment {
public:
  Experiment() : Random(FLAGS_seed), Fleet(makeTestConfiguration(6, 2)) {
    for (std::size_t Index = 0; Index < Names.size(); ++Index)
      Fleet.addHost(Names[Index], fmt::format("dc-{}", "abc"[Index % 3]));
    for (unsigned Index = 1; Index <= 6; ++Index)
      Fleet.server(fmt::format("server-{}", Index)).ServiceTime =
          [](const CallerRequest &) { return Duration(50ms); };
    Fleet.run(3s);
  }

  void run(const std::string &Title,
           const std::function<void(NodeFleet &)> &Fail,
           const std::function<void(NodeFleet &)> &Heal) {
    for (unsigned Step = 0; Step < 2000; ++Step) {
      if (Step == 1000)
        Fail(Fleet);
      send();
      Fleet.run(5ms);
    }
    Fleet.run(5s);
    for (Booking &Each : Bookings)
      Each.FirstOutcome = Fleet.outcome(Each.Latest);
    for (unsigned Round = 0; Round < 20; ++Round) {
      if (Round == 5)
        Heal(Fleet);
      resendUncertain();
      Fleet.run(1s);
    }
    Fleet.run(5s);
    // Callers that were answered ask once more, as one that lost its memory.
    for (Booking &Each : Bookings)
      Each.AskedAgain = Fleet.send(runningHost(), Each.Request);
    Fleet.run(10s);
    report(Title);
  }

private:
  std::string runningHost() {
    for (;;) {
      const std::string &Name =
          Names[std::uniform_int_distribution<std::size_t>(0, Names.size() -
                                                                  1)(Random)];
      if (Fleet.isRunning(Name))
        return Name;
    }
  }

  void send() {
    const std::string Host = runningHost();
    const std::string Token = Fleet.token(Host);
    if (Token.empty())
      return;
    const std::string Id = std::to_string(Bookings.size());
    Booking Added{{"POST", "/book/" + Id, "", "key-" + Id, Token}, 0, "", 0};
    Added.Latest = Fleet.send(Host, Added.Request);
    Bookings.push_back(std::move(Added));
  }

  bool isCertain(const Booking &Each) const {
    const std::string Outcome = Fleet.outcome(Each.Latest);
    return Outcome == "answered" || Outcome == "not-run" || Outcome == "ran";
  }

  void resendUncertain() {
    for (Booking &Each : Bookings)
      if (!isCertain(Each))
        Each.Latest = Fleet.send(runningHost(), Each.Request);
  }

  void report(const std::string &Title) {
    std::map<std::string, unsigned> First;
    std::map<std::string, unsigned> Last;
    unsigned UnknownLater = 0;
    unsigned Doubled = 0;
    unsigned Untrue = 0;
    for (const Booking &Each : Bookings) {
      const std::string Outcome = Fleet.outcome(Each.Latest);
      const std::size_t Runs = Fleet.executionsOf(Each.Request.Key);
      ++First[Each.FirstOutcome];
      ++Last[Outcome];
      UnknownLater += Fleet.outcome(Each.AskedAgain) == "unknown" ? 1 : 0;
      Doubled += Runs > 1 ? 1 : 0;
      Untrue += Outcome == "not-run" && Runs > 0 ? 1 : 0;
    }
    fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", Title,
               Bookings.size(), First["answered"],
               First["unknown"] + First["none"] + First["in-progress"],
               Last["answered"], Last["not-run"],
               Last["unknown"] + Last["in-progress"] + Last["none"],
               UnknownLater, Doubled, Untrue);
    std::fflush(stdout);
  }

  std::mt19937_64 Random;
  NodeFleet Fleet;
  std::vector<Booking> Bookings;
};

void nothing(NodeFleet & /*Fleet*/) {}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  fmt::print("| failure | sent | answered at first | uncertain at first | "
             "answered | not-run | unknown at last | unknown when all ask "
             "again | run twice | untrue "
             "not-run |\n|---|---|---|---|---|---|---|---|---|---|\n");
  Experiment().run("none", nothing, nothing);
  Experiment().run(
      "an entry host killed", [](NodeFleet &F) { F.kill("host-a"); }, nothing);
  Experiment().run(
      "an entry host killed, platform down",
      [](NodeFleet &F) {
        F.PlatformUp = false;
        F.kill("host-a");
      },
      nothing);
  Experiment().run(
      "an entry host killed and restarted",
      [](NodeFleet &F) { F.kill("host-a"); },
      [](NodeFleet &F) { F.restart("host-a"); });
  Experiment().run(
      "two entry hosts killed",
      [](NodeFleet &F) {
        F.kill("host-a");
        F.kill("host-b");
      },
      nothing);
  Experiment().run(
      "an entry host frozen for 15 s", [](NodeFleet &F) { F.freeze("host-a"); },
      [](NodeFleet &F) { F.thaw("host-a"); });
  Experiment().run(
      "an entry host cut off for 15 s",
      [](NodeFleet &F) {
        F.Network = [](const std::string &From, const std::string &To,
                       const PeerMessage &) {
          return (From == "host-a") != (To == "host-a") ? Delivery{}
                                                        : Delivery{{1ms}};
        };
      },
      [](NodeFleet &F) {
        F.Network = [](const std::string &, const std::string &,
                       const PeerMessage &) { return Delivery{{1ms}}; };
      });
  Experiment().run(
      "a planned stop", [](NodeFleet &F) { F.stop("host-a"); }, nothing);
  Experiment().run(
      "a backend server dies",
      [](NodeFleet &F) { F.server("server-1").Mode = "break"; },
      [](NodeFleet &F) { F.server("server-1").Mode = ""; });
  Experiment().run(
      "a backend server drains",
      [](NodeFleet &F) { F.server("server-1").Mode = "draining"; },
      [](NodeFleet &F) { F.server("server-1").Mode = ""; });
  Experiment().run(
      "the platform down", [](NodeFleet &F) { F.PlatformUp = false; },
      [](NodeFleet &F) { F.PlatformUp = true; });
  return 0;
}
