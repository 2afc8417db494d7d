#include "direct/host_routes.h"

#include <algorithm>
#include <cctype>

namespace mimosacart {

namespace {

/// Returns \p Host in lower case and without its port, for comparison.
std::string normalizeHost(std::string_view Host) {
  std::string Result(Host.substr(0, Host.find(':')));
  std::transform(
      Result.begin(), Result.end(), Result.begin(),
      [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Result;
}

} // namespace

HostRoutes::HostRoutes(RouteConfigurationPtr NewConfiguration)
    : Configuration(std::move(NewConfiguration)) {
  for (const HostRoute &Route : Configuration->Routes)
    RoutesByHost[normalizeHost(Route.Host)].emplace(Route.Prefix, &Route);
}

const HostRoute *HostRoutes::find(std::string_view Host,
                                  std::string_view Target) const {
  const auto Routes = RoutesByHost.find(normalizeHost(Host));
  if (Routes == RoutesByHost.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  // Every prefix ends with a slash, so only those positions can match.
  for (std::size_t Slash = Path.rfind('/'); Slash != Path.npos;
       Slash = Path.rfind('/')) {
    const auto Found = Routes->second.find(Path.substr(0, Slash + 1));
    if (Found != Routes->second.end())
      return Found->second;
    Path = Path.substr(0, Slash);
  }
  return nullptr;
}

std::set<std::string> HostRoutes::findRegions(std::string_view Host) const {
  std::set<std::string> Result;
  const auto Routes = RoutesByHost.find(normalizeHost(Host));
  if (Routes == RoutesByHost.end())
    return Result;
  for (const auto &[Prefix, Route] : Routes->second) {
    if (Route->Regions.empty())
      return {};
    Result.insert(Route->Regions.begin(), Route->Regions.end());
  }
  return Result;
}

} // namespace mimosacart
