#include "direct/workspace_directory.h"

namespace mimosacart {

WorkspaceDirectory::WorkspaceDirectory(RouteConfigurationPtr Source)
    : Configuration(std::move(Source)) {
  if (!Configuration->Workspaces)
    return;
  for (const Workspace &Owner : *Configuration->Workspaces)
    for (const KeyDigest &Key : Owner.Keys)
      Owners[Key] = &Owner;
}

WorkspacePtr WorkspaceDirectory::find(const CallerKey &Key) const {
  if (!Key.Digest)
    return nullptr;
  const auto Found = Owners.find(*Key.Digest);
  return Found == Owners.end() ? nullptr
                               : WorkspacePtr(Configuration, Found->second);
}

WorkspaceCheck WorkspaceDirectory::check(const HostRoute &Route,
                                         const CallerKey &Key) const {
  if (!hasWorkspaces())
    return {};
  WorkspaceCheck Result;
  Result.Owner = find(Key);
  if (Result.Owner || !Route.NeedsKey)
    return Result;
  if (Key.Malformed)
    Result.Reason = RefusalReason::KeyMalformed;
  else
    Result.Reason =
        Key.Digest ? RefusalReason::KeyUnknown : RefusalReason::KeyMissing;
  return Result;
}

} // namespace mimosacart
