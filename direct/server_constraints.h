/// \file
/// Why, and until when, this host must not send requests to a server.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <optional>

namespace mimosacart {

/// What servers ask of this host, by their answers.
class ServerConstraints {
public:
  /// Records the limit that the server names, in requests a second from all
  /// hosts together; nothing if it names none. Returns whether it changed.
  bool setLimit(Instant Now, const ServerName &Server,
                std::optional<double> RequestsPerSecond);

private:
  std::map<ServerName, double> Limits;
};

} // namespace mimosacart
