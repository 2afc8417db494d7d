#include "core/peer_messages.h"

#include <array>

namespace mimosacart {

const char *toString(MemberStatus Value) {
  switch (Value) {
  case MemberStatus::Alive:
    return "alive";
  case MemberStatus::Suspect:
    return "suspect";
  case MemberStatus::Dead:
    return "dead";
  case MemberStatus::Left:
    return "left";
  }
  return "dead";
}

const char *toString(StoreTable Value) {
  return Value == StoreTable::Routes ? "routes" : "servers";
}

const char *nameOf(const PeerBody &Body) {
  static constexpr std::array<const char *, std::variant_size_v<PeerBody>>
      Names = {"ping",
               "ack",
               "ping_request",
               "soft_state",
               "load_report",
               "forwarded_attempt",
               "attempt_answer",
               "cancel_forwarded",
               "work_wanted",
               "claim_call",
               "claim_answer",
               "handover",
               "handover_ack",
               "configuration_request",
               "configuration_bytes",
               "crash_report",
               "crash_report_ack",
               "attempt_answer_ack",
               "table_request",
               "table_rows",
               "view_summary",
               "quota_request",
               "quota_grant"};
  return Names[Body.index()];
}

} // namespace mimosacart
