#include "direct/host_routes.h"

#include <algorithm>
#include <cctype>

namespace mimosacart {

namespace {

/// Host names are compared without regard to case and port.
std::string normalizeHost(std::string_view Host) {
  std::string Result(Host.substr(0, Host.find(':')));
  std::transform(
      Result.begin(), Result.end(), Result.begin(),
      [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Result;
}

} // namespace

HostRoutes::HostRoutes(RouteConfigurationPtr Given)
    : Configuration(std::move(Given)) {
  for (const HostRoute &Route : Configuration->Routes)
    ByHost[normalizeHost(Route.Host)].emplace(Route.Prefix, &Route);
}

const HostRoute *HostRoutes::find(std::string_view Host,
                                  std::string_view Target) const {
  const auto Known = ByHost.find(normalizeHost(Host));
  if (Known == ByHost.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  // Every prefix ends with a slash, so only those ends need a look.
  for (std::size_t Slash = Path.rfind('/'); Slash != Path.npos;
       Slash = Path.rfind('/')) {
    const auto Found = Known->second.find(Path.substr(0, Slash + 1));
    if (Found != Known->second.end())
      return Found->second;
    Path = Path.substr(0, Slash);
  }
  return nullptr;
}

} // namespace mimosacart
