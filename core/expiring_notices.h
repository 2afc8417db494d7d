/// \file
/// Short-lived facts that every entry host should know: backend servers that
/// are leaving, and requests suspected of crashing servers.
#pragma once

#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace mimosacart {

/// How long notices are believed.
struct NoticeLifetimes {
  /// A drain that nobody repeats is forgotten after this.
  Duration DrainLifetime = std::chrono::seconds(30);
  /// Crashes older than this do not count against a fingerprint.
  Duration CrashLifetime = std::chrono::seconds(60);
};

/// Identifies what a request asks for, whatever its key.
std::uint64_t fingerprintOf(std::string_view Service, std::string_view Kind,
                            std::string_view Target, std::string_view Body);

/// The set of notices that this host believes.
class ExpiringNotices {
public:
  explicit ExpiringNotices(NoticeLifetimes Lifetimes) : Lifetimes(Lifetimes) {}

  /// Records whether this host saw \p Server leaving; true if it was news.
  bool setDraining(Instant Now, const ServerName &Server, bool Draining);
  /// Records a crash seen by this host and returns the notice to broadcast.
  CrashNotice addCrash(Instant Now, std::uint64_t Fingerprint,
                       const ServerName &Server, std::uint64_t EventId);

  /// Merges what a peer told; true if anything was news.
  bool mergeDrain(Instant Now, const DrainNotice &Received);
  bool mergeCrash(Instant Now, const CrashNotice &Received);

  bool isDraining(Instant Now, const ServerName &Server) const;
  /// Crashes within the lifetime that \p Fingerprint is suspected of.
  std::size_t crashCount(Instant Now, std::uint64_t Fingerprint) const;

  /// Drops what is no longer believed; returns servers whose drain ran out.
  std::vector<ServerName> expire(Instant Now);

  std::vector<DrainNotice> drains(Instant Now) const;
  std::vector<CrashNotice> crashes(Instant Now) const;
  /// Digest of the notices, equal on hosts that believe the same.
  std::uint64_t digest() const;

private:
  struct Drain {
    std::uint64_t Version = 0;
    bool Draining = false;
    Instant Until{};
  };
  struct CrashKey {
    std::uint64_t Fingerprint = 0;
    ServerName Server;
    std::uint64_t EventId = 0;

    friend auto operator<=>(const CrashKey &, const CrashKey &) = default;
  };

  const NoticeLifetimes Lifetimes;
  std::map<ServerName, Drain> Drains;
  std::map<CrashKey, Instant> CrashesUntil;
};

} // namespace mimosacart
