/// \file
/// Counts the outcomes that callers receive for requests that may run at most
/// once, for each kind of failure: the cost of at-most-once execution.
///
/// Five hosts and six servers in virtual time, 200 bookings a second for 10 s,
/// one failure at 5 s. A caller with an uncertain outcome resends the request
/// every second, up to twenty times, to a random running host.
#include "tests/support/node_fleet.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <functional>
#include <map>

DEFINE_uint64(seed, 1, "seed of the choice of hosts");

namespace {

using namespace mimosacart;
using namespace std::chrono_literals;

const std::vector<std::string> HostNames = {"host-a", "host-b", "host-c",
                                            "host-d", "host-e"};

/// A request, with the indexes by which NodeFleet::sent() returns its sends.
struct Booking {
  TestRequest Request;
  /// The latest send.
  std::size_t LastRequest = 0;
  /// Outcome before any resend.
  std::string FirstOutcome;
  /// The repeat at the end of the experiment.
  std::size_t RepeatRequest = 0;
};

/// Runs one failure scenario and prints a table row with its results.
class Experiment {
public:
  Experiment() : Random(FLAGS_seed), Fleet(makeTestConfiguration(6, 2)) {
    for (std::size_t Index = 0; Index < HostNames.size(); ++Index)
      Fleet.addHost(HostNames[Index], fmt::format("dc-{}", "abc"[Index % 3]));
    for (unsigned Index = 1; Index <= 6; ++Index)
      Fleet.server(fmt::format("server-{}", Index)).ServiceTime =
          [](const CallerRequest &) { return Duration(50ms); };
    Fleet.run(3s);
  }

  void run(const std::string &FailureName,
           const std::function<void(NodeFleet &)> &InjectFailure,
           const std::function<void(NodeFleet &)> &EndFailure) {
    for (unsigned Step = 0; Step < 2000; ++Step) {
      if (Step == 1000)
        InjectFailure(Fleet);
      send();
      Fleet.run(5ms);
    }
    Fleet.run(5s);
    for (Booking &Item : Bookings)
      Item.FirstOutcome = Fleet.outcome(Item.LastRequest);
    for (unsigned Round = 0; Round < 20; ++Round) {
      if (Round == 5)
        EndFailure(Fleet);
      resendUncertain();
      Fleet.run(1s);
    }
    Fleet.run(5s);
    // Every caller repeats its request, as one does that lost its state.
    for (Booking &Item : Bookings)
      Item.RepeatRequest = Fleet.send(pickRunningHost(), Item.Request);
    Fleet.run(10s);
    report(FailureName);
  }

private:
  std::string pickRunningHost() {
    for (;;) {
      const std::string &Name =
          HostNames[std::uniform_int_distribution<std::size_t>(
              0, HostNames.size() - 1)(Random)];
      if (Fleet.isRunning(Name))
        return Name;
    }
  }

  void send() {
    const std::string Host = pickRunningHost();
    const std::string Token = Fleet.token(Host);
    if (Token.empty())
      return;
    const std::string Id = std::to_string(Bookings.size());
    Booking NewBooking{
        {"POST", "/book/" + Id, "", "key-" + Id, Token}, 0, "", 0};
    NewBooking.LastRequest = Fleet.send(Host, NewBooking.Request);
    Bookings.push_back(std::move(NewBooking));
  }

  bool isCertain(const Booking &Item) const {
    const std::string Outcome = Fleet.outcome(Item.LastRequest);
    return Outcome == "answered" || Outcome == "not-run" || Outcome == "ran";
  }

  void resendUncertain() {
    for (Booking &Item : Bookings)
      if (!isCertain(Item))
        Item.LastRequest = Fleet.send(pickRunningHost(), Item.Request);
  }

