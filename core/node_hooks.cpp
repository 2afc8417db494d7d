/// \file
/// The hooks through which the modules of a Node call each other.
#include "core/node.h"

namespace mimosacart {

Membership::Hooks Node::membershipHooks() {
  Membership::Hooks Callbacks;
  Callbacks.Send = [this](const std::string &Address, PeerBody Body) {
    sendToAddress(Address, std::move(Body));
  };
  Callbacks.Changed = [this](const MemberRecord &Record, UpdateSource Source) {
    onMemberChanged(Record, Source);
  };
  Callbacks.Extras = [this] {
    return PingExtras{stateDigest(), currentConfigId(), {}};
  };
  return Callbacks;
}

Scheduler::Hooks Node::schedulerHooks() {
  Scheduler::Hooks Callbacks;
  Callbacks.Start = [this](ServerCall Call) {
    addAction(CallServer{std::move(Call)});
  };
  Callbacks.Cancel = [this](CallId Id) { addAction(CancelCall{Id}); };
  Callbacks.Finished = [this](const WorkItem &Item,
                              const AttemptResult &Result) {
    if (!CrashReports.hold(Item, Result))
      routeResult(Item, Result);
  };
  Callbacks.LoadChanged = [this](const ServiceName &Service) {
    LoadReports.touch(Service);
    RequestDispatcher.onLocalLoadChanged(Now, Service);
  };
  Callbacks.DrainSeen = [this](const ServerName &Server) {
    updateDrainState(Server, true);
  };
  Callbacks.CrashSeen = [this](const WorkItem &Item, const ServerName &Server) {
    reportCrash(Item, Server);
  };
  Callbacks.HasAlternative = [this](const ServiceName &Service) {
    return OwnerLoads.hasUsable(Service, Self);
  };
  return Callbacks;
}

void Node::routeResult(const WorkItem &Item, const AttemptResult &Result) {
  if (Item.Origin == Self && Item.OriginIncarnation == Incarnation) {
    RequestDispatcher.onAttemptResult(Now, Item.Attempt, Result);
    return;
  }
  AttemptAnswer Message{Item.OriginIncarnation, Item.Attempt, Result,
                        LocalScheduler.load(Now, Item.Service), false};
  if (Item.Kind.Idempotent) {
    sendTo(Item.Origin, std::move(Message));
    return;
  }
  ResultDelivery.deliver(Now, keyOf(Item), std::move(Message));
}

void Node::reportCrash(const WorkItem &Item, const ServerName &Server) {
  const std::uint64_t Fingerprint =
      fingerprintOf(Item.Service.value(), Item.Kind.Name, Item.Request->Target,
                    Item.Request->Body.bytes());
  // Unique because an incarnation never reuses a sequence number.
  const CrashNotice Notice = Notices.addCrash(
      Now, Fingerprint, Server, Incarnation.value() + ++LastSequence);
  log("server_connection_broke", {{"server", Server.value()},
                                  {"kind", Item.Kind.Name},
                                  {"trace", Item.Request->TraceId}});
  std::vector<HostName> Peers;
  for (const MemberRecord &Peer : Members.reachablePeers())
    Peers.push_back(Peer.Host);
  CrashReports.report(Now, keyOf(Item), Notice, Peers);
}

CrashReporter::Hooks Node::crashReporterHooks() {
  CrashReporter::Hooks Callbacks;
  Callbacks.Send = [this](const HostName &To, PeerBody Body) {
    sendTo(To, std::move(Body));
  };
  Callbacks.Release = [this](const WorkItem &Item,
                             const AttemptResult &Result) {
    routeResult(Item, Result);
  };
  return Callbacks;
}

Dispatcher::Hooks Node::dispatcherHooks() {
  Dispatcher::Hooks Callbacks;
  Callbacks.Send = [this](const HostName &To, PeerBody Body) {
    sendTo(To, std::move(Body));
  };
  Callbacks.Finished = [this](const DispatchRequest &Request,
                              const DispatchResult &Result) {
    CallerRequests.onDispatched(Now, Request, Result);
  };
  Callbacks.CrashCount = [this](std::uint64_t Fingerprint) {
    return Notices.crashCount(Now, Fingerprint);
  };
  Callbacks.Placed = [this](const DispatchRequest &Request, AttemptId Id,
                            const HostName &Host) {
    addAction(RecordSpan{
        {Request.Request->TraceId,
         "place",
         Now,
         Now,
         {{"attempt", std::to_string(Id.value())}, {"at", Host.value()}}}});
  };
  Callbacks.Ended = [this](const DispatchRequest &Request, AttemptId Id,
                           const AttemptResult &Result) {
    const char *End = Result.End == AttemptEnd::Answered ? "answered"
                      : Result.End == AttemptEnd::NotRun ? "not-run"
                                                         : "failed";
    addAction(RecordSpan{{Request.Request->TraceId,
                          "attempt",
                          Now - Result.ServiceTime,
                          Now,
                          {{"attempt", std::to_string(Id.value())},
                           {"server", Result.Server.value()},
                           {"end", End},
                           {"reason", toString(Result.Reason)}}}});
  };
  return Callbacks;
}

CallerRequestHandler::Hooks Node::callerRequestHooks() {
  CallerRequestHandler::Hooks Callbacks;
  Callbacks.Reply = [this](CallerReply Reply) {
    addAction(ReplyToCaller{std::move(Reply)});
  };
  Callbacks.Send = [this](const HostName &To, PeerBody Body) {
    sendTo(To, std::move(Body));
  };
  Callbacks.Dispatch = [this](Instant CallTime, DispatchRequest Request) {
    RequestDispatcher.start(CallTime, std::move(Request));
  };
  Callbacks.Abandon = [this](Instant CallTime, RequestId Id) {
    RequestDispatcher.abandon(CallTime, Id);
  };
  Callbacks.ReadJournal = [this](RequestId Id, const IssuerToken &Token,
                                 const std::string &Key) {
    addAction(ReadJournal{Id, Token, Key});
  };
  Callbacks.Trace = [this](Span Value) {
    addAction(RecordSpan{std::move(Value)});
  };
  return Callbacks;
}

LoadReporter::Hooks Node::loadReporterHooks() {
  LoadReporter::Hooks Callbacks;
  Callbacks.Load = [this](const ServiceName &Service) {
    return LocalScheduler.load(Now, Service);
  };
  Callbacks.Recipients = [this](const ServiceName &Service) {
    return OwnerLoads.coOwners(Service, Self);
  };
  Callbacks.Send = [this](const HostName &To, PeerBody Body) {
    sendTo(To, std::move(Body));
  };
  return Callbacks;
}

} // namespace mimosacart
