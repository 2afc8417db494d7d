#include "core/claim_table.h"

namespace mimosacart {

namespace {

/// Maximum number of claim tables kept for departed hosts; the one adopted
/// first is dropped.
constexpr std::size_t MaxAdoptedTables = 64;

std::size_t bytesOf(const AnswerPtr &Reply) {
  return Reply ? Reply->Body.size() : 0;
}

ClaimDecision refused(RefusalOutcome Outcome, RefusalReason Reason) {
  return {ClaimVerdict::Refused, toAnswer({Outcome, Reason, Duration::zero()})};
}

bool isUnknown(const AnswerPtr &Reply) {
  return Reply && outcomeOf(*Reply) == RefusalOutcome::Unknown;
}

} // namespace

ClaimTable::ClaimTable(HostName Host, IncarnationId Incarnation, Instant Start,
                       ClaimLimits Limits, SettledHook Settled)
    : Host(std::move(Host)), Incarnation(Incarnation), Start(Start),
      Limits(Limits), Settled(std::move(Settled)) {}

std::uint64_t ClaimTable::epochAt(Instant Now) const {
  return static_cast<std::uint64_t>((Now - Start) / Limits.EpochLength);
}

std::uint64_t ClaimTable::oldestEpochAt(Instant Now) const {
  const std::uint64_t Current = epochAt(Now);
  return Current > Limits.RetainedEpochs ? Current - Limits.RetainedEpochs : 0;
}

IssuerToken ClaimTable::currentToken(Instant Now) const {
  return {Host, Incarnation, epochAt(Now)};
}

ClaimDecision ClaimTable::claim(Instant Now, const IssuerToken &Token,
                                const std::string &Key) {
  // Epochs that were never issued get the same answer: this host cannot say
  // whether the request ran.
  if (Token.Epoch < oldestEpochAt(Now) || Token.Epoch > epochAt(Now))
    return refused(RefusalOutcome::Unknown, RefusalReason::TokenExpired);
  EpochClaims &Claims = Epochs[Token.Epoch];
  const auto Found = Claims.find(Key);
  if (Found != Claims.end()) {
    if (!Found->second.Settled)
      return {ClaimVerdict::Pending, nullptr};
    if (!Found->second.Reply)
      return refused(RefusalOutcome::Ran, RefusalReason::AnswerDropped);
    return {ClaimVerdict::Settled, Found->second.Reply};
  }
  // A full epoch stays full until it is dropped, so the refusal stays true
  // without a record for this key.
  if (Claims.size() >= Limits.ClaimsPerEpoch)
    return refused(RefusalOutcome::NotRun, RefusalReason::Overloaded);
  Claims.emplace(Key, Claim());
  ++PendingCount;
  return {ClaimVerdict::Granted, nullptr};
}

ClaimDecision ClaimTable::lookUpAdopted(const IssuerToken &Token,
                                        const std::string &Key) const {
  const auto Found = AdoptedTables.find({Token.Host, Token.Incarnation});
  if (Found == AdoptedTables.end())
    return refused(RefusalOutcome::Unknown, RefusalReason::IssuerGone);
  const AdoptedTable &Table = Found->second;
  if (Token.Epoch < Table.OldestEpoch || Token.Epoch > Table.CurrentEpoch)
    return refused(RefusalOutcome::Unknown, RefusalReason::TokenExpired);
  const auto Epoch = Table.Claims.find(Token.Epoch);
  // The incarnation handed over all its claims and has stopped, so a key that
  // is missing here has not run and never will.
  if (Epoch == Table.Claims.end() || !Epoch->second.contains(Key))
    return refused(RefusalOutcome::NotRun, RefusalReason::IssuerGone);
  const AnswerPtr &Reply = Epoch->second.at(Key);
  if (!Reply)
    return refused(RefusalOutcome::Ran, RefusalReason::AnswerDropped);
  return {ClaimVerdict::Settled, Reply};
}

void ClaimTable::settle(const ClaimKey &Claim, const AnswerPtr &Reply) {
  const auto Epoch = Epochs.find(Claim.Epoch);
  if (Epoch == Epochs.end())
    return;
  const auto Found = Epoch->second.find(Claim.Key);
  if (Found == Epoch->second.end())
    return;
  if (!Found->second.Settled) {
    Found->second.Settled = true;
    --PendingCount;
    storeAnswer(Claim, Found->second, Reply);
    return;
  }
  if (isUnknown(Found->second.Reply) && !isUnknown(Reply))
    storeAnswer(Claim, Found->second, Reply);
}

void ClaimTable::storeAnswer(const ClaimKey &Key, Claim &Stored,
                             const AnswerPtr &Reply) {
  StoredBytes -= bytesOf(Stored.Reply);
  StoredBytes += bytesOf(Reply);
  Stored.Reply = Reply;
  if (!isUnknown(Reply))
    Settled(Key, Reply);
  // Only backend answers may be dropped: refusals are small, and callers rely
  // on their exact outcome.
  if (Reply && !outcomeOf(*Reply))
    AnswerOrder.push_back(Key);
  dropOldestAnswers();
}

void ClaimTable::dropOldestAnswers() {
  while (StoredBytes > Limits.AnswerBytes && !AnswerOrder.empty()) {
    const ClaimKey Oldest = AnswerOrder.front();
    AnswerOrder.pop_front();
    const auto Epoch = Epochs.find(Oldest.Epoch);
    if (Epoch == Epochs.end())
      continue;
    Claim &Dropped = Epoch->second.at(Oldest.Key);
    StoredBytes -= bytesOf(Dropped.Reply);
    Dropped.Reply = nullptr;
  }
}

void ClaimTable::expire(Instant Now) {
  const std::uint64_t Oldest = oldestEpochAt(Now);
  while (!Epochs.empty() && Epochs.begin()->first < Oldest) {
    for (const auto &[Key, Expired] : Epochs.begin()->second) {
      StoredBytes -= bytesOf(Expired.Reply);
      PendingCount -= Expired.Settled ? 0 : 1;
    }
    Epochs.erase(Epochs.begin());
  }
  while (!AnswerOrder.empty() && AnswerOrder.front().Epoch < Oldest)
    AnswerOrder.pop_front();
}

std::vector<Handover> ClaimTable::handovers(Instant Now) const {
  std::vector<Handover> Result{ownHandover(Now)};
  for (const auto &[Owner, Table] : AdoptedTables) {
    Handover Adopted{
        Owner.first, Owner.second, Table.CurrentEpoch, Table.OldestEpoch, {}};
    for (const auto &[Epoch, Claims] : Table.Claims)
      for (const auto &[Key, Reply] : Claims)
        Adopted.Claims.push_back({Epoch, Key, Reply});
    Result.push_back(std::move(Adopted));
  }
  return Result;
}

Handover ClaimTable::ownHandover(Instant Now) const {
  Handover Result;
  Result.From = Host;
  Result.Incarnation = Incarnation;
  Result.CurrentEpoch = epochAt(Now);
  Result.OldestEpoch = oldestEpochAt(Now);
  const AnswerPtr InterruptedReply = toAnswer(
      {RefusalOutcome::Unknown, RefusalReason::IssuerGone, Duration::zero()});
  for (const auto &[Epoch, Claims] : Epochs)
    for (const auto &[Key, Entry] : Claims)
      Result.Claims.push_back(
          {Epoch, Key, Entry.Settled ? Entry.Reply : InterruptedReply});
  return Result;
}

void ClaimTable::adopt(const Handover &Received) {
  const TableOwner Owner{Received.From, Received.Incarnation};
  if (!AdoptedTables.contains(Owner))
    AdoptionOrder.push_back(Owner);
  AdoptedTable &Table = AdoptedTables[Owner];
  Table.OldestEpoch = Received.OldestEpoch;
  Table.CurrentEpoch = Received.CurrentEpoch;
  for (const TransferredClaim &Claim : Received.Claims)
    Table.Claims[Claim.Epoch][Claim.Key] = Claim.Reply;
  while (AdoptionOrder.size() > MaxAdoptedTables) {
    AdoptedTables.erase(AdoptionOrder.front());
    AdoptionOrder.pop_front();
  }
}

std::size_t ClaimTable::size() const {
  std::size_t Count = 0;
  for (const auto &[Epoch, Claims] : Epochs)
    Count += Claims.size();
  return Count;
}

} // namespace mimosacart
