#include "daemon/claim_archive.h"

#include "wire/peer_codec.h"

namespace mimosacart {

namespace {

/// Segments of departed hosts that are kept in memory.
constexpr std::size_t CacheSegments = 512;

AnswerPtr makeRanAnswer() {
  return toAnswer({RefusalOutcome::Ran, RefusalReason::AnswerDropped, {}});
}

} // namespace

void ClaimArchive::write(const HostName &Host, IncarnationId Incarnation,
                         const JournalSegment &Segment,
                         const std::function<void(bool Written)> &Done) {
  const std::string Name =
      segmentName(Host, Incarnation, Segment.Epoch, Segment.Number);
  Platform.writeObject(
      Name, encodeClaims(Segment.Claims),
      [Done](const PlatformResult<void> &Result) { Done(Result.has_value()); });
}

void ClaimArchive::find(const IssuerToken &Token, const std::string &Key,
                        FoundHook Done) {
  Waiting.push_back({Token, Key, std::move(Done), Token.Epoch, 0});
  if (!Busy)
    startNext();
}

void ClaimArchive::startNext() {
  Busy = !Waiting.empty();
  if (Busy)
    step();
}

void ClaimArchive::step() {
  const LookUp &Current = Waiting.front();
  const std::string Name =
      segmentName(Current.Token.Host, Current.Token.Incarnation, Current.Epoch,
                  Current.Number);
  const auto Known = Cache.find(Name);
  if (Known != Cache.end()) {
    onSegment(Known->second);
    return;
  }
  Platform.readNamed(Name, [this,
                            Name](const PlatformResult<std::string> &Result) {
    if (Result.has_error() && Result.error() == PlatformError::NotFound) {
      onEndOfEpoch();
      return;
    }
    if (Result.has_error()) {
      finish(nullptr);
      return;
    }
    auto Decoded = decodeClaims(Result.value());
    if (Decoded.has_error()) {
      finish(nullptr);
      return;
    }
    const auto Segment = std::make_shared<const std::vector<TransferredClaim>>(
        std::move(Decoded.value()));
    remember(Name, Segment);
    onSegment(Segment);
  });
}

void ClaimArchive::onSegment(const Claims &Segment) {
  LookUp &Current = Waiting.front();
  for (const TransferredClaim &Claim : *Segment) {
    if (Claim.Epoch != Current.Token.Epoch || Claim.Key != Current.Key)
      continue;
    finish(Claim.Reply ? Claim.Reply : makeRanAnswer());
    return;
  }
  ++Current.Number;
  step();
}

void ClaimArchive::onEndOfEpoch() {
  LookUp &Current = Waiting.front();
  ++Current.Epoch;
  Current.Number = 0;
  if (Current.Epoch > Current.Token.Epoch + JournalEpochSpan) {
    finish(nullptr);
    return;
  }
  step();
}

void ClaimArchive::finish(const AnswerPtr &Reply) {
  const LookUp Ended = std::move(Waiting.front());
  Waiting.pop_front();
  Ended.Done(Reply);
  startNext();
}

void ClaimArchive::remember(const std::string &Name, Claims Segment) {
  Cache[Name] = std::move(Segment);
  CacheOrder.push_back(Name);
  if (CacheOrder.size() <= CacheSegments)
    return;
  Cache.erase(CacheOrder.front());
  CacheOrder.pop_front();
}

} // namespace mimosacart
