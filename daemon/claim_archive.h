/// \file
/// Claim journals in the platform's object store.
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

/// Writes segments of this host and reads those of hosts that are gone.
class ClaimArchive {
public:
  /// Told the recorded answer, or null if there is none.
  using FoundHook = std::function<void(const AnswerPtr &)>;

  explicit ClaimArchive(PlatformClient &Platform) : Platform(Platform) {}

  void write(const HostName &Host, IncarnationId Incarnation,
             const JournalSegment &Segment,
             const std::function<void(bool Written)> &Done);

  /// Looks \p Key up in the journal of the incarnation in \p Token.
  void find(const IssuerToken &Token, const std::string &Key, FoundHook Done);

private:
  struct LookUp {
    IssuerToken Token;
    std::string Key;
    FoundHook Done;
    std::uint64_t Epoch = 0;
    std::uint64_t Number = 0;
  };
  using Claims = std::shared_ptr<const std::vector<TransferredClaim>>;

  void startNext();
  void step();
  void onSegment(const Claims &Segment);
  void onEndOfEpoch();
  void finish(const AnswerPtr &Reply);
  void remember(const std::string &Name, Claims Segment);

  PlatformClient &Platform;
  /// One look-up at a time reads the store, so that the many that follow the
  /// loss of a host share what it read.
  std::deque<LookUp> Waiting;
  bool Busy = false;
  std::map<std::string, Claims> Cache;
  std::deque<std::string> CacheOrder;
};

} // namespace mimosacart
