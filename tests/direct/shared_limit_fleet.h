/// \file
/// Hosts under full pressure that share a server's limit, in virtual time.
#pragma once

#include "direct/server_constraints.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace mimosacart {

/// The limit that a server names from a time on; nothing if it names none.
struct LimitChange {
  Instant At{};
  std::optional<double> RequestsPerSecond;
};

/// A change of one host that the others notice later, each in its own time.
struct ViewChange {
  Instant At{};
  std::size_t Host = 0;
  bool IsThere = true;
  /// Only hosts of the other side notice a change that is due to a cut.
  bool IsCut = false;
  /// How much later each host notices it.
  std::vector<Duration> Delays;
};

/// What the hosts of a fleet sent to one server.
struct SharedLimitResult {
  /// Most requests above those that the rule allows, in any 4 s; negative if
  /// there were always fewer.
  double Excess = -1e9;
  /// Requests while the limit was in force, and those that it allowed then.
  double Sent = 0;
  double Allowed = 0;
};

/// Hosts that send to one server whenever their constraints allow it.
class SharedLimitFleet {
public:
  /// How long views of the fleet may differ after a change.
  static constexpr Duration MaxViewDelay = std::chrono::milliseconds(2500);

  SharedLimitFleet(std::size_t HostCount, std::uint64_t Seed);

  /// The server names \p Limit from \p At on. In order of time.
  void changeLimit(Duration At, std::optional<double> RequestsPerSecond);
  /// A process of the host ends and another starts.
  void restart(Duration At, std::size_t Host);
  void kill(Duration At, std::size_t Host);
  /// Adds a host that the others learn of.
  void join(Duration At);
  /// Cuts the hosts in \p Cut from all others. Excuses none of them.
  void cut(Duration From, Duration To, const std::vector<std::size_t> &Cut);
  /// Every host fails to reach a random part of the others throughout, drawn
  /// anew every 2 s.
  void overlook(double Part) { OverlookedPart = Part; }
  /// No host has requests in this time.
  void pause(Duration From, Duration To);

  std::size_t hostCount() const { return Hosts.size(); }
  SharedLimitResult run(Duration Length);

private:
  struct Host {
    std::uint64_t Address = 0;
    std::unique_ptr<ServerConstraints> Constraints;
    Instant StartsAt{};
    Instant EndsAt = Instant::max();
    std::vector<Instant> RestartsAt;
    bool IsCut = false;
    std::vector<std::pair<Instant, Instant>> Excused;
    /// When this host heard the limit of each change first.
    std::vector<Instant> HeardAt;
    bool IsProbing = false;
  };
  struct PendingAnswer {
    Instant At{};
    std::size_t Host = 0;
    bool IsProbe = false;
    std::size_t Process = 0;
  };

  FleetPosition findPosition(std::size_t Host) const;
  HostPosition findPositionAmong(std::size_t Host,
                                 const std::vector<bool> &Counted) const;
  /// Whether the present process of a host has found all others yet.
  bool knowsFleet(std::size_t Host) const;
  /// Draws which others each host cannot reach now because of overlook().
  void drawOverlooked();
  void drawViewDelays();
  Duration draw(Duration Min, Duration Max);
  /// Index of the last change before \p At; nothing if there was none.
  std::optional<std::size_t> findChange(Instant At) const;
  /// When the server began to name limits without a break until this change.
  Instant firstNamedAt(std::size_t Change) const;
  bool isPaused() const;
  void restartDue(std::size_t Index);
  void sendAll(std::size_t Index);
  void receiveAnswers();
  /// Whether the rule counts a request of this host that arrives now.
  bool counts(std::size_t Index) const;
  /// What the rule allows between two times that are at most 4 s apart.
  double allowedIn(Instant From, Instant To) const;
  /// \p OneLimitOnly ends windows where the limit changes, so that what was
  /// sent under a higher one excuses nothing.
  double findExcess(bool OneLimitOnly) const;
  double integrateLimit(Instant From, Instant To) const;
  std::size_t processOf(const Host &Of) const;

  std::mt19937_64 Random;
  Instant Start{std::chrono::hours(1)};
  Instant Now = Start;
  std::vector<Host> Hosts;
  std::vector<LimitChange> Limits;
  std::vector<ViewChange> ViewChanges;
  std::vector<std::pair<Instant, Instant>> Pauses;
  std::vector<PendingAnswer> Answers;
  std::vector<Instant> CountedArrivals;
  double Sent = 0;
  double OverlookedPart = 0;
  /// The others that each host cannot reach now because of overlook().
  std::vector<std::vector<bool>> Overlooked;
  Instant NextOverlookedAt = Start;
};

} // namespace mimosacart
