/// \file
/// Which of the requests that wait for a server at this host gets the next free
/// slot, and how long refused callers of a workspace should stay away.
#pragma once

#include "direct/flow_types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace mimosacart {

/// Counts what each workspace has sent to a service and keeps the requests that
/// wait for it. Requests go by priority, then by the least recent use of their
/// workspace relative to its weight (max-min fairness), then by age. The weight
/// is the rate of the workspace's quota, or 1.
class FairShare {
public:
  /// Records that a request is sent. Its workspace's use grows by 1 and halves
  /// every few seconds.
  void recordSend(Instant Now, const FlowRequest &Request);

  /// Adds a request that waits for a server, unless it is known.
  void addWaiting(Instant Now, const FlowRequest &Request);
  void removeWaiting(Instant Now, const FlowRequest &Request);
  bool hasWaiting(const ServiceName &Service) const;

  /// Returns the first of the waiting requests of its service that go before
  /// \p Request and fulfil \p CanUse. At most a fixed number of them is tried.
  std::optional<RequestId>
  findBefore(const FlowRequest &Request,
             const std::function<bool(RequestId)> &CanUse) const;

  /// Returns how long a request has to wait at the pace at which requests of
  /// its service were sent since the first of them began to wait; zero if that
  /// is not known or no request goes before it. Duration::max() if none was
  /// sent.
  Duration expectedWait(Instant Now, const FlowRequest &Request) const;

  /// Returns the recent use of the request's workspace relative to its share of
  /// all recent use of the service; at least 1.
  double excessUse(const FlowRequest &Request) const;

  /// Number of workspaces whose use is kept, summed over services.
  std::size_t accounts() const { return AccountCount; }

private:
  /// Recent use, in units that grow with time so that no decay needs to be
  /// computed for comparisons.
  struct Account {
    double Use = 0;
    double Weight = 1;
    std::size_t Waiting = 0;
  };
  struct Waiter {
    unsigned Priority = 0;
    Instant Arrived{};
    std::string Workspace;
  };
  struct Service {
    std::unordered_map<std::string, Account> Accounts;
    std::map<RequestId, Waiter> Waiting;
    double TotalUse = 0;
    double TotalWeight = 0;
    /// When requests began to wait, and the number sent since.
    Instant ShortSince{};
    double SentWhileShort = 0;
  };
  /// Position in the order; lower ones go first.
  struct Rank;

  static std::string workspaceOf(const FlowRequest &Request);
  static Rank rankOf(const Service &State, RequestId Id, const Waiter &Entry);
  static Waiter makeWaiter(const FlowRequest &Request);
  Account &findAccount(Service &State, const FlowRequest &Request);
  const Service *findService(const FlowRequest &Request) const;
  /// Value that one request adds to the use at \p Now.
  double unit(Instant Now);
  void evict();

  std::map<ServiceName, Service> Services;
  std::size_t AccountCount = 0;
  /// Time at which one request counts 1.
  Instant UnitTime{};
};

} // namespace mimosacart
