/// \file
/// How the modules of a Node call each other: the hooks that join them.
#include "core/node.h"

namespace mimosacart {

Membership::Hooks Node::membershipHooks() {
  Membership::Hooks Hooks;
  Hooks.Send = [this](const std::string &Address, PeerBody Body) {
    sendToAddress(Address, std::move(Body));
  };
  Hooks.Changed = [this](const MemberRecord &Record, UpdateSource Source) {
    onMemberChanged(Record, Source);
  };
  Hooks.Extras = [this] {
    return PingExtras{stateDigest(), currentConfigId(), {}};
  };
  return Hooks;
}

Scheduler::Hooks Node::schedulerHooks() {
  Scheduler::Hooks Hooks;
  Hooks.Start = [this](ServerCall Call) { act(CallServer{std::move(Call)}); };
  Hooks.Cancel = [this](CallId Id) { act(CancelCall{Id}); };
  Hooks.Finished = [this](const WorkItem &Item, const AttemptResult &Result) {
    if (!Crashes.hold(Item, Result))
      routeResult(Item, Result);
  };
  Hooks.LoadChanged = [this](const ServiceName &Service) {
    Reporter.touch(Service);
    Requests.onLocalLoadChanged(Now, Service);
  };
  Hooks.DrainSeen = [this](const ServerName &Server) {
    markDrain(Server, true);
  };
  Hooks.CrashSeen = [this](const WorkItem &Item, const ServerName &Server) {
    reportCrash(Item, Server);
  };
  Hooks.HasAlternative = [this](const ServiceName &Service) {
    return Loads.hasUsable(Service, Self);
  };
  return Hooks;
}

void Node::routeResult(const WorkItem &Item, const AttemptResult &Result) {
  if (Item.Origin == Self && Item.OriginIncarnation == Incarnation) {
    Requests.onAttemptResult(Now, Item.Attempt, Result);
    return;
  }
  AttemptAnswer Message{Item.OriginIncarnation, Item.Attempt, Result,
                        Local.load(Now, Item.Service), false};
  if (Item.Kind.Idempotent) {
    sendTo(Item.Origin, std::move(Message));
    return;
  }
  Results.deliver(Now, keyOf(Item), std::move(Message));
}

void Node::reportCrash(const WorkItem &Item, const ServerName &Server) {
  const std::uint64_t Fingerprint =
      fingerprintOf(Item.Service.value(), Item.Kind.Name, Item.Request->Target,
                    Item.Request->Body);
  // Sequence numbers are never used twice by one incarnation.
  const CrashNotice Notice = Notices.addCrash(
      Now, Fingerprint, Server, Incarnation.value() + ++LastSequence);
  log("server_connection_broke", {{"server", Server.value()},
                                  {"kind", Item.Kind.Name},
                                  {"trace", Item.Request->TraceId}});
  std::vector<HostName> Peers;
  for (const MemberRecord &Peer : Members.reachablePeers())
    Peers.push_back(Peer.Host);
  Crashes.report(Now, keyOf(Item), Notice, Peers);
}

CrashReporter::Hooks Node::crashHooks() {
  CrashReporter::Hooks Hooks;
  Hooks.Send = [this](const HostName &To, PeerBody Body) {
    sendTo(To, std::move(Body));
  };
  Hooks.Release = [this](const WorkItem &Item, const AttemptResult &Result) {
    routeResult(Item, Result);
  };
  return Hooks;
}

Dispatcher::Hooks Node::dispatcherHooks() {
  Dispatcher::Hooks Hooks;
  Hooks.Send = [this](const HostName &To, PeerBody Body) {
    sendTo(To, std::move(Body));
  };
  Hooks.Finished = [this](const DispatchRequest &Request,
                          const DispatchResult &Result) {
    CallerRequests.onDispatched(Now, Request, Result);
  };
  Hooks.CrashCount = [this](std::uint64_t Fingerprint) {
    return Notices.crashCount(Now, Fingerprint);
  };
  Hooks.Placed = [this](const DispatchRequest &Request, AttemptId Id,
                        const HostName &Host) {
    act(RecordSpan{
        {Request.Request->TraceId,
         "place",
         Now,
         Now,
         {{"attempt", std::to_string(Id.value())}, {"at", Host.value()}}}});
  };
  Hooks.Ended = [this](const DispatchRequest &Request, AttemptId Id,
                       const AttemptResult &Result) {
    const char *End = Result.End == AttemptEnd::Answered ? "answered"
                      : Result.End == AttemptEnd::NotRun ? "not-run"
                                                         : "failed";
    act(RecordSpan{{Request.Request->TraceId,
                    "attempt",
                    Now - Result.ServiceTime,
                    Now,
                    {{"attempt", std::to_string(Id.value())},
                     {"server", Result.Server.value()},
                     {"end", End},
                     {"reason", toString(Result.Reason)}}}});
  };
  return Hooks;
}

CallerRequestHandler::Hooks Node::callerRequestHooks() {
  CallerRequestHandler::Hooks Hooks;
  Hooks.Reply = [this](CallerReply Reply) {
    act(ReplyToCaller{std::move(Reply)});
  };
  Hooks.Send = [this](const HostName &To, PeerBody Body) {
    sendTo(To, std::move(Body));
  };
  Hooks.Dispatch = [this](Instant At, DispatchRequest Request) {
    Requests.start(At, std::move(Request));
  };
  Hooks.Abandon = [this](Instant At, RequestId Id) {
    Requests.abandon(At, Id);
  };
  Hooks.ReadJournal = [this](RequestId Id, const IssuerToken &Token,
                             const std::string &Key) {
    act(ReadJournal{Id, Token, Key});
  };
  Hooks.Trace = [this](Span Value) { act(RecordSpan{std::move(Value)}); };
  return Hooks;
}

LoadReporter::Hooks Node::reporterHooks() {
  LoadReporter::Hooks Hooks;
  Hooks.Load = [this](const ServiceName &Service) {
    return Local.load(Now, Service);
  };
  Hooks.Recipients = [this](const ServiceName &Service) {
    return Loads.coOwners(Service, Self);
  };
  Hooks.Send = [this](const HostName &To, PeerBody Body) {
    sendTo(To, std::move(Body));
  };
  return Hooks;
}

} // namespace mimosacart
