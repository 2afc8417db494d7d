/// \file
/// Handlers of a Node for the messages of its peers.
#include "core/node.h"

namespace mimosacart {

void Node::onPeerMessage(Instant EventTime, const PeerMessage &Message) {
  Now = EventTime;
  if (Message.From == Self)
    return;
  SenderState &Sender = Senders[Message.From];
  if (Message.FromIncarnation < Sender.Incarnation) {
    ++DroppedMessages;
    return;
  }
  if (Message.FromIncarnation > Sender.Incarnation)
    Sender = {Message.FromIncarnation, {}, {}};
  if (!Sender.Window.accept(Message.Sequence)) {
    ++DroppedMessages;
    return;
  }
  MessageDelay = Sender.Delays.observe(Now, Message.SentAt);
  std::visit([this, &Message](const auto &Body) { handle(Message.From, Body); },
             Message.Body);
  LoadReports.flush(Now);
}

void Node::handle(const HostName &From, const Ping &Message) {
  Members.onPing(Now, From, Message);
  compareState(From, Message.StateDigest, Message.ConfigId);
}

void Node::handle(const HostName &From, const Ack &Message) {
  Members.onAck(Now, Message);
  // An ack that a helper forwards carries the state of the ping's target, not
  // that of the helper.
  if (From == Message.Self.Host)
    compareState(From, Message.StateDigest, Message.ConfigId);
}

void Node::handle(const HostName &From, const PingRequest &Message) {
  Members.onPingRequest(Now, From, Message);
}

void Node::handle(const HostName &From, const SoftState &Message) {
  for (const MemberRecord &Record : Message.Members)
    Members.merge(Now, Record, UpdateSource::Relayed);
  for (const DrainNotice &Notice : Message.Drains)
    if (Notices.mergeDrain(Now, Notice))
      applyDrain(Notice.Server);
  for (const CrashNotice &Notice : Message.Crashes)
    Notices.mergeCrash(Now, Notice);
  if (Message.ConfigId)
    fetchIfNewer(*Message.ConfigId, From);
}

void Node::handle(const HostName &From, const LoadReport &Message) {
  for (const ServiceLoad &Load : Message.Loads) {
    OwnerLoads.update(From, Load);
    RequestDispatcher.onLocalLoadChanged(Now, Load.Service);
  }
}

void Node::handle(const HostName &From, const ForwardedAttempt &Message) {
  // The origin has already stopped waiting and reported this to its caller,
  // because this host or the network was stalled for longer than the time that
  // the request had left. The attempt must not run any more.
  if (MessageDelay >= Message.Remaining) {
    ++DroppedMessages;
    AttemptResult Dropped;
    Dropped.End = AttemptEnd::NotRun;
    Dropped.Reason = RefusalReason::DeadlinePassed;
    ResultDelivery.deliver(
        Now, {Message.Origin, Message.OriginIncarnation, Message.Attempt},
        {Message.OriginIncarnation, Message.Attempt, Dropped, std::nullopt,
         false});
    return;
  }
  if (Message.Load)
    OwnerLoads.update(From, *Message.Load);
  ForwardedAttempt Adjusted = Message;
  Adjusted.Remaining -= MessageDelay;
  RequestDispatcher.onForwarded(Now, Adjusted,
                                findKind(Message.Service, Message.Kind));
}

void Node::handle(const HostName &From, const AttemptAnswer &Message) {
  if (Message.Load)
    OwnerLoads.update(From, *Message.Load);
  if (Message.NeedsAck)
    sendTo(From, AttemptAnswerAck{Message.OriginIncarnation, Message.Attempt});
  if (Message.OriginIncarnation == Incarnation)
    RequestDispatcher.onAttemptResult(Now, Message.Attempt, Message.Result);
}

void Node::handle(const HostName &From, const CancelForwarded &Message) {
  LocalScheduler.cancel(Now,
                        {From, Message.OriginIncarnation, Message.Attempt});
}

void Node::handle(const HostName &From, const WorkRequest &Message) {
  RequestDispatcher.onWorkRequest(Now, From, Message);
}

void Node::handle(const HostName &From, const ClaimCall &Message) {
  // A copy that arrives after its sender stopped waiting must not become the
  // first execution of the request.
  if (MessageDelay >= Message.Remaining) {
    ++DroppedMessages;
    return;
  }
  CallerRequests.onClaimCall(Now, From, Message);
}

void Node::handle(const HostName &From, const ClaimAnswer &Message) {
  CallerRequests.onClaimAnswer(Now, From, Message);
}

void Node::handle(const HostName &From, const Handover &Message) {
  Claims.adopt(Message);
  log("claims_adopted", {{"from", Message.From.value()},
                         {"claims", std::to_string(Message.Claims.size())}});
  sendTo(From, HandoverAck{Message.Incarnation});
}

void Node::handle(const HostName &From, const HandoverAck & /*Message*/) {
  if (HandoverTarget == From && PendingHandovers > 0)
    --PendingHandovers;
}

void Node::handle(const HostName &From, const ConfigurationRequest &Message) {
  if (CurrentConfig && CurrentConfig->Number == Message.ConfigId.Number &&
      CurrentConfig->Digest == Message.ConfigId.Digest)
    sendTo(From, ConfigurationBytes{Message.ConfigId, CurrentConfig->Bytes});
}

void Node::handle(const HostName & /*From*/,
                  const ConfigurationBytes & /*Message*/) {
  // The layer that owns the Node checks the digest, parses the bytes and calls
  // onConfiguration().
}

void Node::handle(const HostName &From, const CrashReport &Message) {
  Notices.mergeCrash(Now, Message.Notice);
  sendTo(From, CrashReportAck{Message.Notice.EventId});
}

void Node::handle(const HostName &From, const AttemptAnswerAck &Message) {
  ResultDelivery.onAck({From, Message.OriginIncarnation, Message.Attempt});
}

void Node::handle(const HostName &From, const CrashReportAck &Message) {
  CrashReports.onAck(From, Message.EventId);
}

} // namespace mimosacart
