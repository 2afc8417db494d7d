#include "direct/server_constraints.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <memory>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const ServerName Server("a");

/// Hosts that all know one server's limit and send whenever they may.
class LimitedFleet {
public:
  LimitedFleet(std::size_t HostCount, double Limit) : Limit(Limit) {
    for (std::size_t Rank = 0; Rank < HostCount; ++Rank)
      addHost({Rank, HostCount});
  }

  void addHost(HostPosition Position) {
    Hosts.push_back(std::make_unique<ServerConstraints>(
        [Position](const ServerName &) { return Position; }));
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
        while (Host->sendableAt(Now, Server) <= Now) {
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

} // namespace
} // namespace mimosacart
