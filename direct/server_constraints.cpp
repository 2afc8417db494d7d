#include "direct/server_constraints.h"

namespace mimosacart {

bool ServerConstraints::setLimit(Instant /*Now*/, const ServerName &Server,
                                 std::optional<double> RequestsPerSecond) {
  if (!RequestsPerSecond)
    return Limits.erase(Server) > 0;
  const auto [Position, Added] = Limits.try_emplace(Server, *RequestsPerSecond);
  const bool Changed = Added || Position->second != *RequestsPerSecond;
  Position->second = *RequestsPerSecond;
  return Changed;
}

} // namespace mimosacart
