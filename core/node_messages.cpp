/// \file
/// What a Node does with each message of a peer.
#include "core/node.h"

namespace mimosacart {

void Node::onPeerMessage(Instant At, const PeerMessage &Message) {
  Now = At;
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
  Reporter.flush(Now);
}

void Node::handle(const HostName &From, const Ping &Message) {
  Members.onPing(Now, From, Message);
  compareState(From, Message.StateDigest, Message.ConfigId);
}

void Node::handle(const HostName &From, const Ack &Message) {
  Members.onAck(Now, Message);
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
    considerConfiguration(*Message.ConfigId, From);
}

void Node::handle(const HostName &From, const LoadReport &Message) {
  for (const ServiceLoad &Load : Message.Loads) {
    Loads.update(From, Load);
    Requests.onLocalLoadChanged(Now, Load.Service);
  }
}

void Node::handle(const HostName &From, const ForwardedAttempt &Message) {
  // Its origin has given up, and told its caller so: this host or the network
  // was stopped for longer than the request had.
  if (MessageDelay >= Message.Remaining) {
    ++DroppedMessages;
    AttemptResult Dropped;
    Dropped.End = AttemptEnd::NotRun;
    Dropped.Reason = RefusalReason::DeadlinePassed;
    Results.deliver(
        Now, {Message.Origin, Message.OriginIncarnation, Message.Attempt},
        {Message.OriginIncarnation, Message.Attempt, Dropped, std::nullopt,
         false});
    return;
  }
  if (Message.Load)
    Loads.update(From, *Message.Load);
  ForwardedAttempt Timely = Message;
  Timely.Remaining -= MessageDelay;
  Requests.onForwarded(Now, Timely, findKind(Message.Service, Message.Kind));
}

void Node::handle(const HostName &From, const AttemptAnswer &Message) {
  if (Message.Load)
    Loads.update(From, *Message.Load);
  if (Message.NeedsAck)
    sendTo(From, AttemptAnswerAck{Message.OriginIncarnation, Message.Attempt});
  if (Message.OriginIncarnation == Incarnation)
    Requests.onAttemptResult(Now, Message.Attempt, Message.Result);
}

void Node::handle(const HostName &From, const CancelForwarded &Message) {
  Local.cancel(Now, {From, Message.OriginIncarnation, Message.Attempt});
}

void Node::handle(const HostName &From, const WorkRequest &Message) {
  Requests.onWorkRequest(Now, From, Message);
}

void Node::handle(const HostName &From, const ClaimCall &Message) {
  // A copy that comes after its asker gave up must not be the first to run.
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
  if (HandoverTo == From && HandoversOpen > 0)
    --HandoversOpen;
}

void Node::handle(const HostName &From, const ConfigurationRequest &Message) {
  if (Current && Current->Number == Message.ConfigId.Number &&
      Current->Digest == Message.ConfigId.Digest)
    sendTo(From, ConfigurationBytes{Message.ConfigId, Current->Bytes});
}

void Node::handle(const HostName & /*From*/,
                  const ConfigurationBytes & /*Message*/) {
  // The layer round the core checks the digest, parses the bytes and comes
  // back with onConfiguration().
}

void Node::handle(const HostName &From, const CrashReport &Message) {
  Notices.mergeCrash(Now, Message.Notice);
  sendTo(From, CrashReportAck{Message.Notice.EventId});
}

void Node::handle(const HostName &From, const AttemptAnswerAck &Message) {
  Results.onAck({From, Message.OriginIncarnation, Message.Attempt});
}

void Node::handle(const HostName &From, const CrashReportAck &Message) {
  Crashes.onAck(From, Message.EventId);
}

} // namespace mimosacart
