#include "daemon/claim_archive.h"

#include "wire/peer_codec.h"

namespace mimosacart {

namespace {

/// Number of segments of departed hosts that are kept in memory.
constexpr std::size_t MaxCachedSegments = 512;

/// Answer to a claim whose request ran but whose answer was not recorded.
AnswerPtr makeRanAnswer() {
  return toAnswer({RefusalOutcome::Ran, RefusalReason::AnswerDropped, {}});
}

} // namespace

void ClaimArchive::writeSegment(
    const HostName &Host, IncarnationId Incarnation,
    const JournalSegment &Segment,
    const std::function<void(bool Written)> &Callback) {
  const std::string Name =
      segmentName(Host, Incarnation, Segment.Epoch, Segment.Number);
  Platform.writeObject(Name, encodeClaims(Segment.Claims),
                       [Callback](const PlatformResult<void> &Result) {
                         Callback(Result.has_value());
                       });
}

void ClaimArchive::findAnswer(const IssuerToken &Token, const std::string &Key,
                              FoundHook Callback) {
  Lookups.push_back({Token, Key, std::move(Callback), Token.Epoch, 0});
  if (!LookupRunning)
    startNext();
}

void ClaimArchive::startNext() {
  LookupRunning = !Lookups.empty();
  if (LookupRunning)
    readNextSegment();
}

void ClaimArchive::readNextSegment() {
  const Lookup &Current = Lookups.front();
  const std::string Name =
      segmentName(Current.Token.Host, Current.Token.Incarnation, Current.Epoch,
                  Current.Number);
  const auto Cached = Cache.find(Name);
  if (Cached != Cache.end()) {
    onSegment(Cached->second);
    return;
  }
  Platform.readNamed(Name, [this,
                            Name](const PlatformResult<std::string> &Result) {
    if (Result.has_error() && Result.error() == PlatformError::NotFound) {
      onEndOfEpoch();
      return;
    }
    if (Result.has_error()) {
      finishLookup(nullptr);
      return;
    }
    auto Decoded = decodeClaims(Result.value());
    if (Decoded.has_error()) {
      finishLookup(nullptr);
      return;
    }
    const auto Segment = std::make_shared<const std::vector<TransferredClaim>>(
        std::move(Decoded.value()));
    cacheSegment(Name, Segment);
    onSegment(Segment);
  });
}

void ClaimArchive::onSegment(const ClaimsPtr &Segment) {
  Lookup &Current = Lookups.front();
  for (const TransferredClaim &Claim : *Segment) {
    if (Claim.Epoch != Current.Token.Epoch || Claim.Key != Current.Key)
      continue;
    finishLookup(Claim.Reply ? Claim.Reply : makeRanAnswer());
    return;
  }
  ++Current.Number;
  readNextSegment();
}

void ClaimArchive::onEndOfEpoch() {
  Lookup &Current = Lookups.front();
  ++Current.Epoch;
  Current.Number = 0;
  if (Current.Epoch > Current.Token.Epoch + JournalEpochSpan) {
    finishLookup(nullptr);
    return;
  }
  readNextSegment();
}

void ClaimArchive::finishLookup(const AnswerPtr &Reply) {
  const Lookup Finished = std::move(Lookups.front());
  Lookups.pop_front();
  Finished.Callback(Reply);
  startNext();
}

void ClaimArchive::cacheSegment(const std::string &Name, ClaimsPtr Segment) {
  Cache[Name] = std::move(Segment);
  CacheOrder.push_back(Name);
  if (CacheOrder.size() <= MaxCachedSegments)
    return;
  Cache.erase(CacheOrder.front());
  CacheOrder.pop_front();
}

} // namespace mimosacart
