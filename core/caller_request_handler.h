/// \file
/// Receives callers' requests, guards those that may run once only, and
/// answers each of them once.
#pragma once

#include "core/claim_table.h"
#include "core/dispatcher.h"
#include "core/expiring_notices.h"
#include "core/membership.h"
#include "core/route_table.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// One step of a request's way, for traces and `explain`.
struct Span {
  std::string TraceId;
  std::string Name;
  Instant Start{};
  Instant End{};
  /// Key and value pairs in the order in which they are shown.
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// An answer with what is counted of it.
struct CallerReply {
  RequestId Id;
  AnswerPtr Reply;
  /// Service and kind; empty if the request has no route.
  std::string Service;
  std::string Kind;
  /// Set if the answer is a refusal of ours.
  RefusalReason Reason = RefusalReason::None;
  /// Time since the request arrived, and the server's part of it.
  Duration Total{};
  Duration ServiceTime{};
};

/// The way of a request from the caller to the dispatcher and back.
class CallerRequestHandler {
public:
  struct Hooks {
    std::function<void(CallerReply)> Reply;
    std::function<void(const HostName &, PeerBody)> Send;
    std::function<void(Instant Now, DispatchRequest)> Dispatch;
    std::function<void(Instant Now, RequestId)> Abandon;
    std::function<void(Span)> Trace;
    /// Looks a key up in the journal of an issuer that is gone; the result
    /// comes back through onJournal().
    std::function<void(RequestId, const IssuerToken &, const std::string &Key)>
        ReadJournal;
  };

  CallerRequestHandler(HostName Self, IncarnationId Incarnation,
                       ClaimTable &Claims, const Membership &Members,
                       Hooks Callbacks);

  /// Requests are routed by \p Current from now on.
  void setConfiguration(ConfigurationPtr Current);
  /// From now on no claim is granted; what is known is still answered.
  void seal() { Sealed = true; }

  void onRequest(Instant Now, RequestId Id, RequestPtr Request);
  void onCallerGone(Instant Now, RequestId Id);
  void onClaimCall(Instant Now, const HostName &From, const ClaimCall &Call);
  void onClaimAnswer(Instant Now, const HostName &From,
                     const ClaimAnswer &Message);
  /// What the journal says of a key; null if it says nothing.
  void onJournal(Instant Now, RequestId Id, const AnswerPtr &Reply);
  void onDispatched(Instant Now, const DispatchRequest &Request,
                    const DispatchResult &Result);

  /// Answers those whose deadline has passed.
  void tick(Instant Now);

  /// Requests that have not been answered.
  std::size_t pending() const { return Open.size(); }
  const RouteTable &routes() const { return Routes; }

private:
  /// Where the answer of a request goes.
  struct Origin {
    /// Empty for a caller of this host.
    HostName Peer;
    std::uint64_t Correlation = 0;
  };
  struct OpenRequest {
    Origin From;
    RequestPtr Request;
    Instant ArrivedAt{};
    Instant Deadline{};
    std::string Service;
    std::string Kind;
    std::optional<ClaimKey> Claim;
    /// Host that the request was sent to for its claim.
    HostName AskedIssuer;
    bool AwaitsJournal = false;
  };

  void handle(Instant Now, RequestId Id);
  void handleNonIdempotent(Instant Now, RequestId Id,
                           const std::optional<Route> &Where);
  void claimHere(Instant Now, RequestId Id, const IssuerToken &Token,
                 const std::optional<Route> &Where);
  void askIssuer(Instant Now, RequestId Id, const IssuerToken &Token);
  std::optional<HostName> holderOf(const IssuerToken &Token) const;
  void dispatch(Instant Now, RequestId Id, const Route &Where);
  void settleClaim(Instant Now, const ClaimKey &Claim, const AnswerPtr &Reply,
                   RefusalReason Reason, Duration ServiceTime = {});
  void answer(Instant Now, RequestId Id, const AnswerPtr &Reply,
              RefusalReason Reason, Duration ServiceTime = {});
  void refuse(Instant Now, RequestId Id, const Refusal &Refused);
  const RequestKind &kindAt(const Route &Where) const;
  Duration timeoutFor(const CallerRequest &Request,
                      const std::optional<Route> &Where) const;

  const HostName Self;
  const IncarnationId Incarnation;
  ClaimTable &Claims;
  const Membership &Members;
  const Hooks Callbacks;
  ConfigurationPtr Current;
  RouteTable Routes;
  bool Sealed = false;
  std::unordered_map<RequestId, OpenRequest> Open;
  std::set<std::pair<Instant, RequestId>> Deadlines;
  /// Requests that wait for the result of one claim, the first one included.
  std::map<std::pair<std::uint64_t, std::string>, std::vector<RequestId>>
      Waiters;
  std::unordered_map<std::uint64_t, RequestId> AskedIssuers;
  std::uint64_t LastCorrelation = 0;
  std::uint64_t LastPeerRequest = 0;
};

} // namespace mimosacart
