/// \file
/// Accepts callers' requests, runs non-idempotent ones at most once and answers
/// each request once.
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

/// One timed step in the handling of a request, for traces and `explain`.
struct Span {
  std::string TraceId;
  std::string Name;
  Instant Start{};
  Instant End{};
  /// Key-value pairs in display order.
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// The answer to a caller with the data that metrics are updated from.
struct CallerReply {
  RequestId Id;
  AnswerPtr Reply;
  /// Service and request kind; empty if the request matches no route.
  std::string Service;
  std::string Kind;
  /// Reason if this host refused the request, otherwise None.
  RefusalReason Reason = RefusalReason::None;
  /// Time since the request arrived, and the part spent in the backend
  /// server.
  Duration Total{};
  Duration ServiceTime{};
};

/// Handles each request from its arrival until its answer is sent: matches a
/// route, claims the idempotency key if the request is not idempotent, hands
/// the request to the dispatcher and returns the result.
class CallerRequestHandler {
public:
  struct Hooks {
    std::function<void(CallerReply)> Reply;
    std::function<void(const HostName &, PeerBody)> Send;
    std::function<void(Instant Now, DispatchRequest)> Dispatch;
    /// Withdraws a dispatched request whose caller is gone.
    std::function<void(Instant Now, RequestId)> Abandon;
    std::function<void(Span)> Trace;
    /// Looks up a key in the claim journal of an issuer that is no longer
    /// available; the result is delivered through onJournal().
    std::function<void(RequestId, const IssuerToken &, const std::string &Key)>
        ReadJournal;
  };

  CallerRequestHandler(HostName Self, IncarnationId Incarnation,
                       ClaimTable &Claims, const Membership &Members,
                       Hooks Callbacks);

  /// Replaces the configuration by which later requests are routed.
  void setConfiguration(ConfigurationPtr NewConfiguration);
  /// Refuses every later claim of a new key, but still answers keys that were
  /// claimed before.
  void stopGrantingClaims() { ClaimsClosed = true; }

  void onRequest(Instant Now, RequestId Id, RequestPtr Request);
  void onCallerGone(Instant Now, RequestId Id);
  void onClaimCall(Instant Now, const HostName &From, const ClaimCall &Call);
  void onClaimAnswer(Instant Now, const HostName &From,
                     const ClaimAnswer &Message);
  /// Handles the result of Hooks::ReadJournal; \p Reply is null if the journal
  /// has no entry for the key.
  void onJournal(Instant Now, RequestId Id, const AnswerPtr &Reply);
  void onDispatched(Instant Now, const DispatchRequest &Request,
                    const DispatchResult &Result);

  /// Refuses requests whose deadline has passed while they wait for a claim
  /// holder, a journal entry or the result of a claim.
  void tick(Instant Now);

  /// Number of requests that have not been answered.
  std::size_t pending() const { return OpenRequests.size(); }
  const RouteTable &routes() const { return Routes; }

private:
  /// Destination of a request's answer.
  struct ReplyTarget {
    /// Host that forwarded the request; empty if the caller sent it to this
    /// host directly.
    HostName Peer;
    std::uint64_t Correlation = 0;
  };
  struct OpenRequest {
    ReplyTarget ReplyTo;
    RequestPtr Request;
    Instant ArrivedAt{};
    Instant Deadline{};
    std::string Service;
    std::string Kind;
    std::optional<ClaimKey> Claim;
    /// Host that holds the claim and that the request was forwarded to; empty
    /// if it was not forwarded.
    HostName ForwardedTo;
    bool AwaitsJournal = false;
  };

  void handle(Instant Now, RequestId Id);
  void handleNonIdempotent(Instant Now, RequestId Id,
                           const std::optional<Route> &MatchedRoute);
  void claimLocally(Instant Now, RequestId Id, const IssuerToken &Token,
                    const std::optional<Route> &MatchedRoute);
  void handleForeignToken(Instant Now, RequestId Id, const IssuerToken &Token);
  std::optional<HostName> findClaimHolder(const IssuerToken &Token) const;
  void dispatch(Instant Now, RequestId Id, const Route &MatchedRoute);
  void settleClaim(Instant Now, const ClaimKey &Claim, const AnswerPtr &Reply,
                   RefusalReason Reason, Duration ServiceTime = {});
  void answer(Instant Now, RequestId Id, const AnswerPtr &Reply,
              RefusalReason Reason, Duration ServiceTime = {});
  void refuse(Instant Now, RequestId Id, const Refusal &Refused);
  const RequestKind &kindOf(const Route &MatchedRoute) const;
  Duration timeoutFor(const CallerRequest &Request,
                      const std::optional<Route> &MatchedRoute) const;

  const HostName Self;
  const IncarnationId Incarnation;
  ClaimTable &Claims;
  const Membership &Members;
  const Hooks Callbacks;
  ConfigurationPtr Current;
  RouteTable Routes;
  bool ClaimsClosed = false;
  std::unordered_map<RequestId, OpenRequest> OpenRequests;
  std::set<std::pair<Instant, RequestId>> Deadlines;
  /// Requests waiting for the result of a claim, by epoch and key; includes the
  /// request that was granted the claim.
  std::map<std::pair<std::uint64_t, std::string>, std::vector<RequestId>>
      Waiters;
  /// Requests forwarded to a claim holder, by correlation number.
  std::unordered_map<std::uint64_t, RequestId> ForwardedRequests;
  std::uint64_t LastCorrelation = 0;
  std::uint64_t PeerRequestCount = 0;
};

} // namespace mimosacart
