#include "core/caller_request_handler.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Deadline of requests that match no route.
constexpr Duration DefaultTimeout = std::chrono::seconds(5);
/// Longest timeout that a caller may request.
constexpr Duration MaxTimeout = std::chrono::minutes(5);
/// First id of requests forwarded by peers. Keeps them apart from the ids that
/// the host process assigns to its own callers' requests.
constexpr std::uint64_t PeerRequestBase = std::uint64_t(1) << 63U;
/// Longest chain of successors that is followed to find handed-over claims.
constexpr unsigned MaxSuccessors = 8;
/// Retry-After of refusals whose cause is expected to pass soon: no
/// configuration yet, or a claim that is still running.
constexpr Duration ShortRetryAfter = std::chrono::seconds(1);

} // namespace

CallerRequestHandler::CallerRequestHandler(HostName Self,
                                           IncarnationId Incarnation,
                                           ClaimTable &Claims,
                                           const Membership &Members,
                                           Hooks Callbacks)
    : Self(std::move(Self)), Incarnation(Incarnation), Claims(Claims),
      Members(Members), Callbacks(std::move(Callbacks)) {}

void CallerRequestHandler::setConfiguration(ConfigurationPtr NewConfiguration) {
  Current = std::move(NewConfiguration);
  Routes = RouteTable(Current->Content);
}

const RequestKind &
CallerRequestHandler::kindOf(const Route &MatchedRoute) const {
  return Current->Content.Services[MatchedRoute.ServiceIndex]
      .Kinds[MatchedRoute.KindIndex];
}

Duration CallerRequestHandler::timeoutFor(
    const CallerRequest &Request,
    const std::optional<Route> &MatchedRoute) const {
  const Duration MaxAllowed =
      MatchedRoute ? kindOf(*MatchedRoute).Deadline : DefaultTimeout;
  const Duration Requested =
      std::min(Request.Timeout.value_or(MaxAllowed), MaxTimeout);
  return std::min(Requested, MaxAllowed);
}

void CallerRequestHandler::onRequest(Instant Now, RequestId Id,
                                     RequestPtr Request) {
  OpenRequest NewRequest;
  NewRequest.Request = std::move(Request);
  NewRequest.ArrivedAt = Now;
  OpenRequests[Id] = std::move(NewRequest);
  handle(Now, Id);
}

void CallerRequestHandler::onClaimCall(Instant Now, const HostName &From,
                                       const ClaimCall &Call) {
  const RequestId Id(PeerRequestBase + ++PeerRequestCount);
  OpenRequest NewRequest;
  NewRequest.ReplyTo = {From, Call.Correlation};
  CallerRequest Request = *Call.Request;
  Request.Timeout = Call.Remaining;
  NewRequest.Request =
      std::make_shared<const CallerRequest>(std::move(Request));
  NewRequest.ArrivedAt = Now;
  OpenRequests[Id] = std::move(NewRequest);
  handle(Now, Id);
}

void CallerRequestHandler::handle(Instant Now, RequestId Id) {
  OpenRequest &Entry = OpenRequests.at(Id);
  std::optional<Route> MatchedRoute;
  if (Current)
    MatchedRoute = Routes.match(Entry.Request->Method, Entry.Request->Target);
  Entry.Deadline = Now + timeoutFor(*Entry.Request, MatchedRoute);
  Deadlines.emplace(Entry.Deadline, Id);
  if (MatchedRoute) {
    Entry.Service =
        Current->Content.Services[MatchedRoute->ServiceIndex].Name.value();
    Entry.Kind = kindOf(*MatchedRoute).Name;
  }
  if (MatchedRoute && kindOf(*MatchedRoute).Idempotent) {
    dispatch(Now, Id, *MatchedRoute);
    return;
  }
  handleNonIdempotent(Now, Id, MatchedRoute);
}

/// Also handles requests without a route: if such a request carries a key, the
/// key is claimed and settled as not run, so that the refusal stays true even
/// if a later configuration adds a route for it.
void CallerRequestHandler::handleNonIdempotent(
    Instant Now, RequestId Id, const std::optional<Route> &MatchedRoute) {
  const OpenRequest &Entry = OpenRequests.at(Id);
  const RefusalReason NoRouteReason =
      Current ? RefusalReason::NoRoute : RefusalReason::NoConfiguration;
  if (!Entry.Request->Key || !Entry.Request->Token) {
    const RefusalReason Reason =
        MatchedRoute ? RefusalReason::KeyRequired : NoRouteReason;
    const Duration Wait = Current ? Duration::zero() : ShortRetryAfter;
    refuse(Now, Id, {RefusalOutcome::NotRun, Reason, Wait});
    return;
  }
  const auto Token = parseIssuerToken(*Entry.Request->Token);
  if (!Token) {
    // An earlier copy with the intact token may have run, so the outcome is
    // unknown.
    refuse(Now, Id, {RefusalOutcome::Unknown, RefusalReason::BadToken, {}});
    return;
  }
  if (Token->Host == Self && Token->Incarnation == Incarnation) {
    claimLocally(Now, Id, *Token, MatchedRoute);
    return;
  }
  handleForeignToken(Now, Id, *Token);
}

