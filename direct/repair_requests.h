/// \file
/// Requests of a host to peers for rows, or for a confirmation, that it lacks.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace mimosacart {

/// Peers that can be asked for the rows of a table.
struct RepairSources {
  /// Reachable peers in this host's data centre, and elsewhere.
  std::vector<HostName> Local;
  std::vector<HostName> Remote;
};

/// Why a host asks its peers.
enum class RepairReason : std::uint8_t {
  /// It has no rows.
  Empty,
  /// Its rows are of an earlier era, so that it lacks the whole table.
  EarlierEra,
  /// It knows of a version that it lacks.
  Behind,
  /// It has had no confirmation that its rows are up to date.
  Unconfirmed,
};

/// The open request for one table, and whom to ask next. A peer that does not
/// answer, or does not know more, is followed by another one soon: peers of the
/// own data centre, which cost least, take turns with peers elsewhere, since
/// all hosts of a data centre may lack the same message.
class RepairRequests {
public:
  /// How long an answer is awaited before the next peer is asked.
  static constexpr Duration AnswerTimeout = std::chrono::milliseconds(150);
  /// The same after PromptAttempts requests: for a version that is known to
  /// exist, and for a confirmation, which no peer may have.
  static constexpr Duration LongAnswerTimeout = std::chrono::milliseconds(600);
  static constexpr Duration ConfirmationPause = std::chrono::milliseconds(2400);
  static constexpr unsigned PromptAttempts = 4;
  /// The same for a whole table.
  static constexpr Duration WholeTableTimeout = std::chrono::milliseconds(800);

  bool isDue(Instant Now) const { return Now >= NextAt; }
  /// Begins anew; the first peer is asked at \p At or later.
  void restart(Instant At);
  /// Same as restart(), but an earlier request remains due, and the answer to
  /// the open one is awaited.
  void bringForward(Instant At);
  /// Returns whom to ask now, which counts as asked. \p Newer is a peer that is
  /// known to have the version that is lacking. Returns nothing if there is no
  /// peer.
  std::optional<HostName> next(Instant Now, RepairReason Reason,
                               const RepairSources &Sources,
                               const std::optional<HostName> &Newer,
                               std::mt19937 &Random);
  /// Takes rows from \p From. Returns whether its answer was awaited.
  bool onRows(const HostName &From);
  /// The awaited answer did not help: the next peer is due at once.
  void onVain(Instant Now);

  /// The peer whose answer is awaited.
  const std::optional<HostName> &asked() const { return Asked; }
  /// Requests since restart().
  unsigned attempts() const { return Attempts; }
  /// Answers since restart() that did not help.
  unsigned vainAnswers() const { return VainAnswers; }
  /// Requests so far, and those without an answer when the next was sent.
  std::uint64_t sent() const { return Sent; }
  std::uint64_t unanswered() const { return Unanswered; }

private:
  std::optional<HostName> choose(RepairReason Reason,
                                 const RepairSources &Sources,
                                 const std::optional<HostName> &Newer,
                                 std::mt19937 &Random) const;
  Duration answerTimeout(RepairReason Reason) const;

  Instant NextAt{};
  std::optional<HostName> Asked;
  unsigned Attempts = 0;
  unsigned VainAnswers = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Unanswered = 0;
};

} // namespace mimosacart
