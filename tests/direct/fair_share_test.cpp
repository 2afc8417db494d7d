/// \file
/// Order of waiting requests and recent use of workspaces.
#include "direct/fair_share.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};

WorkspacePtr makeWorkspace(const std::string &Name, double Rate = 0) {
  Workspace Result;
  Result.Name = Name;
  if (Rate > 0)
    Result.Quota = WorkspaceQuota{Rate, 1};
  return std::make_shared<const Workspace>(std::move(Result));
}

class FairShareTest : public testing::Test {
protected:
  FlowRequest makeRequest(const WorkspacePtr &Owner, unsigned Priority = 1,
                          Duration Age = {}) {
    FlowRequest Result;
    Result.Id = RequestId(++LastId);
    Result.Service.Name = ServiceName("records");
    Result.Workspace = Owner;
    Result.Priority = Priority;
    Result.Arrived = Start - Age;
    return Result;
  }
  void send(const WorkspacePtr &Owner, unsigned Count, Instant Now = Start) {
    for (unsigned Index = 0; Index < Count; ++Index)
      Shares.recordSend(Now, makeRequest(Owner));
  }
  std::optional<RequestId> before(const FlowRequest &Request) const {
    return Shares.findBefore(Request, [](RequestId) { return true; });
  }

  FairShare Shares;
  std::uint64_t LastId = 0;
  const WorkspacePtr Large = makeWorkspace("large");
  const WorkspacePtr Small = makeWorkspace("small");
};

TEST_F(FairShareTest, findBefore_noneWaits_findsNone) {
  EXPECT_FALSE(before(makeRequest(Small)).has_value());
}

// Guards against urgent requests behind a burst of less urgent ones.
TEST_F(FairShareTest, findBefore_moreUrgent_goesFirstWhateverItsUse) {
  send(Large, 50);
  const FlowRequest Urgent = makeRequest(Large, 0);
  const FlowRequest Other = makeRequest(Small, 1, 1s);
  Shares.addWaiting(Start, Urgent);
  Shares.addWaiting(Start, Other);
  EXPECT_EQ(before(Other), Urgent.Id);
  EXPECT_FALSE(before(Urgent).has_value());
}

// Guards against a workspace whose burst delays the others.
TEST_F(FairShareTest, findBefore_samePriority_leastRecentUseGoesFirst) {
  send(Large, 50);
  send(Small, 5);
  const FlowRequest Heavy = makeRequest(Large, 1, 1s);
  const FlowRequest Light = makeRequest(Small);
  Shares.addWaiting(Start, Heavy);
  Shares.addWaiting(Start, Light);
  EXPECT_EQ(before(Heavy), Light.Id);
  EXPECT_FALSE(before(Light).has_value());
}

TEST_F(FairShareTest, findBefore_quotas_weighTheUse) {
  const WorkspacePtr Paying = makeWorkspace("paying", 100);
  send(Paying, 50);
  send(Small, 2);
  const FlowRequest First = makeRequest(Paying);
  const FlowRequest Second = makeRequest(Small, 1, 1s);
  Shares.addWaiting(Start, First);
  EXPECT_EQ(before(Second), First.Id);
}

TEST_F(FairShareTest, findBefore_sameWorkspace_oldestGoesFirst) {
  const FlowRequest Older = makeRequest(Small, 1, 10ms);
  const FlowRequest Newer = makeRequest(Small);
  Shares.addWaiting(Start, Older);
  EXPECT_EQ(before(Newer), Older.Id);
  Shares.removeWaiting(Start, Older);
  EXPECT_FALSE(before(Newer).has_value());
}

// Guards against a slot that stays free because the first in order cannot use
// it.
TEST_F(FairShareTest, findBefore_firstCannotUseSlot_findsNext) {
  const FlowRequest First = makeRequest(Small, 0);
  const FlowRequest Second = makeRequest(Small, 1, 1s);
  Shares.addWaiting(Start, First);
  Shares.addWaiting(Start, Second);
  const auto Found = Shares.findBefore(
      makeRequest(Small), [&](RequestId Id) { return Id != First.Id; });
  EXPECT_EQ(Found, Second.Id);
}

// Guards against a workspace that is put last long after its burst.
TEST_F(FairShareTest, excessUse_burstIsOver_decays) {
  send(Large, 100);
  send(Small, 10);
  EXPECT_GT(Shares.excessUse(makeRequest(Large)), 1.7);
  EXPECT_EQ(Shares.excessUse(makeRequest(Small)), 1);
  send(Small, 10, Start + 60s);
  EXPECT_EQ(Shares.excessUse(makeRequest(Large)), 1);
  // Uses are rescaled after hours.
  send(Large, 1, Start + 10h);
  EXPECT_GT(Shares.excessUse(makeRequest(Large)), 1.7);
}

// Guards against requests that wait although they can never be served in time,
// and against early refusals where little is known.
TEST_F(FairShareTest, expectedWait_requestsAhead_followsPace) {
  for (unsigned Index = 0; Index < 20; ++Index)
    Shares.addWaiting(Start, makeRequest(Small, 0));
  const FlowRequest Last = makeRequest(Small);
  EXPECT_EQ(Shares.expectedWait(Start + 100ms, Last), 0ms);
  EXPECT_EQ(Shares.expectedWait(Start + 1s, Last), Duration::max());
  send(Large, 10, Start + 1s);
  EXPECT_EQ(Shares.expectedWait(Start + 1s, Last), 2s);
}

// Guards against unbounded memory with 10,000 workspaces and more.
TEST_F(FairShareTest, recordSend_manyWorkspaces_keepsBoundAndLargestUsers) {
  send(Large, 100);
  for (unsigned Index = 0; Index < 25'000; ++Index)
    send(makeWorkspace("w" + std::to_string(Index)), 1);
  EXPECT_LE(Shares.accounts(), 10'000U);
  EXPECT_GT(Shares.excessUse(makeRequest(Large)), 10);
}

} // namespace
} // namespace mimosacart
