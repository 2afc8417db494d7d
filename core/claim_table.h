/// \file
/// Guarantees at-most-once execution: each idempotency key is claimed once, by
/// a single incarnation of one host.
#pragma once

#include "core/ids.h"
#include "core/issuer_token.h"
#include "core/peer_messages.h"
#include "core/request.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosacart {

/// Limits of a ClaimTable.
struct ClaimLimits {
  /// Time during which callers are given tokens of the same epoch.
  Duration EpochLength = std::chrono::seconds(60);
  /// Number of epochs before the current one whose claims are kept.
  std::uint64_t RetainedEpochs = 10;
  /// Maximum number of claims in one epoch; a full epoch permanently refuses
  /// every further key.
  std::size_t ClaimsPerEpoch = 20'000;
  /// Size of the stored answers' bodies over all epochs, in bytes, above which
  /// the oldest answers of backend servers are dropped. Adopted answers are not
  /// counted.
  std::size_t AnswerBytes = 16U << 20U;
};

/// An idempotency key and the epoch of the token that it was sent with.
struct ClaimKey {
  std::uint64_t Epoch = 0;
  std::string Key;

  friend bool operator==(const ClaimKey &, const ClaimKey &) = default;
};

/// Result of claiming or looking up an idempotency key.
enum class ClaimVerdict : std::uint8_t {
  /// The key was not used before: the request holds the claim and may run.
  Granted,
  /// Another request with the key is still running; wait for its answer.
  Pending,
  /// A request with the key has finished and its answer is stored.
  Settled,
  /// The request must not run. The outcome in the answer says whether an
  /// earlier request with the key ran, or that this is unknown.
  Refused,
};

/// A verdict and, if already determined, the answer for the caller.
struct ClaimDecision {
  ClaimVerdict Verdict = ClaimVerdict::Refused;
  /// Set for Settled and Refused.
  AnswerPtr Reply;
};

/// Holds the claims of this incarnation and those handed over by hosts that
/// left.
///
/// A claim is never released: once granted it can only become settled, so a
/// delayed copy of the request cannot run. Memory is bounded by dropping whole
/// epochs; a request with a token of a dropped epoch is answered with the
/// outcome `unknown`.
class ClaimTable {
public:
  /// Called with the final answer of a claim: any answer but an `unknown`
  /// refusal.
  using SettledHook = std::function<void(const ClaimKey &, const AnswerPtr &)>;

  ClaimTable(HostName Host, IncarnationId Incarnation, Instant Start,
             ClaimLimits Limits, SettledHook Settled);

  /// Returns the token that callers send with new requests at \p Now.
  IssuerToken currentToken(Instant Now) const;

  /// Claims \p Key for \p Token, which must name this incarnation.
  ClaimDecision claim(Instant Now, const IssuerToken &Token,
                      const std::string &Key);

  /// Looks up \p Key among the claims that were handed over by the incarnation
  /// in \p Token.
  ClaimDecision lookUpAdopted(const IssuerToken &Token,
                              const std::string &Key) const;

  /// Returns whether the claims of the incarnation in \p Token were handed over
  /// to this host.
  bool hasAdopted(const IssuerToken &Token) const {
    return AdoptedTables.contains({Token.Host, Token.Incarnation});
  }

  /// Stores the answer of a claim. A final answer replaces an earlier `unknown`
  /// refusal; in all other cases the first answer is kept.
  void settle(const ClaimKey &Claim, const AnswerPtr &Reply);

  /// Drops the claims of all epochs but the current one and the
  /// ClaimLimits::RetainedEpochs before it.
  void expire(Instant Now);

  /// Builds the handovers for a successor: one for the claims of this
  /// incarnation and one for each adopted table. A pending claim is handed over
  /// as an `unknown` refusal.
  std::vector<Handover> handovers(Instant Now) const;

  /// Stores the claims that a host handed over when it left.
  void adopt(const Handover &Received);

  /// Number of claims that are granted and not settled.
  std::size_t pending() const { return PendingCount; }
  /// Number of claims of this incarnation over all epochs.
  std::size_t size() const;
  /// Size of the stored answers' bodies, in bytes, without adopted answers.
  std::size_t answerBytes() const { return StoredBytes; }

private:
  struct Claim {
    bool Settled = false;
    /// Null before the claim is settled and after its answer was dropped.
    AnswerPtr Reply;
  };
  using EpochClaims = std::unordered_map<std::string, Claim>;
  using TableOwner = std::pair<HostName, IncarnationId>;
  struct AdoptedTable {
    std::uint64_t OldestEpoch = 0;
    std::uint64_t CurrentEpoch = 0;
    /// Answers by epoch and key; null if the answer was dropped.
    std::map<std::uint64_t, std::unordered_map<std::string, AnswerPtr>> Claims;
  };

  Handover ownHandover(Instant Now) const;
  std::uint64_t epochAt(Instant Now) const;
  std::uint64_t oldestEpochAt(Instant Now) const;
  void storeAnswer(const ClaimKey &Key, Claim &Stored, const AnswerPtr &Reply);
  void dropOldestAnswers();

  const HostName Host;
  const IncarnationId Incarnation;
  const Instant Start;
  const ClaimLimits Limits;
  const SettledHook Settled;
  std::map<std::uint64_t, EpochClaims> Epochs;
  /// Claims with an answer of a backend server, in the order in which they were
  /// settled. Above ClaimLimits::AnswerBytes, the first answers are dropped.
  std::deque<ClaimKey> AnswerOrder;
  std::size_t StoredBytes = 0;
  std::size_t PendingCount = 0;
  std::map<TableOwner, AdoptedTable> AdoptedTables;
  /// Owners of the adopted tables, oldest adoption first.
  std::deque<TableOwner> AdoptionOrder;
};

} // namespace mimosacart