  void report(const std::string &FailureName) {
    std::map<std::string, unsigned> FirstOutcomes;
    std::map<std::string, unsigned> LastOutcomes;
    unsigned UnknownOnRepeat = 0;
    unsigned RunRepeatedly = 0;
    unsigned FalseNotRun = 0;
    for (const Booking &Item : Bookings) {
      const std::string Outcome = Fleet.outcome(Item.LastRequest);
      const std::size_t Executions = Fleet.executionsOf(Item.Request.Key);
      ++FirstOutcomes[Item.FirstOutcome];
      ++LastOutcomes[Outcome];
      UnknownOnRepeat += Fleet.outcome(Item.RepeatRequest) == "unknown" ? 1 : 0;
      RunRepeatedly += Executions > 1 ? 1 : 0;
      FalseNotRun += Outcome == "not-run" && Executions > 0 ? 1 : 0;
    }
    fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n",
               FailureName, Bookings.size(), FirstOutcomes["answered"],
               FirstOutcomes["unknown"] + FirstOutcomes["none"] +
                   FirstOutcomes["in-progress"],
               LastOutcomes["answered"], LastOutcomes["not-run"],
               LastOutcomes["unknown"] + LastOutcomes["in-progress"] +
                   LastOutcomes["none"],
               UnknownOnRepeat, RunRepeatedly, FalseNotRun);
    std::fflush(stdout);
  }

  std::mt19937_64 Random;
  NodeFleet Fleet;
  std::vector<Booking> Bookings;
};

void doNothing(NodeFleet & /*Fleet*/) {}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  fmt::print("| failure | sent | answered at first | uncertain at first | "
             "answered at the end | not-run at the end | uncertain at the "
             "end | unknown on repeat | run more than once | false "
             "not-run |\n|---|---|---|---|---|---|---|---|---|---|\n");
  Experiment().run("none", doNothing, doNothing);
  Experiment().run(
      "an entry host killed", [](NodeFleet &Fleet) { Fleet.kill("host-a"); },
      doNothing);
  Experiment().run(
      "an entry host killed, platform down",
      [](NodeFleet &Fleet) {
        Fleet.PlatformUp = false;
        Fleet.kill("host-a");
      },
      doNothing);
  Experiment().run(
      "an entry host killed and restarted",
      [](NodeFleet &Fleet) { Fleet.kill("host-a"); },
      [](NodeFleet &Fleet) { Fleet.restart("host-a"); });
  Experiment().run(
      "two entry hosts killed",
      [](NodeFleet &Fleet) {
        Fleet.kill("host-a");
        Fleet.kill("host-b");
      },
      doNothing);
  Experiment().run(
      "an entry host frozen for 15 s",
      [](NodeFleet &Fleet) { Fleet.freeze("host-a"); },
      [](NodeFleet &Fleet) { Fleet.thaw("host-a"); });
  Experiment().run(
      "an entry host cut off for 15 s",
      [](NodeFleet &Fleet) {
        Fleet.Network = [](const std::string &From, const std::string &To,
                           const PeerMessage &) {
          return (From == "host-a") != (To == "host-a") ? Delivery{}
                                                        : Delivery{{1ms}};
        };
      },
      [](NodeFleet &Fleet) {
        Fleet.Network = [](const std::string &, const std::string &,
                           const PeerMessage &) { return Delivery{{1ms}}; };
      });
  Experiment().run(
      "a planned stop", [](NodeFleet &Fleet) { Fleet.stop("host-a"); },
      doNothing);
  Experiment().run(
      "a backend server dies",
      [](NodeFleet &Fleet) { Fleet.server("server-1").Mode = "break"; },
      [](NodeFleet &Fleet) { Fleet.server("server-1").Mode = ""; });
  Experiment().run(
      "a backend server drains",
      [](NodeFleet &Fleet) { Fleet.server("server-1").Mode = "draining"; },
      [](NodeFleet &Fleet) { Fleet.server("server-1").Mode = ""; });
  Experiment().run(
      "the platform down", [](NodeFleet &Fleet) { Fleet.PlatformUp = false; },
      [](NodeFleet &Fleet) { Fleet.PlatformUp = true; });
  return 0;
}
