#include "direct/repair_requests.h"

#include <algorithm>

namespace mimosacart {

namespace {

std::optional<HostName> pick(const std::vector<HostName> &Hosts,
                             std::mt19937 &Random) {
  if (Hosts.empty())
    return std::nullopt;
  return Hosts[std::uniform_int_distribution<std::size_t>(0, Hosts.size() -
                                                                 1)(Random)];
}

} // namespace

void RepairRequests::restart(Instant At) {
  NextAt = At;
  Asked.reset();
  Attempts = 0;
  VainAnswers = 0;
}

void RepairRequests::bringForward(Instant At) {
  NextAt = std::min(NextAt, At);
  Attempts = 0;
  VainAnswers = 0;
}

std::optional<HostName>
RepairRequests::choose(RepairReason Reason, const RepairSources &Sources,
                       const std::optional<HostName> &Newer,
                       std::mt19937 &Random) const {
  const bool NewerIsLocal =
      Newer && std::find(Sources.Local.begin(), Sources.Local.end(), *Newer) !=
                   Sources.Local.end();
  // Many rows cost much between data centres.
  const bool AskNewerFirst = Reason == RepairReason::EarlierEra ||
                             (Reason == RepairReason::Behind && NewerIsLocal);
  const bool AsksNewer = Attempts == 0 ? AskNewerFirst : Attempts == 1;
  if (AsksNewer && Newer)
    return Newer;
  const bool PrefersLocal = Attempts % 2 == 0;
  if (auto Peer = pick(PrefersLocal ? Sources.Local : Sources.Remote, Random))
    return Peer;
  if (Newer)
    return Newer;
  return pick(PrefersLocal ? Sources.Remote : Sources.Local, Random);
}

Duration RepairRequests::answerTimeout(RepairReason Reason) const {
  if (Reason == RepairReason::Empty || Reason == RepairReason::EarlierEra)
    return WholeTableTimeout;
  if (Attempts < PromptAttempts)
    return AnswerTimeout;
  return Reason == RepairReason::Behind ? LongAnswerTimeout : ConfirmationPause;
}

std::optional<HostName> RepairRequests::next(
    Instant Now, RepairReason Reason, const RepairSources &Sources,
    const std::optional<HostName> &Newer, std::mt19937 &Random) {
  std::optional<HostName> Target = choose(Reason, Sources, Newer, Random);
  if (!Target)
    return std::nullopt;
  Unanswered += Asked ? 1 : 0;
  Asked = Target;
  ++Attempts;
  ++Sent;
  NextAt = Now + answerTimeout(Reason);
  return Target;
}

bool RepairRequests::onRows(const HostName &From) {
  if (Asked != From)
    return false;
  Asked.reset();
  return true;
}

void RepairRequests::onVain(Instant Now) {
  ++VainAnswers;
  if (Attempts < PromptAttempts)
    NextAt = std::min(NextAt, Now);
}

} // namespace mimosacart
