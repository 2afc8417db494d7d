#include "core/caller_request_handler.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Deadline of requests whose kind is not known.
constexpr Duration DefaultTimeout = std::chrono::seconds(5);
/// Longest deadline that a caller may ask for.
constexpr Duration MaxTimeout = std::chrono::minutes(5);
/// Requests that arrive through peers are numbered from here, so that they
/// never meet the numbers that the layer round the core gives.
constexpr std::uint64_t PeerRequestBase = std::uint64_t(1) << 63U;
/// Successors of successors that are followed to find handed-over claims.
constexpr unsigned MaxSuccessors = 8;
/// Proposed wait where the fleet needs a moment.
constexpr Duration ShortRetryAfter = std::chrono::seconds(1);

} // namespace

CallerRequestHandler::CallerRequestHandler(HostName Self,
                                           IncarnationId Incarnation,
                                           ClaimTable &Claims,
                                           const Membership &Members,
                                           Hooks Callbacks)
    : Self(std::move(Self)), Incarnation(Incarnation), Claims(Claims),
      Members(Members), Callbacks(std::move(Callbacks)) {}

void CallerRequestHandler::setConfiguration(ConfigurationPtr Value) {
  Current = std::move(Value);
  Routes = RouteTable(Current->Content);
}

const RequestKind &CallerRequestHandler::kindAt(const Route &Where) const {
  return Current->Content.Services[Where.ServiceIndex].Kinds[Where.KindIndex];
}

Duration
CallerRequestHandler::timeoutFor(const CallerRequest &Request,
                                 const std::optional<Route> &Where) const {
  const Duration Allowed = Where ? kindAt(*Where).Deadline : DefaultTimeout;
  const Duration Asked =
      std::min(Request.Timeout.value_or(Allowed), MaxTimeout);
  return std::min(Asked, Allowed);
}

void CallerRequestHandler::onRequest(Instant Now, RequestId Id,
                                     RequestPtr Request) {
  OpenRequest Added;
  Added.Request = std::move(Request);
  Added.ArrivedAt = Now;
  Open[Id] = std::move(Added);
  handle(Now, Id);
}

void CallerRequestHandler::onClaimCall(Instant Now, const HostName &From,
                                       const ClaimCall &Call) {
  const RequestId Id(PeerRequestBase + ++LastPeerRequest);
  OpenRequest Added;
  Added.From = {From, Call.Correlation};
  CallerRequest Request = *Call.Request;
  Request.Timeout = Call.Remaining;
  Added.Request = std::make_shared<const CallerRequest>(std::move(Request));
  Added.ArrivedAt = Now;
  Open[Id] = std::move(Added);
  handle(Now, Id);
}

void CallerRequestHandler::handle(Instant Now, RequestId Id) {
  OpenRequest &Of = Open.at(Id);
  std::optional<Route> Where;
  if (Current)
    Where = Routes.match(Of.Request->Method, Of.Request->Target);
  Of.Deadline = Now + timeoutFor(*Of.Request, Where);
  Deadlines.emplace(Of.Deadline, Id);
  if (Where) {
    Of.Service = Current->Content.Services[Where->ServiceIndex].Name.value();
    Of.Kind = kindAt(*Where).Name;
  }
  if (Where && kindAt(*Where).Idempotent) {
    dispatch(Now, Id, *Where);
    return;
  }
  handleNonIdempotent(Now, Id, Where);
}

/// Also takes requests without a route: if they carry a key, a refusal has to
/// stay true once a later configuration knows them.
void CallerRequestHandler::handleNonIdempotent(
    Instant Now, RequestId Id, const std::optional<Route> &Where) {
  const OpenRequest &Of = Open.at(Id);
  const RefusalReason WithoutRoute =
      Current ? RefusalReason::NoRoute : RefusalReason::NoConfiguration;
  if (!Of.Request->Key || !Of.Request->Token) {
    const RefusalReason Reason =
        Where ? RefusalReason::KeyRequired : WithoutRoute;
    const Duration Wait = Current ? Duration::zero() : ShortRetryAfter;
    refuse(Now, Id, {RefusalOutcome::NotRun, Reason, Wait});
    return;
  }
  const auto Token = parseIssuerToken(*Of.Request->Token);
  if (!Token) {
    // An earlier copy may have carried the token unharmed.
    refuse(Now, Id, {RefusalOutcome::Unknown, RefusalReason::BadToken, {}});
    return;
  }
  if (Token->Host == Self && Token->Incarnation == Incarnation) {
    claimHere(Now, Id, *Token, Where);
    return;
  }
  askIssuer(Now, Id, *Token);
}

