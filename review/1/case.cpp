/// \file
/// Faulty targets spoil some of their answers: the chunked body ends with a
/// long trailer field. The rule is broken if more than three requests that
/// sound targets run on kept connections end without an answer.
///
/// case PROGRAM FOLDER RECORD
#include "../standins/callers.h"

#include <cstdio>
#include <set>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr unsigned HostCount = 5;
constexpr unsigned LookupTargets = 14;
constexpr unsigned OrderTargets = 12;
/// Targets that are faulty, a third of those of the lookups.
constexpr unsigned FaultyTargets = 4;
/// The targets are faulty for this time, and spoil one of their answers in it.
constexpr auto FaultLength = 5s;
/// Time between two such times.
constexpr auto SoundLength = 3s;
constexpr unsigned FaultCount = 10;
/// More losses than this break the rule.
constexpr unsigned AllowedLosses = 3;

/// Waits; starts processes that end by themselves again. Returns how many did.
unsigned watch(Fleet &Servers, Record &Lines, std::chrono::milliseconds Time) {
  unsigned Ends = 0;
  const auto Until = std::chrono::steady_clock::now() + Time;
  while (std::chrono::steady_clock::now() < Until) {
    std::this_thread::sleep_for(300ms);
    Ends += restartEnded(Servers, Lines);
  }
  return Ends;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 4)
    return 2;
  Record Lines(Argv[3]);
  Fleet Servers(Argv[1], Argv[2], Lines);
  for (unsigned Index = 0; Index < LookupTargets; ++Index)
    Servers.addTarget("registro", 2, 140ms);
  for (unsigned Index = 0; Index < OrderTargets; ++Index)
    Servers.addTarget("ordenes", 2, 110ms);
  Servers.configure({{"vent-lookup", "/lobo330/", true, "registro", 1000},
                     {"order-close", "/cu51/", false, "ordenes", 800}});
  if (!Servers.startHosts(HostCount))
    return 2;
  std::this_thread::sleep_for(4s);
  unsigned Ends = 0;
  std::vector<Cut> Cuts;
  std::string Summary;
  {
    Directory Addresses(Servers);
    std::this_thread::sleep_for(200ms);
    Callers Lookups({"look", "GET", "/lobo330/", 48, 1000ms, 1400ms, 0},
                    Addresses, Lines);
    Callers Orders({"close", "DELETE", "/cu51/", 30, 1000ms, 1400ms, 0, 1500},
                   Addresses, Lines);
    Ends += watch(Servers, Lines, 2s);
    for (unsigned Fault = 0; Fault < FaultCount; ++Fault) {
      if (isTroubled())
        Servers.Targets[Fault % FaultyTargets]->spoil(1);
      Ends += watch(Servers, Lines, FaultLength + SoundLength);
    }
    Lookups.stop();
    Orders.stop();
    Cuts = Lookups.cuts();
    const std::vector<Cut> OrderCuts = Orders.cuts();
    Cuts.insert(Cuts.end(), OrderCuts.begin(), OrderCuts.end());
    Summary = "lookups=" + std::to_string(Lookups.sent()) +
              " orders=" + std::to_string(Orders.sent()) + " answered=" +
              std::to_string(Lookups.succeeded() + Orders.succeeded()) +
              " closed_without_answer=" + std::to_string(Cuts.size()) +
              " processes_ended=" + std::to_string(Ends);
  }
  // Requests that only sound targets ran.
  std::set<std::string> AtFaulty;
  for (const Run &Each : Servers.runs())
    for (unsigned Index = 0; Index < FaultyTargets; ++Index)
      if (Servers.Targets[Index]->settings().Id == Each.Target)
        AtFaulty.insert(Each.RequestId);
  unsigned Lost = 0;
  for (const Cut &Each : selectRun(Servers, Cuts)) {
    if (!Each.Kept || AtFaulty.count(Each.RequestId) > 0)
      continue;
    ++Lost;
    Lines.line(describe(Each));
  }
  Summary += " lost_at_sound_targets=" + std::to_string(Lost);
  Lines.line(Summary);
  std::puts(Summary.c_str());
  return Lost > AllowedLosses ? 1 : 0;
}
