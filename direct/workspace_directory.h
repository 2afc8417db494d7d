/// \file
/// Finds the workspace of a request by the key that its caller sent.
#pragma once

#include "core/request.h"
#include "direct/route_configuration.h"

#include <cstring>
#include <unordered_map>

namespace mimosacart {

/// Whose request it is, or why that is not known.
struct WorkspaceCheck {
  /// None if the request may go on.
  RefusalReason Reason = RefusalReason::None;
  /// Null if the request belongs to no workspace.
  WorkspacePtr Owner;
};

/// Index of the workspaces of one configuration, which it shares ownership of.
class WorkspaceDirectory {
public:
  explicit WorkspaceDirectory(RouteConfigurationPtr Configuration);

  /// Whether callers need keys at all.
  bool hasWorkspaces() const { return Configuration->Workspaces.has_value(); }
  /// Checks the key of a request for \p Route. A route without keys takes any
  /// request, but counts those with a valid key to their workspace.
  WorkspaceCheck check(const HostRoute &Route, const CallerKey &Key) const;

private:
  /// Any part of a digest is as good as a hash.
  struct DigestHash {
    std::size_t operator()(const KeyDigest &Digest) const {
      std::size_t Hash = 0;
      std::memcpy(&Hash, Digest.Bytes.data(), sizeof(Hash));
      return Hash;
    }
  };

  WorkspacePtr find(const CallerKey &Key) const;

  RouteConfigurationPtr Configuration;
  std::unordered_map<KeyDigest, const Workspace *, DigestHash> Owners;
};

} // namespace mimosacart