void CallerRequestHandler::claimHere(Instant Now, RequestId Id,
                                     const IssuerToken &Token,
                                     const std::optional<Route> &Where) {
  OpenRequest &Of = Open.at(Id);
  const ClaimKey Claim{Token.Epoch, *Of.Request->Key};
  const ClaimDecision Decision = Claims.claim(Now, Token, Claim.Key);
  if (Decision.Verdict == ClaimVerdict::Settled ||
      Decision.Verdict == ClaimVerdict::Refused) {
    answer(Now, Id, Decision.Reply, RefusalReason::None);
    return;
  }
  Of.Claim = Claim;
  Waiters[{Claim.Epoch, Claim.Key}].push_back(Id);
  if (Decision.Verdict == ClaimVerdict::Pending)
    return;
  RefusalReason Reason = RefusalReason::None;
  if (!Where)
    Reason = Current ? RefusalReason::NoRoute : RefusalReason::NoConfiguration;
  if (Sealed)
    Reason = RefusalReason::Stopping;
  if (Reason != RefusalReason::None) {
    settleClaim(Now, Claim, toAnswer({RefusalOutcome::NotRun, Reason, {}}),
                Reason);
    return;
  }
  dispatch(Now, Id, *Where);
}

std::optional<HostName>
CallerRequestHandler::holderOf(const IssuerToken &Token) const {
  HostName Next = Token.Host;
  IncarnationId NextIncarnation = Token.Incarnation;
  for (unsigned Step = 0; Step < MaxSuccessors; ++Step) {
    const MemberRecord *Found = Members.find(Next);
    if (Found == nullptr || Found->Incarnation != NextIncarnation)
      return std::nullopt;
    if (Found->Status <= MemberStatus::Suspect)
      return Next;
    if (Found->Status != MemberStatus::Left || Found->Successor.value().empty())
      return std::nullopt;
    Next = Found->Successor;
    const MemberRecord *After = Members.find(Next);
    if (After == nullptr)
      return std::nullopt;
    NextIncarnation = After->Incarnation;
  }
  return std::nullopt;
}

void CallerRequestHandler::askIssuer(Instant Now, RequestId Id,
                                     const IssuerToken &Token) {
  OpenRequest &Of = Open.at(Id);
  const ClaimDecision Adopted = Claims.lookUpAdopted(Token, *Of.Request->Key);
  const bool Known = Claims.hasAdopted(Token);
  const bool CameFromPeer = !Of.From.Peer.value().empty();
  const auto Holder = holderOf(Token);
  if (Known) {
    answer(Now, Id, Adopted.Reply, RefusalReason::IssuerGone);
    return;
  }
  // A request is passed on once only, so that two hosts with different views
  // cannot send it to and fro.
  if (CameFromPeer || !Holder || *Holder == Self) {
    Of.AwaitsJournal = true;
    Callbacks.ReadJournal(Id, Token, *Of.Request->Key);
    return;
  }
  const std::uint64_t Correlation = ++LastCorrelation;
  AskedIssuers[Correlation] = Id;
  Of.AskedIssuer = *Holder;
  Callbacks.Send(*Holder,
                 ClaimCall{Correlation, Of.Request, Of.Deadline - Now});
}

void CallerRequestHandler::onClaimAnswer(Instant Now, const HostName &From,
                                         const ClaimAnswer &Message) {
  const auto Asked = AskedIssuers.find(Message.Correlation);
  if (Asked == AskedIssuers.end())
    return;
  const RequestId Id = Asked->second;
  const auto Found = Open.find(Id);
  if (Found != Open.end() && Found->second.AskedIssuer != From)
    return;
  AskedIssuers.erase(Asked);
  if (Found != Open.end())
    answer(Now, Id, Message.Reply, RefusalReason::None);
}

