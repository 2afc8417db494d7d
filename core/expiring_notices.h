/// \file
/// Short-lived notices that are shared among all entry hosts: backend servers
/// that are leaving, and requests suspected of crashing servers.
#pragma once

#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace mimosacart {

/// How long notices stay valid.
struct NoticeLifetimes {
  /// Time after which a drain expires unless a host observes it again.
  Duration DrainLifetime = std::chrono::seconds(30);
  /// Time during which a crash counts against the request's fingerprint.
  Duration CrashLifetime = std::chrono::seconds(60);
  /// Reports of a server's end that come within this time are of the same end.
  /// Zero where only one host reports each.
  Duration SameEndInterval{};
};

/// Returns a hash of what a request asks for. Requests that differ only in
/// their idempotency key have the same fingerprint.
std::uint64_t fingerprintOf(std::string_view Service, std::string_view Kind,
                            std::string_view Target, std::string_view Body);

/// The notices that this host currently holds.
class ExpiringNotices {
public:
  explicit ExpiringNotices(NoticeLifetimes Lifetimes) : Lifetimes(Lifetimes) {}

  /// Records whether \p Server is draining, as observed by this host, and
  /// renews the lifetime of a drain that is already known. Returns whether the
  /// known state changed.
  bool setDraining(Instant Now, const ServerName &Server, bool Draining);
  /// Records a crash observed by this host and returns the notice for the other
  /// hosts.
  CrashNotice addCrash(Instant Now, std::uint64_t Fingerprint,
                       const ServerName &Server, std::uint64_t EventId);

  /// Merges a notice received from a peer. Returns whether its version was
  /// newer or it changed the known drain state.
  bool mergeDrain(Instant Now, const DrainNotice &Received);
  /// Merges a notice received from a peer. Returns whether the crash was not
  /// known before, or not excused.
  bool mergeCrash(Instant Now, const CrashNotice &Received);

  /// Whether mergeCrash() may change anything: the notice has not expired and
  /// is not known, or not as excused.
  bool isNews(const CrashNotice &Received) const;

  bool isDraining(Instant Now, const ServerName &Server) const;
  /// Number of unexpired crashes that the request with \p Fingerprint is
  /// suspected of. Several hosts may report the same end of a server.
  std::size_t crashCount(Instant Now, std::uint64_t Fingerprint) const;

  /// Stops counting the crashes known for \p Fingerprint, because a server has
  /// run such a request to its end. They are kept, so that all hosts learn it.
  /// Returns those that were counted until now.
  std::vector<CrashNotice> excuseCrashes(Instant Now,
                                         std::uint64_t Fingerprint);
  /// Extends the lifetime of the crashes known for \p Fingerprint to its full
  /// length, because requests with it keep coming.
  void renewCrashes(Instant Now, std::uint64_t Fingerprint);

  /// Drops expired notices and returns the servers whose drain has expired.
  std::vector<ServerName> expire(Instant Now);

  std::vector<DrainNotice> drains(Instant Now) const;
  std::vector<CrashNotice> crashes(Instant Now) const;
  /// The crashes that crashCount() counts, before those of the same end are
  /// taken for one.
  std::vector<CrashNotice> countedCrashes(Instant Now,
                                          std::uint64_t Fingerprint) const;
  /// Digest of the notices; equal on hosts that hold the same ones, whatever
  /// their remaining lifetimes.
  std::uint64_t digest() const;

private:
  struct Drain {
    std::uint64_t Version = 0;
    bool Draining = false;
    Instant ExpiresAt{};
  };
  struct CrashKey {
    std::uint64_t Fingerprint = 0;
    ServerName Server;
    std::uint64_t EventId = 0;

    friend auto operator<=>(const CrashKey &, const CrashKey &) = default;
  };

  const NoticeLifetimes Lifetimes;
  std::map<ServerName, Drain> Drains;
  struct Crash {
    Instant ExpiresAt{};
    Instant SeenAt{};
    /// Whether the request is no longer suspected of it.
    bool Excused = false;
  };

  std::map<CrashKey, Crash> Crashes;
  /// Result of digest(); empty after a change.
  mutable std::optional<std::uint64_t> Digest;
};

} // namespace mimosacart
