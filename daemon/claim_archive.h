/// \file
/// Reads and writes claim journals in the platform's object store.
#pragma once

#include "core/claim_journal.h"
#include "core/issuer_token.h"
#include "platform/platform_client.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosacart {

/// Writes journal segments of this host and looks up claims in the segments of
/// hosts that are gone.
class ClaimArchive {
public:
  /// Called with the recorded answer, or null if none was found or the journal
  /// could not be read.
  using FoundHook = std::function<void(const AnswerPtr &)>;

  explicit ClaimArchive(PlatformClient &Platform) : Platform(Platform) {}

  /// Writes one segment of the journal of \p Host in \p Incarnation.
  void writeSegment(const HostName &Host, IncarnationId Incarnation,
                    const JournalSegment &Segment,
                    const std::function<void(bool Written)> &Callback);

  /// Looks up \p Key in the journal of the host and incarnation named in
  /// \p Token.
  void findAnswer(const IssuerToken &Token, const std::string &Key,
                  FoundHook Callback);

private:
  struct Lookup {
    IssuerToken Token;
    std::string Key;
    FoundHook Callback;
    /// The segment to read next.
    std::uint64_t Epoch = 0;
    std::uint64_t Number = 0;
  };
  using ClaimsPtr = std::shared_ptr<const std::vector<TransferredClaim>>;

  /// Starts the next waiting lookup, if there is one.
  void startNext();
  /// Reads the next segment of the current lookup.
  void readNextSegment();
  /// Searches a segment for the current lookup's claim.
  void onSegment(const ClaimsPtr &Segment);
  /// Continues with the first segment of the next epoch, or ends the lookup.
  void onEndOfEpoch();
  void finishLookup(const AnswerPtr &Reply);
  void cacheSegment(const std::string &Name, ClaimsPtr Segment);

  PlatformClient &Platform;
  /// Pending lookups. Only the first one reads from the platform, so that the
  /// many lookups that follow the loss of a host share the cached segments.
  std::deque<Lookup> Lookups;
  bool LookupRunning = false;
  /// Segments by name.
  std::map<std::string, ClaimsPtr> Cache;
  /// Names of the cached segments, oldest first.
  std::deque<std::string> CacheOrder;
};

} // namespace mimosacart
