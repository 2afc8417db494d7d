#include "direct/server_constraints.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <memory>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const ServerName Server("a");

DiscoveredServer makeServer(std::uint64_t Incarnation = 1) {
  DiscoveredServer Result;
  Result.Id = Server;
  Result.Incarnation = Incarnation;
  return Result;
}

/// Hosts that all know one server's limit and send whenever they may.
class LimitedFleet {
public:
  LimitedFleet(std::size_t HostCount, double Limit) : Limit(Limit) {
    for (std::size_t Rank = 0; Rank < HostCount; ++Rank)
      addHost({Rank, HostCount});
  }

  void addHost(HostPosition Position) {
    Hosts.push_back(
        std::make_unique<ServerConstraints>([Position](const ServerName &) {
          return FleetPosition{Position, Position};
        }));
    Hosts.back()->setLimit(Now, Server, Limit);
  }

  /// Returns the most requests in 4 s during \p Span.
  std::size_t findBusiestWindow(Duration Span) {
    std::deque<Instant> Window;
    std::size_t Result = 0;
    for (const Instant End = Now + Span; Now < End; Now += 5ms) {
      while (!Window.empty() && Now - Window.front() > 4s)
        Window.pop_front();
      for (const auto &Host : Hosts)
        while (Host->sendableAt(Now, makeServer()) <= Now) {
          Host->recordSend(Now, Server);
          Window.push_back(Now);
          ++Sent;
        }
      Result = std::max(Result, Window.size());
    }
    return Result;
  }

  Instant Now{1h};
  std::size_t Sent = 0;

private:
  const double Limit;
  std::vector<std::unique_ptr<ServerConstraints>> Hosts;
};

// Guards against a limit that every host takes for itself alone.
RC_GTEST_PROP(ServerConstraintsTest, anyFleetAndLimit_idleThenBusy_limitIsKept,
              (std::uint8_t HostSeed, std::uint16_t TenthsSeed)) {
  const std::size_t HostCount = 1 + HostSeed % 80;
  const double Limit = TenthsSeed % 1000 / 10.0;
  LimitedFleet Fleet(HostCount, Limit);
  Fleet.Now += 30s;
  RC_ASSERT(static_cast<double>(Fleet.findBusiestWindow(12s)) <=
            1.5 * 4 * Limit + 5);
  if (Limit >= 1)
    RC_ASSERT(static_cast<double>(Fleet.Sent) >= 0.7 * 12 * Limit);
}

// Guards against exceeding the limit when hosts do not all know of each other.
TEST(ServerConstraintsFleetTest, hostsDisagreeOnFleet_busy_limitIsKept) {
  LimitedFleet Fleet(5, 3);
  Fleet.addHost({0, 6});
  EXPECT_LE(Fleet.findBusiestWindow(20s), 1.5 * 4 * 3 + 5);
}

class ServerConstraintsStateTest : public testing::Test {
protected:
  Instant Now{1h};
  HostPosition Position;
  ServerConstraints Constraints{[this](const ServerName &) {
    return FleetPosition{Position, Position};
  }};
};

// Guards against a late row of the store that brings a leaving server back.
TEST_F(ServerConstraintsStateTest, setLeaving_entryComesBack_staysBlocked) {
  EXPECT_TRUE(Constraints.setLeaving(Server, 1));
  EXPECT_FALSE(Constraints.setLeaving(Server, 1));
  Constraints.forget(Server);
  EXPECT_EQ(Constraints.sendableAt(Now, makeServer(1)), Instant::max());
  EXPECT_EQ(Constraints.findBlock(Now, makeServer(1)), SendBlock::Leaving);
  EXPECT_EQ(Constraints.sendableAt(Now, makeServer(2)), Now);
}

// Guards against requests to a server that asked for a pause, and against all
// hosts coming back at once.
TEST_F(ServerConstraintsStateTest, setQuiet_duringAndAfter_hostsReturnInTurn) {
  Position = {3, 6};
  Constraints.setQuiet(Now, Server, 2s);
  EXPECT_GT(Constraints.sendableAt(Now, makeServer()), Now + 2s);
  EXPECT_LT(Constraints.sendableAt(Now, makeServer()), Now + 3s);
  Constraints.setQuiet(Now, Server, 100ms);
  EXPECT_EQ(Constraints.findBlock(Now + 1900ms, makeServer()),
            SendBlock::Quiet);
  EXPECT_EQ(Constraints.quietServers(Now + 1s), 1U);
  EXPECT_EQ(Constraints.sendableAt(Now + 3s, makeServer()), Now + 3s);
  Position = {0, 6};
  Constraints.forget(Server);
  Constraints.setQuiet(Now, Server, 2s);
  EXPECT_EQ(Constraints.sendableAt(Now, makeServer()), Now + 2s);
}

/// Wishes of a server and steps of time in random order: whatever a server has
/// last asked for is kept.
RC_GTEST_PROP(
    ServerConstraintsTest, anyOrderOfWishes_sends_keepThem,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &Steps)) {
  ServerConstraints Constraints([](const ServerName &) {
    return FleetPosition{HostPosition{}, HostPosition{}};
  });
  Instant Now{1h};
  Instant QuietUntil{};
  std::uint64_t Incarnation = 1;
  std::uint64_t LeavingIncarnation = 0;
  for (const auto &[Kind, Detail] : Steps) {
    const Duration Span = std::chrono::milliseconds(Detail * 10);
    switch (Kind % 5) {
    case 0:
      Constraints.setLeaving(Server, Incarnation);
      LeavingIncarnation = Incarnation;
      break;
    case 1:
      Constraints.setQuiet(Now, Server, Span);
      QuietUntil = std::max(QuietUntil, Now + Span);
      break;
    case 2:
      Constraints.setLimit(Now, Server, Detail / 10.0);
      break;
    case 3:
      ++Incarnation;
      Constraints.forget(Server);
      QuietUntil = Instant();
      break;
    default:
      Now += Span;
    }
    const Instant At = Constraints.sendableAt(Now, makeServer(Incarnation));
    if (LeavingIncarnation == Incarnation)
      RC_ASSERT(At == Instant::max());
    else
      RC_ASSERT(At >= std::min(QuietUntil, At));
    RC_ASSERT(At > Now || QuietUntil <= Now);
    if (At <= Now)
      Constraints.recordSend(Now, Server);
  }
}

} // namespace
} // namespace mimosacart
