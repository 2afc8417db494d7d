/// \file
/// Hosts that keep the quota of one workspace, in virtual time.
#pragma once

#include "direct/fleet_quotas.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace mimosacart {

/// A fleet whose messages take 1 to 3 ms. Hosts notice changes of the others
/// each in its own time, up to 2.5 s later, as views of the membership do.
class QuotaFleetModel {
public:
  QuotaFleetModel(std::size_t HostCount, WorkspaceQuota Quota,
                  std::uint64_t Seed);

  /// Advances time while callers send \p Rate requests a second, divided over
  /// the hosts by \p Weights, or over all equally if these are empty.
  void run(Duration Length, double Rate,
           const std::vector<double> &Weights = {});
  void setQuota(WorkspaceQuota NewQuota);
  void kill(std::size_t Host);
  void freeze(std::size_t Host, Duration Length);
  /// All processes end and start again.
  void restartAll();
  void add();
  /// A planned stop; the host goes on answering.
  void leave(std::size_t Host);
  /// Loses messages from hosts to others; the hosts notice it.
  void cut(std::function<bool(std::size_t From, std::size_t To)> IsCut);

  std::size_t lender() const;
  double rate() const { return Quota.RequestsPerSecond; }
  /// Most requests above the bound in any window from \p From on.
  double excess(Instant From) const;
  std::size_t admittedSince(Instant From) const;
  Instant now() const { return Now; }
  /// Most bytes that one host has sent since the last call.
  std::uint64_t takeMostBytes();

  /// Part of all messages that is lost.
  double Loss = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Refused = 0;
  Duration ShortestRetryAfter = Duration::max();

private:
  struct Host {
    explicit Host(std::string Address) : Address(std::move(Address)) {}
    std::string Address;
    std::uint64_t Bytes = 0;
    std::unique_ptr<FleetQuotas> Quotas;
    Instant FrozenUntil{};
    Instant KnowsAllAt{};
    bool Down = false;
    bool Leaving = false;
    bool ViewChanged = true;
    /// Which hosts this one counts as serving.
    std::vector<bool> Sees;
  };
  struct Event {
    Instant At{};
    std::uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  void start(std::size_t Index);
  void send(std::size_t From, const std::string &To, const PeerBody &Body);
  void deliver(std::size_t From, std::size_t To, const PeerBody &Body);
  void at(Instant Time, std::function<void()> Run);
  Duration draw(int MinMs, int MaxMs);
  /// Hosts notice within \p MinMs to \p MaxMs how \p Subject is now.
  void notice(std::size_t Subject, int MinMs, int MaxMs);
  void updateView(Host &Viewer);
  bool isReachable(std::size_t Viewer, std::size_t Subject) const;
  void request(std::size_t Index);
  void step();

  WorkspaceQuota Quota;
  std::mt19937_64 Random;
  Instant Now{std::chrono::hours(1)};
  std::vector<Host> Hosts;
  std::priority_queue<Event> Events;
  std::uint64_t LastOrder = 0;
  std::uint64_t LastId = 0;
  std::function<bool(std::size_t, std::size_t)> IsCut;
  std::vector<Instant> Admissions;
};

} // namespace mimosacart