void CallerRequestHandler::onJournal(Instant Now, RequestId Id,
                                     const AnswerPtr &Reply) {
  const auto Found = Open.find(Id);
  if (Found == Open.end() || !Found->second.AwaitsJournal)
    return;
  if (Reply) {
    answer(Now, Id, Reply, RefusalReason::None);
    return;
  }
  refuse(Now, Id, {RefusalOutcome::Unknown, RefusalReason::IssuerGone, {}});
}

void CallerRequestHandler::dispatch(Instant Now, RequestId Id,
                                    const Route &Where) {
  const OpenRequest &Of = Open.at(Id);
  DispatchRequest Work;
  Work.Id = Id;
  Work.Service = Current->Content.Services[Where.ServiceIndex].Name;
  Work.Kind = kindAt(Where);
  Work.Request = Of.Request;
  Work.Deadline = Of.Deadline;
  Work.Fingerprint =
      fingerprintOf(Of.Service, Of.Kind, Of.Request->Target, Of.Request->Body);
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
  // The claim stays pending, so that a resend can still join it.
  const auto Waiting = Waiters.find({Claim.Epoch, Claim.Key});
  if (Waiting == Waiters.end())
    return;
  const std::vector<RequestId> Told = std::move(Waiting->second);
  Waiters.erase(Waiting);
  for (const RequestId Id : Told)
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
  const std::vector<RequestId> Told = std::move(Waiting->second);
  Waiters.erase(Waiting);
  for (const RequestId Id : Told)
    answer(Now, Id, Reply, Reason, ServiceTime);
}

void CallerRequestHandler::answer(Instant Now, RequestId Id,
                                  const AnswerPtr &Reply, RefusalReason Reason,
                                  Duration ServiceTime) {
  const auto Found = Open.find(Id);
  if (Found == Open.end())
    return;
  const OpenRequest Done = std::move(Found->second);
  Open.erase(Found);
  Deadlines.erase({Done.Deadline, Id});
  const auto Refused = outcomeOf(*Reply);
  Callbacks.Trace({Done.Request->TraceId,
                   "request",
                   Done.ArrivedAt,
                   Now,
                   {{"service", Done.Service},
                    {"kind", Done.Kind},
                    {"status", std::to_string(Reply->Status)},
                    {"outcome", Refused ? toString(*Refused) : "answered"},
                    {"reason", toString(Reason)}}});
  if (!Done.From.Peer.value().empty()) {
    Callbacks.Send(Done.From.Peer, ClaimAnswer{Done.From.Correlation, Reply});
    return;
  }
  Callbacks.Reply({Id, Reply, Done.Service, Done.Kind, Reason,
                   Now - Done.ArrivedAt, ServiceTime});
}

void CallerRequestHandler::refuse(Instant Now, RequestId Id,
                                  const Refusal &Refused) {
  answer(Now, Id, toAnswer(Refused), Refused.Reason);
}

void CallerRequestHandler::onCallerGone(Instant Now, RequestId Id) {
  const auto Found = Open.find(Id);
  if (Found == Open.end())
    return;
  const OpenRequest Gone = std::move(Found->second);
  Open.erase(Found);
  Deadlines.erase({Gone.Deadline, Id});
  // Claimed work goes on: the caller may come back for its answer.
  if (!Gone.Claim && Gone.AskedIssuer.value().empty() && !Gone.AwaitsJournal)
    Callbacks.Abandon(Now, Id);
}

void CallerRequestHandler::tick(Instant Now) {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const RequestId Id = Deadlines.begin()->second;
    Deadlines.erase(Deadlines.begin());
    const auto Found = Open.find(Id);
    if (Found == Open.end())
      continue;
    if (Found->second.AwaitsJournal) {
      refuse(Now, Id, {RefusalOutcome::Unknown, RefusalReason::IssuerGone, {}});
      continue;
    }
    if (!Found->second.AskedIssuer.value().empty()) {
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
