#include "direct/direct_node.h"

#include <algorithm>
#include <utility>

namespace mimosacart {

FleetQuotas::Hooks DirectNode::quotaHooks() {
  FleetQuotas::Hooks Result;
  Result.Send = [this](const std::string &Address, PeerBody Body) {
    Fleet.send(Now, Address, std::move(Body));
  };
  Result.Admitted = [this](RequestId Id) {
    endQuotaWait(Id, RefusalReason::None, Duration::zero());
  };
  Result.Refused = [this](RequestId Id, Duration RetryAfter) {
    endQuotaWait(Id, RefusalReason::OverQuota, RetryAfter);
  };
  Result.Position = [this](const std::string &Key) {
    return Fleet.position(Key);
  };
  Result.Log = Callbacks.Log;
  return Result;
}

void DirectNode::startWithinQuota(FlowRequest Request) {
  const WorkspacePtr Workspace = Request.Workspace;
  if (!Workspace || !Workspace->Quota ||
      Quotas.tryAdmit(Now, Workspace->Name)) {
    Flow.start(Now, std::move(Request));
    return;
  }
  const RequestId Id = Request.Id;
  const Instant Deadline = Request.Deadline;
  QuotaWaiting.emplace(Id, std::move(Request));
  Quotas.wait(Now, Id, Workspace->Name, Deadline);
}

void DirectNode::endQuotaWait(RequestId Id, RefusalReason Reason,
                              Duration RetryAfter) {
  auto Ended = QuotaWaiting.extract(Id);
  if (Ended.empty())
    return;
  FlowRequest &Request = Ended.mapped();
  if (Now >= Request.Deadline)
    Reason = RefusalReason::DeadlinePassed;
  if (Reason == RefusalReason::None)
    Flow.start(Now, std::move(Request));
  else
    refuse(Now, Id, *Request.Request, Reason, RetryAfter);
}

void DirectNode::updateQuotaFleet() {
  if (!Workspaces || !Workspaces->hasWorkspaces())
    return;
  // The number of hosts that may be at work becomes known without a change.
  if (QuotaFleetChanges == Fleet.changes() &&
      QuotaSharingHosts == Fleet.sharingHosts())
    return;
  QuotaFleetChanges = Fleet.changes();
  QuotaSharingHosts = Fleet.sharingHosts();
  QuotaFleet Current;
  for (const MemberRecord &Host : Fleet.serving())
    Current.Serving.push_back(Host.PeerAddress);
  std::sort(Current.Serving.begin(), Current.Serving.end());
  Current.Serving.erase(
      std::unique(Current.Serving.begin(), Current.Serving.end()),
      Current.Serving.end());
  const FleetPosition Position = Fleet.position(std::string());
  Current.Reachable = Position.Reachable.Hosts;
  Current.Overall = Position.Overall ? Position.Overall->Hosts : 0;
  Quotas.setFleet(Now, std::move(Current));
}

} // namespace mimosacart