void CallerRequestHandler::claimLocally(
    Instant Now, RequestId Id, const IssuerToken &Token,
    const std::optional<Route> &MatchedRoute) {
  OpenRequest &Entry = OpenRequests.at(Id);
  const ClaimKey Claim{Token.Epoch, *Entry.Request->Key};
  const ClaimDecision Decision = Claims.claim(Now, Token, Claim.Key);
  if (Decision.Verdict == ClaimVerdict::Settled ||
      Decision.Verdict == ClaimVerdict::Refused) {
    answer(Now, Id, Decision.Reply, RefusalReason::None);
    return;
  }
  Entry.Claim = Claim;
  Waiters[{Claim.Epoch, Claim.Key}].push_back(Id);
  if (Decision.Verdict == ClaimVerdict::Pending)
    return;
  RefusalReason Reason = RefusalReason::None;
  if (!MatchedRoute)
    Reason = Current ? RefusalReason::NoRoute : RefusalReason::NoConfiguration;
  if (ClaimsClosed)
    Reason = RefusalReason::Stopping;
  if (Reason != RefusalReason::None) {
    settleClaim(Now, Claim, toAnswer({RefusalOutcome::NotRun, Reason, {}}),
                Reason);
    return;
  }
  dispatch(Now, Id, *MatchedRoute);
}

std::optional<HostName>
CallerRequestHandler::findClaimHolder(const IssuerToken &Token) const {
  HostName Candidate = Token.Host;
  IncarnationId CandidateIncarnation = Token.Incarnation;
  for (unsigned Step = 0; Step < MaxSuccessors; ++Step) {
    const MemberRecord *Found = Members.find(Candidate);
    if (Found == nullptr || Found->Incarnation != CandidateIncarnation)
      return std::nullopt;
    if (Found->Status <= MemberStatus::Suspect)
      return Candidate;
    if (Found->Status != MemberStatus::Left || Found->Successor.value().empty())
      return std::nullopt;
    Candidate = Found->Successor;
    const MemberRecord *SuccessorRecord = Members.find(Candidate);
    if (SuccessorRecord == nullptr)
      return std::nullopt;
    CandidateIncarnation = SuccessorRecord->Incarnation;
  }
  return std::nullopt;
}

void CallerRequestHandler::handleForeignToken(Instant Now, RequestId Id,
                                              const IssuerToken &Token) {
  OpenRequest &Entry = OpenRequests.at(Id);
  const ClaimDecision AdoptedDecision =
      Claims.lookUpAdopted(Token, *Entry.Request->Key);
  const bool IsAdopted = Claims.hasAdopted(Token);
  const bool ReceivedFromPeer = !Entry.ReplyTo.Peer.value().empty();
  const auto Holder = findClaimHolder(Token);
  if (IsAdopted) {
    answer(Now, Id, AdoptedDecision.Reply, RefusalReason::IssuerGone);
    return;
  }
  // A request is forwarded at most once: two hosts with different membership
  // views could otherwise send it back and forth.
  if (ReceivedFromPeer || !Holder || *Holder == Self) {
    Entry.AwaitsJournal = true;
    Callbacks.ReadJournal(Id, Token, *Entry.Request->Key);
    return;
  }
  const std::uint64_t Correlation = ++LastCorrelation;
  ForwardedRequests[Correlation] = Id;
  Entry.ForwardedTo = *Holder;
  Callbacks.Send(*Holder,
                 ClaimCall{Correlation, Entry.Request, Entry.Deadline - Now});
}

void CallerRequestHandler::onClaimAnswer(Instant Now, const HostName &From,
                                         const ClaimAnswer &Message) {
  const auto Forwarded = ForwardedRequests.find(Message.Correlation);
  if (Forwarded == ForwardedRequests.end())
    return;
  const RequestId Id = Forwarded->second;
  const auto Found = OpenRequests.find(Id);
  if (Found != OpenRequests.end() && Found->second.ForwardedTo != From)
    return;
  ForwardedRequests.erase(Forwarded);
  if (Found != OpenRequests.end())
    answer(Now, Id, Message.Reply, RefusalReason::None);
}

void CallerRequestHandler::onJournal(Instant Now, RequestId Id,
                                     const AnswerPtr &Reply) {
  const auto Found = OpenRequests.find(Id);
  if (Found == OpenRequests.end() || !Found->second.AwaitsJournal)
    return;
  if (Reply) {
    answer(Now, Id, Reply, RefusalReason::None);
    return;
  }
  refuse(Now, Id, {RefusalOutcome::Unknown, RefusalReason::IssuerGone, {}});
}

