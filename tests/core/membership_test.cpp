/// \file
/// The failure detector of one host.
#include "core/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class MembershipTest : public testing::Test {
protected:
  static MemberRecord recordOf(const std::string &Name) {
    MemberRecord Result;
    Result.Host = HostName(Name);
    Result.Incarnation = IncarnationId(1);
    Result.PeerAddress = "peer-" + Name;
    return Result;
  }
  MemberStatus statusOf(const std::string &Name) const {
    return Members.find(HostName(Name))->Status;
  }
  std::size_t countSent(const std::string &Address) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [&Address](const auto &Entry) {
          return Entry.first == Address;
        }));
  }

  Instant Now{1h};
  MembershipTimes Times;
  std::vector<std::pair<std::string, PeerBody>> Sent;
  Membership Members{recordOf("self"),
                     {},
                     Times,
                     1,
                     {[this](const std::string &Address, PeerBody Body) {
                        Sent.emplace_back(Address, std::move(Body));
                      },
                      [](const MemberRecord &, UpdateSource) {},
                      [] { return PingExtras(); }}};
};

// Guards against a process that suspects others since it did not run itself.
TEST_F(MembershipTest, tick_processWasSuspended_suspectsNone) {
  Members.merge(Now, recordOf("a"), UpdateSource::Relayed);
  Members.tick(Now);
  ASSERT_EQ(countSent("peer-a"), 1U);
  Now += 3s;
  Members.tick(Now);
  EXPECT_EQ(statusOf("a"), MemberStatus::Alive);
}

TEST_F(MembershipTest, tick_processTicksSlowly_suspectsWhoDoesNotAnswer) {
  Members.merge(Now, recordOf("a"), UpdateSource::Relayed);
  for (unsigned Step = 0; Step < 6; ++Step) {
    Members.tick(Now);
    Now += Times.AckTimeout + 50ms;
  }
  EXPECT_EQ(statusOf("a"), MemberStatus::Suspect);
}

// Guards against the loss of all hosts from a view because another host could
// reach none.
TEST_F(MembershipTest, merge_otherHostReportsDeath_asksAndWaitsForRefutation) {
  Members.merge(Now, recordOf("a"), UpdateSource::Relayed);
  MemberRecord Dead = recordOf("a");
  Dead.Status = MemberStatus::Dead;
  Members.merge(Now, Dead, UpdateSource::Relayed);
  EXPECT_EQ(statusOf("a"), MemberStatus::Suspect);
  ASSERT_EQ(countSent("peer-a"), 1U);
  EXPECT_TRUE(std::holds_alternative<SoftState>(Sent.back().second));
  Members.tick(Now + Times.DeadAfter - 1ms);
  EXPECT_EQ(statusOf("a"), MemberStatus::Suspect);
}

TEST_F(MembershipTest, tick_reportedDeathNotRefuted_isDead) {
  Members.merge(Now, recordOf("a"), UpdateSource::Relayed);
  MemberRecord Dead = recordOf("a");
  Dead.Status = MemberStatus::Dead;
  Members.merge(Now, Dead, UpdateSource::Relayed);
  Members.tick(Now + Times.DeadAfter);
  EXPECT_EQ(statusOf("a"), MemberStatus::Dead);
}

// Guards against a host that stays out of use although it sends messages.
TEST_F(MembershipTest, onPing_senderTakenForDead_isAskedToRefute) {
  Members.merge(Now, recordOf("a"), UpdateSource::Relayed);
  MemberRecord Dead = recordOf("a");
  Dead.Status = MemberStatus::Dead;
  Members.merge(Now, Dead, UpdateSource::Relayed);
  Members.tick(Now + Times.DeadAfter);
  Sent.clear();
  Members.onPing(Now + 2s, HostName("a"), Ping{1, recordOf("a"), 0, {}, {}});
  ASSERT_EQ(countSent("peer-a"), 2U);
  const auto *Question = std::get_if<SoftState>(&Sent.back().second);
  ASSERT_NE(Question, nullptr);
  EXPECT_EQ(Question->Members.front().Status, MemberStatus::Dead);
}

// Guards against a host that counts as reachable for as long as this process
// was suspended, since news of it came first when the process went on.
TEST_F(MembershipTest, tick_toldOfSuspectOnWaking_takesItForDeadInTime) {
  Members.tick(Now);
  Now += 20s;
  MemberRecord Suspected = recordOf("a");
  Suspected.Status = MemberStatus::Suspect;
  Members.merge(Now, Suspected, UpdateSource::Relayed);
  for (const Instant End = Now + Times.DeadAfter + 500ms; Now < End;
       Now += 50ms)
    Members.tick(Now);
  EXPECT_EQ(statusOf("a"), MemberStatus::Dead);
}

} // namespace
} // namespace mimosacart
