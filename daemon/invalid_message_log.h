/// \file
/// Logs the messages that ended their exchange because they are invalid.
#pragma once

#include "daemon/event_log.h"
#include "net/http_message.h"

namespace mimosacart {

/// Returns a hook that logs to \p Log, which must outlive it; \p From names the
/// kind of peer.
inline InvalidMessageHook logInvalidMessages(EventLog &Log, const char *From) {
  return [&Log, From](const std::string &Peer, const MessageError &Error) {
    Log.error("message_invalid",
              {{"from", From}, {"peer", Peer}, {"why", Error.Reason}});
  };
}

} // namespace mimosacart
