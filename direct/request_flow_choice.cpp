/// \file
/// Server selection of RequestFlow: ranking and probes.
#include "direct/request_flow.h"

#include <algorithm>

namespace mimosacart {

/// Selects a server and sends it the request: a nominal one with fresh load at
/// once, else the best available one after up to MaxProbeRounds rounds of
/// probes. The request is held if no server is expected to meet the objective.
void RequestFlow::chooseServer(Instant Now, FlowState &Flow) {
  Flow.ChoosingServer = true;
  const auto [Servers, NextSendableAt, Block] = findCandidates(Now, Flow);
  if (Servers.empty()) {
    waitForServer(Now, Flow, NextSendableAt, Block);
    return;
  }
  const std::vector<RankedServer> RankedServers =
      Ranking.rank(Now, Servers, ServerLoads, findBaseline(Flow));
  const RankedServer &Best = RankedServers.front();
  if (Best.HasFreshLoad && Best.IsNominal) {
    sendInTurn(Now, Flow, Best);
    return;
  }
  const bool Waiting = !Flow.OpenProbes.empty() && Now < Flow.ChooseAgainAt;
  if (Waiting || sendProbes(Now, Flow, RankedServers)) {
    updateTimer(Flow);
    return;
  }
  if (!Flow.OpenCalls.empty()) {
    // A hedge on a server that is not nominal would only add load.
    recordHedgeRefusal(Flow, HedgeRefusal::ServersShort);
    Flow.ChoosingServer = false;
    updateTimer(Flow);
    return;
  }
  // A server without recent load may be slow; it is only selected if no
  // candidate has recent load.
  const bool AnyRecent = std::any_of(
      RankedServers.begin(), RankedServers.end(),
      [](const RankedServer &Server) { return Server.HasRecentLoad; });
  const RankedServer *Selected = findAvailable(Flow, RankedServers, AnyRecent);
  if (Selected != nullptr && meetsObjective(Now, Flow, *Selected))
    sendInTurn(Now, Flow, *Selected);
  else
    holdRequest(Now, Flow, findAvailable(Flow, RankedServers, false));
}

const RankedServer *
RequestFlow::findAvailable(const FlowState &Flow,
                           const std::vector<RankedServer> &RankedServers,
                           bool RecentOnly) {
  // Only the most urgent requests may take a slot that would saturate the
  // server.
  const bool Urgent = Flow.Request.isMostUrgent();
  const auto Found = std::find_if(
      RankedServers.begin(), RankedServers.end(),
      [Urgent, RecentOnly](const RankedServer &Server) {
        const bool HasCapacity =
            Urgent ? Server.HasFreeSlot : Server.HasHeadroom;
        return HasCapacity && (Server.HasRecentLoad || !RecentOnly);
      });
  return Found == RankedServers.end() ? nullptr : &*Found;
}

/// Returns the servers that the request has not been sent to. In the first
/// probe rounds, or until it is held if this host has few requests, these are
/// the ones that this host reuses; later, or if none are left, all usable ones.
RequestFlow::Candidates RequestFlow::findCandidates(Instant Now,
                                                    const FlowState &Flow) {
  const ServiceName &Service = Flow.Request.Service.Name;
  Candidates Result;
  const std::size_t Hosts = Callbacks.HostCount();
  const auto &Reused = Subset.reused(Now, Registry, Service, Hosts);
  // A host with few requests keeps to its reused servers until the request is
  // held; otherwise slow probes alone would make it open new connections.
  const bool IsReduced =
      Reused.size() < Subset.preferred(Registry, Service, Hosts).size();
  if (Flow.ProbeRounds < Policy.PreferredProbeRounds ||
      (IsReduced && !Flow.WasHeld))
    addSendable(Now, Flow, Reused, Result);
  if (Result.Servers.empty())
    addSendable(Now, Flow, Registry.usable(Service), Result);
  return Result;
}

void RequestFlow::addSendable(
    Instant Now, const FlowState &Flow,
    const std::vector<const DiscoveredServer *> &Usable, Candidates &Result) {
  for (const DiscoveredServer *Server : Usable) {
    if (Flow.TriedServers.contains(Server->Id))
      continue;
    const auto &Allowed = Flow.Request.DataCentres;
    if (Allowed && !Allowed->contains(Server->DataCentre)) {
      if (Result.Block == SendBlock::None)
        Result.Block = SendBlock::OutsideRegions;
      continue;
    }
    const Instant SendableAt = Constraints.sendableAt(Now, *Server);
    if (SendableAt <= Now) {
      Result.Servers.push_back(Server);
      continue;
    }
    Result.NextSendableAt = std::min(Result.NextSendableAt, SendableAt);
    if (Result.Block == SendBlock::None ||
        Result.Block == SendBlock::OutsideRegions)
      Result.Block = Constraints.findBlock(Now, *Server);
    if (Constraints.needsRefresh(Now, Server->Id) &&
        !Constraints.isQuiet(Now, Server->Id))
      findOrStartProbe(Flow.Request.Service, *Server);
  }
}

bool RequestFlow::meetsObjective(Instant Now, const FlowState &Flow,
                                 const RankedServer &Server) const {
  const HostRoute &Route = Flow.Request.Route;
  const Duration TimeLeft = Flow.Request.Arrived + Route.Objective - Now;
  const double Factor = Flow.Request.isMostUrgent() ? 1 : Policy.HeadroomFactor;
  return scaled(Server.ExpectedLatency, Factor) <= TimeLeft;
}

bool RequestFlow::sendProbes(Instant Now, FlowState &Flow,
                             const std::vector<RankedServer> &RankedServers) {
  if (Flow.ProbeRounds >= Policy.MaxProbeRounds)
    return false;
  std::size_t ProbesLeft =
      Flow.ProbeRounds == 0 ? Policy.FirstRoundProbes : Policy.LaterRoundProbes;
  bool Sent = false;
  for (const RankedServer &Candidate : RankedServers) {
    if (ProbesLeft == 0)
      break;
    if (Candidate.LoadAge < Policy.MinLoadAgeToProbe ||
        Flow.ProbedServers.contains(Candidate.Server->Id))
      continue;
    --ProbesLeft;
    Sent = true;
    Flow.ProbedServers.insert(Candidate.Server->Id);
    const CallId Id = findOrStartProbe(Flow.Request.Service, *Candidate.Server);
    Probes.at(Id).WaitingRequests.push_back(Flow.Request.Id);
    Flow.OpenProbes.insert(Id);
  }
  ++Flow.ProbeRounds;
  if (Sent)
    Flow.ChooseAgainAt = Now + Policy.ProbeRoundWait;
  return Sent;
}

CallId RequestFlow::findOrStartProbe(const ServiceSettings &Service,
                                     const DiscoveredServer &Server) {
  const auto Found = ProbesByServer.find(Server.Id);
  if (Found != ProbesByServer.end())
    return Found->second;
  const CallId Id = startProbe(Service.HealthPath, Server, false);
  ProbesByServer[Server.Id] = Id;
  return Id;
}

CallId RequestFlow::startProbe(const std::string &HealthPath,
                               const DiscoveredServer &Server,
                               bool NewConnection) {
  const CallId Id(++LastCall);
  Probes[Id] = {Server.Id, Server.Incarnation, {}};
  ++Counters.Probes;
  Callbacks.Probe({Id, Server, HealthPath, Policy.ProbeTimeout, NewConnection});
  return Id;
}

void RequestFlow::onProbeResult(Instant Now, CallId Id,
                                const ProbeResult &Result) {
  const auto Found = Probes.find(Id);
  if (Found == Probes.end())
    return;
  const OpenProbe Probe = std::move(Found->second);
  Probes.erase(Found);
  // ProbesByServer holds load probes only; this may be a probe for a crash.
  const auto Current = ProbesByServer.find(Probe.Server);
  if (Current != ProbesByServer.end() && Current->second == Id)
    ProbesByServer.erase(Current);
  const bool WrongServer = Result.Answered && !Result.Server.value().empty() &&
                           Result.Server != Probe.Server;
  if (!Result.Answered || WrongServer) {
    ServerLoads.recordFailure(
        Now, Probe.Server, WrongServer ? Policy.WrongServerFailureWeight : 1);
    Crashes.onSilent(Now, Probe.Server);
  } else {
    Crashes.onAnswered(Probe.Server);
    ServerLoads.recordLoad(Now, Probe.Server, Result.Load);
    ServerLoads.recordHealth(Probe.Server, Result.Healthy);
    recordWishes(Now, Probe.Server, Probe.Incarnation, Result.Wishes,
                 Result.Healthy);
  }
  for (const RequestId Waiter : Probe.WaitingRequests) {
    const auto FoundFlow = Flows.find(Waiter);
    if (FoundFlow == Flows.end())
      continue;
    FoundFlow->second.OpenProbes.erase(Id);
    if (FoundFlow->second.ChoosingServer)
      chooseServer(Now, FoundFlow->second);
  }
}

} // namespace mimosacart
