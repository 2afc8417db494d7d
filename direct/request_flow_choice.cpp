/// \file
/// How RequestFlow finds a server: rankings, probes, holding, hedges.
#include "direct/request_flow.h"

#include <algorithm>

namespace mimosacart {

/// Looks for a server: one with fresh and good figures at once, else the best
/// after some rounds of probes.
void RequestFlow::choose(Instant Now, Flow &Of) {
  Of.Choosing = true;
  const std::vector<const DiscoveredServer *> Candidates = candidates(Of);
  if (Candidates.empty()) {
    Of.Choosing = false;
    if (Of.OpenCalls.empty())
      endWithoutAnswer(Now, Of, RefusalReason::NoServer);
    return;
  }
  const std::vector<RankedServer> Ranked =
      Ranking.rank(Now, Candidates, ServerLoads, baselineOf(Of));
  const RankedServer &Best = Ranked.front();
  if (Best.Fresh && Best.Good) {
    send(Now, Of, Best);
    return;
  }
  const bool Waiting = !Of.OpenProbes.empty() && Now < Of.ChooseAt;
  if (Waiting || sendProbes(Now, Of, Ranked)) {
    setWake(Of);
    return;
  }
  if (!Of.OpenCalls.empty()) {
    // A repeat on a server that is no better would only add to the load.
    Of.Choosing = false;
    setWake(Of);
    return;
  }
  // A server that is not known may be slow; it is only taken if no other is.
  const bool SomeKnown =
      std::any_of(Ranked.begin(), Ranked.end(),
                  [](const RankedServer &Each) { return Each.Recent; });
  const RankedServer *Known = findFree(Of, Ranked, SomeKnown);
  if (Known != nullptr && fitsObjective(Now, Of, *Known))
    send(Now, Of, *Known);
  else
    hold(Now, Of, findFree(Of, Ranked, false));
}

const RankedServer *
RequestFlow::findFree(const Flow &Of, const std::vector<RankedServer> &Ranked,
                      bool RecentOnly) {
  // The most urgent requests may use what others leave free.
  const bool Urgent = Of.Request.Route.isMostUrgent();
  const auto Found =
      std::find_if(Ranked.begin(), Ranked.end(),
                   [Urgent, RecentOnly](const RankedServer &Each) {
                     const bool Free = Urgent ? Each.Idle : Each.HasHeadroom;
                     return Free && (Each.Recent || !RecentOnly);
                   });
  return Found == Ranked.end() ? nullptr : &*Found;
}

/// Servers that this request was not sent to: the preferred ones at first, then
/// all of the service.
std::vector<const DiscoveredServer *> RequestFlow::candidates(const Flow &Of) {
  const ServiceName &Service = Of.Request.Service.Name;
  const auto Untried =
      [&Of](const std::vector<const DiscoveredServer *> &From) {
        std::vector<const DiscoveredServer *> Result = From;
        std::erase_if(Result, [&Of](const DiscoveredServer *Server) {
          return Of.Tried.contains(Server->Id);
        });
        return Result;
      };
  if (Of.ProbeRounds < Policy.PreferredRounds) {
    auto Result =
        Untried(Subset.preferred(Registry, Service, Callbacks.HostCount()));
    if (!Result.empty())
      return Result;
  }
  return Untried(Registry.usable(Service));
}

bool RequestFlow::fitsObjective(Instant Now, const Flow &Of,
                                const RankedServer &Server) const {
  const HostRoute &Route = Of.Request.Route;
  const Duration Left = Of.Request.Arrived + Route.Objective - Now;
  const double Factor = Route.isMostUrgent() ? 1 : Policy.HeadroomFactor;
  return scaled(Server.Expected, Factor) <= Left;
}

bool RequestFlow::sendProbes(Instant Now, Flow &Of,
                             const std::vector<RankedServer> &Ranked) {
  if (Of.ProbeRounds >= Policy.ProbeRounds)
    return false;
  std::size_t Wanted =
      Of.ProbeRounds == 0 ? Policy.FirstProbes : Policy.FurtherProbes;
  bool Sent = false;
  for (const RankedServer &Each : Ranked) {
    if (Wanted == 0)
      break;
    if (Each.LoadAge < Policy.ProbeAgainAfter ||
        Of.Probed.contains(Each.Server->Id))
      continue;
    --Wanted;
    Sent = true;
    Of.Probed.insert(Each.Server->Id);
    const CallId Id = probe(Of.Request.Service, *Each.Server);
    Probes.at(Id).Waiters.push_back(Of.Request.Id);
    Of.OpenProbes.insert(Id);
  }
  ++Of.ProbeRounds;
  if (Sent)
    Of.ChooseAt = Now + Policy.ProbeWait;
  return Sent;
}

CallId RequestFlow::probe(const ServiceSettings &Service,
                          const DiscoveredServer &Server) {
  const auto Found = ProbesByServer.find(Server.Id);
  if (Found != ProbesByServer.end())
    return Found->second;
  const CallId Id = startProbe(Service, Server, 0);
  ProbesByServer[Server.Id] = Id;
  return Id;
}

CallId RequestFlow::startProbe(const ServiceSettings &Service,
                               const DiscoveredServer &Server,
                               std::uint64_t Fingerprint) {
  const CallId Id(++LastCall);
  Probes[Id] = {Server.Id, Fingerprint, {}};
  ++Counters.Probes;
  Callbacks.Probe({Id, Server, Service.HealthPath, Policy.ProbeTimeout});
  return Id;
}

void RequestFlow::hold(Instant Now, Flow &Of, const RankedServer *Free) {
  const Instant HoldUntil =
      Of.Request.Arrived + scaled(Of.Request.Route.Objective, Policy.HoldShare);
  if (Now < HoldUntil) {
    if (!Of.Held) {
      ++Counters.Held;
      log("held", Of,
          {{"best", Free ? Free->Server->Id.value() : "all_full"},
           {"expected_ms", Free ? toMsText(Free->Expected) : "none"},
           {"figures_age_ms", Free && Free->LoadAge < Policy.ProbeTimeout
                                  ? toMsText(Free->LoadAge)
                                  : "none"},
           {"asked", std::to_string(Of.Probed.size())},
           {"until_ms", toMsText(HoldUntil - Of.Request.Arrived)}});
      Of.Held = true;
    }
    Of.Probed.clear();
    Of.ProbeRounds = Policy.ProbeRounds - 1;
    Of.ChooseAt = Now + Policy.HoldInterval;
    setWake(Of);
    return;
  }
  // A late answer is still worth something to the caller.
  if (Free != nullptr && Now + Free->Expected < Of.Request.Deadline) {
    send(Now, Of, *Free);
    return;
  }
  Of.Choosing = false;
  endWithoutAnswer(Now, Of, RefusalReason::Overloaded);
}

void RequestFlow::scheduleHedge(Instant Now, Flow &Of) {
  const HostRoute &Route = Of.Request.Route;
  Of.HedgeAt = Instant::max();
  if (!Route.Idempotent || Of.Hedged || Of.Arrivals >= Route.MaxAttempts)
    return;
  const Duration Baseline = baselineOf(Of);
  const Instant Latest = Of.Request.Arrived + Route.Objective -
                         scaled(Baseline, Policy.HedgeHeadroomFactor);
  const Instant Regular = Now + scaled(Baseline, Policy.HedgeFactor);
  const Instant Earliest = Now + scaled(Baseline, Policy.HedgeLeastFactor);
  Of.HedgeAt = std::max(Earliest, std::min(Latest, Regular));
}

void RequestFlow::startHedge(Instant Now, Flow &Of) {
  Of.HedgeAt = Instant::max();
  Of.Hedged = true;
  RetryBudget &Budget = budgetOf(Of.Request.Service.Name);
  if (Budget.left(Now, Callbacks.HostCount(), Policy.HedgePart) < 1) {
    setWake(Of);
    return;
  }
  ++Counters.Hedges;
  Of.ProbeRounds = 0;
  Of.Probed.clear();
  choose(Now, Of);
}

void RequestFlow::onProbeResult(Instant Now, CallId Id,
                                const ProbeResult &Result) {
  const auto Found = Probes.find(Id);
  if (Found == Probes.end())
    return;
  const OpenProbe Probe = std::move(Found->second);
  Probes.erase(Found);
  const auto Current = ProbesByServer.find(Probe.Server);
  if (Current != ProbesByServer.end() && Current->second == Id)
    ProbesByServer.erase(Current);
  const bool Other = Result.Answered && !Result.Server.value().empty() &&
                     Result.Server != Probe.Server;
  if (!Result.Answered || Other) {
    ServerLoads.recordFailure(Now, Probe.Server,
                              Other ? Policy.WrongServerWeight : 1);
  } else {
    ServerLoads.recordLoad(Now, Probe.Server, Result.Load);
    ServerLoads.recordHealth(Probe.Server, Result.Healthy);
  }
  if (Probe.Fingerprint != 0 && !Result.Answered)
    Callbacks.CrashSeen(Now, Probe.Fingerprint, Probe.Server);
  for (const RequestId Waiter : Probe.Waiters) {
    const auto Owner = Flows.find(Waiter);
    if (Owner == Flows.end())
      continue;
    Owner->second.OpenProbes.erase(Id);
    if (Owner->second.Choosing)
      choose(Now, Owner->second);
  }
}

} // namespace mimosacart
