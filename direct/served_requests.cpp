#include "direct/served_requests.h"

#include <utility>

namespace mimosacart {

void ServedRequests::record(Instant Now, std::uint64_t Fingerprint) {
  if (Now - CurrentSince >= Lifetime || Current.size() >= MaxRequests) {
    Previous = std::exchange(Current, {});
    CurrentSince = Now;
  }
  Current[Fingerprint] = Now;
}

std::optional<Instant>
ServedRequests::lastServed(std::uint64_t Fingerprint) const {
  for (const TimesByFingerprint *Times : {&Current, &Previous}) {
    const auto Found = Times->find(Fingerprint);
    if (Found != Times->end())
      return Found->second;
  }
  return std::nullopt;
}

} // namespace mimosacart
