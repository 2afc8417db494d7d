/// \file
/// Timing and size limits of TableSync.
#pragma once

#include "core/time.h"

#include <cstddef>

namespace mimosacart {

/// Timing and size limits of TableSync.
///
/// From the acknowledgement of a change to the last host, the waits of a host
/// add up to less than the strictest bound on it, 2 s, whatever is lost on the
/// way, and do not grow with the fleet: a host whose rows have not been
/// confirmed for ConfirmationWait asks one peer after the other, and after
/// ReadWait it reads the store.
struct TableSyncTimes {
  /// A host asks a peer after this long without a confirmation that its rows
  /// are up to date. Without a loss, one comes within a second.
  Duration ConfirmationWait = std::chrono::milliseconds(1250);
  /// A host that is not among the first ReaderCandidates by rank reads the
  /// store itself after this long, and up to ReadWaitSpread later by its rank.
  Duration ReadWait = std::chrono::milliseconds(1600);
  Duration ReadWaitSpread = std::chrono::milliseconds(100);
  /// The same for a host whose peers answer that they have no later
  /// confirmation either: all hosts lack one, and the candidates read the store
  /// for them.
  Duration FleetReadWait = std::chrono::milliseconds(2000);
  Duration FleetReadWaitSpread = std::chrono::milliseconds(400);
  /// Number of such answers.
  unsigned FleetAnswers = 2;
  /// The first hosts by rank read the store in time to confirm it to the
  /// others: the backup reader after this time, the candidates that follow it
  /// one after the other.
  Duration BackupReadWait = std::chrono::milliseconds(1150);
  Duration CandidateReadWait = std::chrono::milliseconds(1300);
  Duration CandidateInterval = std::chrono::milliseconds(25);
  std::size_t ReaderCandidates = 8;
  /// A host that learns of a later version requests its rows from a peer after
  /// the first time and reads the store itself after the second one.
  Duration RequestAfter = std::chrono::milliseconds(800);
  Duration UpdateTimeout = std::chrono::milliseconds(450);
  /// The same two in a fleet so large that peers forward updates to each other.
  /// A host asks a peer before it reads the store.
  Duration LargeFleetRequestAfter = std::chrono::milliseconds(400);
  Duration LargeFleetUpdateTimeout = std::chrono::milliseconds(900);
  /// Larger updates are broadcast in parts.
  std::size_t MaxUpdateBytes = 16U << 10U;
  /// An update with a larger row is broadcast without its rows: forwarding it
  /// takes longer than it takes each host to read the store.
  std::size_t MaxRowBytes = 64U << 10U;
  /// The backup reader broadcasts changes that it read from the store unless
  /// the primary reader, which may have lost the store, does so within this
  /// time.
  Duration BackupSendDelay = std::chrono::milliseconds(200);
  /// The same where updates are forwarded, which takes longer.
  Duration LargeFleetBackupSendDelay = std::chrono::milliseconds(500);
  /// One of the ReaderCandidates that read the store because confirmations were
  /// missing keeps reading for at least this long.
  Duration MinReadTime = std::chrono::seconds(2);
  /// Longest pause between calls to a store that does not answer, for the
  /// ReaderCandidates.
  Duration ShortRetryPause = std::chrono::milliseconds(800);
  /// The same for all other hosts. It grows with the fleet, so that the calls
  /// of all hosts together do not. A candidate that reaches the store again
  /// tells them.
  Duration LongRetryPause = std::chrono::seconds(2);
  Duration LongRetryPausePerHost = std::chrono::milliseconds(35);
  /// A host whose rows are of an earlier era requests the whole table from a
  /// peer that has it after this time, and reads the store itself after the
  /// second one. Both grow by up to EraSpread with the rank of the host, so
  /// that the fleet does not ask all at once.
  Duration EraRequestAfter = std::chrono::milliseconds(200);
  Duration EraUpdateTimeout = std::chrono::milliseconds(1000);
  Duration EraSpread = std::chrono::milliseconds(200);
  /// A host whose call found that the store's changes do not continue its rows
  /// reads the whole table after this time, unless it has come from a peer. The
  /// primary reader reads it at once. Both times grow by up to WholeReadSpread
  /// with the rank of the host.
  Duration BackupWholeReadDelay = std::chrono::milliseconds(300);
  Duration WholeReadDelay = std::chrono::milliseconds(50);
  Duration WholeReadSpread = std::chrono::milliseconds(50);
  /// The same for a host whose earlier calls failed. All hosts may have lost
  /// the store with it, and the first to read the table sends it to the others.
  Duration OutageWholeReadDelay = std::chrono::milliseconds(600);
  Duration OutageWholeReadSpread = std::chrono::milliseconds(1500);
  /// Time after the start in which a host discovers its peers.
  Duration DiscoveryTime = std::chrono::milliseconds(1200);
  /// Time after the start in which a host that knows no peer of its data centre
  /// does not request tables from elsewhere.
  Duration LocalPeerTime = std::chrono::milliseconds(50);
  /// Time after the start in which a host waits for the tables of a peer before
  /// it reads them from the store.
  Duration PeerTableTime = std::chrono::milliseconds(100);
};

} // namespace mimosacart