void CallerRequestHandler::dispatch(Instant Now, RequestId Id,
                                    const Route &MatchedRoute) {
  const OpenRequest &Entry = OpenRequests.at(Id);
  DispatchRequest Work;
  Work.Id = Id;
  Work.Service = Current->Content.Services[MatchedRoute.ServiceIndex].Name;
  Work.Kind = kindOf(MatchedRoute);
  Work.Request = Entry.Request;
  Work.Deadline = Entry.Deadline;
  Work.Fingerprint =
      fingerprintOf(Entry.Service, Entry.Kind, Entry.Request->Target,
                    Entry.Request->Body.bytes());
  Callbacks.Dispatch(Now, std::move(Work));
}

void CallerRequestHandler::onDispatched(Instant Now,
                                        const DispatchRequest &Request,
                                        const DispatchResult &Result) {
  AnswerPtr Reply = Result.Reply;
  if (!Reply)
    Reply = toAnswer(Result.Refused);
  if (Request.Kind.Idempotent) {
    answer(Now, Request.Id, Reply, Result.Refused.Reason, Result.ServiceTime);
    return;
  }
  const auto Token = parseIssuerToken(*Request.Request->Token);
  const ClaimKey Claim{Token->Epoch, *Request.Request->Key};
  if (Result.Final) {
    settleClaim(Now, Claim, Reply, Result.Refused.Reason, Result.ServiceTime);
    return;
  }
  // The outcome is not final: answer the waiting requests but leave the claim
  // pending, so that a resend can still wait for the final result.
  const auto Waiting = Waiters.find({Claim.Epoch, Claim.Key});
  if (Waiting == Waiters.end())
    return;
  const std::vector<RequestId> RequestIds = std::move(Waiting->second);
  Waiters.erase(Waiting);
  for (const RequestId Id : RequestIds)
    answer(Now, Id, Reply, Result.Refused.Reason);
}

void CallerRequestHandler::settleClaim(Instant Now, const ClaimKey &Claim,
                                       const AnswerPtr &Reply,
                                       RefusalReason Reason,
                                       Duration ServiceTime) {
  Claims.settle(Claim, Reply);
  const auto Waiting = Waiters.find({Claim.Epoch, Claim.Key});
  if (Waiting == Waiters.end())
    return;
  const std::vector<RequestId> RequestIds = std::move(Waiting->second);
  Waiters.erase(Waiting);
  for (const RequestId Id : RequestIds)
    answer(Now, Id, Reply, Reason, ServiceTime);
}

void CallerRequestHandler::answer(Instant Now, RequestId Id,
                                  const AnswerPtr &Reply, RefusalReason Reason,
                                  Duration ServiceTime) {
  const auto Found = OpenRequests.find(Id);
  if (Found == OpenRequests.end())
    return;
  const OpenRequest Completed = std::move(Found->second);
  OpenRequests.erase(Found);
  Deadlines.erase({Completed.Deadline, Id});
  const auto Outcome = outcomeOf(*Reply);
  Callbacks.Trace({Completed.Request->TraceId,
                   "request",
                   Completed.ArrivedAt,
                   Now,
                   {{"service", Completed.Service},
                    {"kind", Completed.Kind},
                    {"status", std::to_string(Reply->Status)},
                    {"outcome", Outcome ? toString(*Outcome) : "answered"},
                    {"reason", toString(Reason)}}});
  if (!Completed.ReplyTo.Peer.value().empty()) {
    Callbacks.Send(Completed.ReplyTo.Peer,
                   ClaimAnswer{Completed.ReplyTo.Correlation, Reply});
    return;
  }
  Callbacks.Reply({Id, Reply, Completed.Service, Completed.Kind, Reason,
                   Now - Completed.ArrivedAt, ServiceTime});
}

void CallerRequestHandler::refuse(Instant Now, RequestId Id,
                                  const Refusal &Refused) {
  answer(Now, Id, toAnswer(Refused), Refused.Reason);
}

void CallerRequestHandler::onCallerGone(Instant Now, RequestId Id) {
  const auto Found = OpenRequests.find(Id);
  if (Found == OpenRequests.end())
    return;
  const OpenRequest Abandoned = std::move(Found->second);
  OpenRequests.erase(Found);
  Deadlines.erase({Abandoned.Deadline, Id});
  // Claimed requests keep running: the caller may resend the key to get the
  // answer.
  if (!Abandoned.Claim && Abandoned.ForwardedTo.value().empty() &&
      !Abandoned.AwaitsJournal)
    Callbacks.Abandon(Now, Id);
}

void CallerRequestHandler::tick(Instant Now) {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const RequestId Id = Deadlines.begin()->second;
    Deadlines.erase(Deadlines.begin());
    const auto Found = OpenRequests.find(Id);
    if (Found == OpenRequests.end())
      continue;
    if (Found->second.AwaitsJournal) {
      refuse(Now, Id, {RefusalOutcome::Unknown, RefusalReason::IssuerGone, {}});
      continue;
    }
    if (!Found->second.ForwardedTo.value().empty()) {
      refuse(Now, Id,
             {RefusalOutcome::Unknown, RefusalReason::IssuerSilent, {}});
      continue;
    }
    if (Found->second.Claim)
      refuse(Now, Id,
             {RefusalOutcome::InProgress, RefusalReason::StillRunning,
              ShortRetryAfter});
  }
}

} // namespace mimosacart
