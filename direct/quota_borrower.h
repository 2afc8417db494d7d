/// \file
/// Tokens of one workspace that a host has borrowed, and the requests that wait
/// for more.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace mimosacart {

/// Keeps the leases, the waiting requests and the reserve of one workspace.
class QuotaBorrower {
public:
  struct WaitingRequest {
    RequestId Id;
    Instant Until{};
  };

  explicit QuotaBorrower(Instant Now) : DemandAt(Now), ReserveAt(Now) {}

  /// Counts a request, whether it will be admitted or not.
  void countDemand(Instant Now);
  /// Takes a token whose lease ends first.
  bool takeToken(Instant Now);
  std::uint32_t tokens(Instant Now);
  /// Tokens that this host needs, for the waiting requests and ahead.
  std::uint32_t wanted(Instant Now);
  /// Whether half of what was borrowed ahead is used.
  bool isLow(Instant Now);
  void addLease(Instant ExpiresAt, Instant ReturnAt, std::uint32_t Tokens);
  /// Takes out the tokens that are due to be returned.
  std::uint32_t takeReturns(Instant Now);
  /// Takes a request from the reserve, of which this host's part in a window is
  /// \p Part. The reserve starts empty, so that processes that follow each
  /// other do not use it twice.
  bool takeReserve(Instant Now, double Part, Duration Window);
  /// Whether nothing has to be kept.
  bool isIdle(Instant Now);
  /// When the next lease has to be returned or ends.
  Instant nextLeaseEvent() const;

  /// The request to the lender that is not answered yet.
  std::uint64_t AskNumber = 0;
  Instant AskedAt{};
  std::uint32_t Asked = 0;
  /// The lender expects no tokens for this host before this time.
  Instant DeniedUntil{};
  /// The lender said that it does not lend; it is asked again at this time.
  Instant NotLendingUntil{};
  std::deque<WaitingRequest> Waiting;
  /// For the log line of refusals.
  std::uint64_t RefusedSinceLog = 0;
  std::uint64_t AdmittedSinceLog = 0;
  Instant LoggedAt{};

private:
  struct Lease {
    Instant ExpiresAt{};
    Instant ReturnAt{};
    std::uint32_t Tokens = 0;
  };

  void expire(Instant Now);
  std::uint32_t ahead(Instant Now) const;

  std::deque<Lease> Leases;
  /// Requests per second, averaged.
  double Demand = 0;
  Instant DemandAt;
  double Reserve = 0;
  Instant ReserveAt;
};

} // namespace mimosacart
