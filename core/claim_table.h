/// \file
/// At-most-once: every idempotency key is claimed once, by one incarnation.
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

/// Bounds of a ClaimTable.
struct ClaimLimits {
  /// How long one epoch of tokens lasts.
  Duration EpochLength = std::chrono::seconds(60);
  /// Epochs before the current one whose claims are kept.
  std::uint64_t RetainedEpochs = 10;
  /// Claims in one epoch; a full epoch refuses every further key for ever.
  std::size_t ClaimsPerEpoch = 20'000;
  /// Bytes of stored answers over all epochs.
  std::size_t AnswerBytes = 16U << 20U;
};

/// A key within the epoch of its token.
struct ClaimKey {
  std::uint64_t Epoch = 0;
  std::string Key;

  friend bool operator==(const ClaimKey &, const ClaimKey &) = default;
};

/// What a request that presents a key may do.
enum class ClaimVerdict : std::uint8_t {
  /// Nobody used the key before: the request holds the claim and may run.
  Granted,
  /// Another copy is running; wait for its answer.
  Pending,
  /// The answer is known.
  Settled,
  /// Refuse: the key cannot run and may or may not have run.
  Refused,
};

/// A verdict with what the caller is to be told, if that is known.
struct ClaimDecision {
  ClaimVerdict Verdict = ClaimVerdict::Refused;
  /// Set for Settled and Refused.
  AnswerPtr Reply;
};

/// The claims of this incarnation and those handed over by hosts that left.
///
/// A claim is never given back: once granted it only moves to a settled
/// state, so a delayed copy can never run. Memory is bounded by forgetting
/// whole epochs; a forgotten epoch is answered with `unknown`.
class ClaimTable {
public:
  /// Told of each claim whose fate is known for good.
  using SettledHook = std::function<void(const ClaimKey &, const AnswerPtr &)>;

  ClaimTable(HostName Host, IncarnationId Incarnation, Instant Start,
             ClaimLimits Limits, SettledHook Settled);

  /// The token that callers are to send with new requests at \p Now.
  IssuerToken currentToken(Instant Now) const;

  /// Claims \p Key under \p Token, which must name this incarnation.
  ClaimDecision claim(Instant Now, const IssuerToken &Token,
                      const std::string &Key);

  /// Looks \p Key up among claims handed over by the incarnation in \p Token.
  ClaimDecision lookUpAdopted(const IssuerToken &Token,
                              const std::string &Key) const;

  /// Whether the claims of the incarnation in \p Token were handed over here.
  bool hasAdopted(const IssuerToken &Token) const {
    return AdoptedTables.contains({Token.Host, Token.Incarnation});
  }

  /// Records how the claim ended. A later, more certain answer replaces
  /// `unknown`; everything else keeps its first answer.
  void settle(const ClaimKey &Claim, const AnswerPtr &Reply);

  /// Forgets epochs that are older than the retention.
  void expire(Instant Now);

  /// Everything that a successor must know, adopted ledgers included; a claim
  /// that is still pending is handed over as `unknown`.
  std::vector<Handover> handovers(Instant Now) const;

  /// Stores the claims of a host that left.
  void adopt(const Handover &Received);

  /// Claims that are granted and not settled.
  std::size_t pending() const { return PendingCount; }
  /// Claims held, over all epochs.
  std::size_t size() const;
  /// Bytes of stored answers.
  std::size_t answerBytes() const { return StoredBytes; }

private:
  struct Claim {
    bool Settled = false;
    AnswerPtr Reply;
  };
  using EpochClaims = std::unordered_map<std::string, Claim>;
  using TableOwner = std::pair<HostName, IncarnationId>;
  struct Adopted {
    std::uint64_t OldestEpoch = 0;
    std::uint64_t CurrentEpoch = 0;
    std::map<std::uint64_t, std::unordered_map<std::string, AnswerPtr>> Claims;
  };

  Handover ownHandover(Instant Now) const;
  std::uint64_t epochAt(Instant Now) const;
  std::uint64_t oldestEpochAt(Instant Now) const;
  void storeAnswer(const ClaimKey &Key, Claim &Into, const AnswerPtr &Reply);
  void dropOldestAnswers();

  const HostName Host;
  const IncarnationId Incarnation;
  const Instant Start;
  const ClaimLimits Limits;
  const SettledHook Settled;
  std::map<std::uint64_t, EpochClaims> Epochs;
  /// Claims with stored answers, oldest first, for the byte budget.
  std::deque<ClaimKey> AnswerOrder;
  std::size_t StoredBytes = 0;
  std::size_t PendingCount = 0;
  std::map<TableOwner, Adopted> AdoptedTables;
  std::deque<TableOwner> AdoptionOrder;
};

} // namespace mimosacart
