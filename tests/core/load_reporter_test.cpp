#include "core/load_reporter.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class LoadReporterTest : public testing::Test {
protected:
  LoadReporter makeReporter(LoadReportBudget Budget) {
    LoadReporter::Hooks Hooks;
    Hooks.Load = [this](const ServiceName &Service) {
      ServiceLoad Load = Current;
      Load.Service = Service;
      return Load;
    };
    Hooks.Audience = [](const ServiceName &) {
      return std::vector<HostName>{HostName("b"), HostName("c")};
    };
    Hooks.Send = [this](const HostName &, const PeerBody &) { ++Sent; };
    return {Budget, Hooks};
  }

  ServiceLoad Current;
  unsigned Sent = 0;
};

TEST_F(LoadReporterTest, flush_idleToBusy_tellsEveryCoOwnerOnce) {
  LoadReporter Reporter = makeReporter({});
  Current.FreeSlots = 1;
  Reporter.touch(ServiceName("s"));
  Reporter.flush(Instant(1h));
  Reporter.touch(ServiceName("s"));
  Reporter.flush(Instant(1h + 1s));
  EXPECT_EQ(Sent, 2U);
}

TEST_F(LoadReporterTest, flush_changeWithoutMeaning_sendsNothing) {
  LoadReporter Reporter = makeReporter({});
  Current.FreeSlots = 3;
  Reporter.touch(ServiceName("s"));
  Reporter.flush(Instant(1h));
  Current.FreeSlots = 2;
  Reporter.touch(ServiceName("s"));
  Reporter.flush(Instant(1h + 1s));
  EXPECT_EQ(Sent, 2U);
}

TEST_F(LoadReporterTest, flush_flappingForAMinute_staysWithinTheBudget) {
  LoadReportBudget Budget;
  Budget.BytesPerSecond = 1'000;
  Budget.BurstBytes = 1'000;
  LoadReporter Reporter = makeReporter(Budget);
  for (Duration Passed{}; Passed < 60s; Passed += 5ms) {
    Current.FreeSlots = 1 - Current.FreeSlots;
    Reporter.touch(ServiceName("s"));
    Reporter.flush(Instant(1h + Passed));
  }
  EXPECT_LE(Reporter.bytesSpent(), 61'000);
  EXPECT_GT(Reporter.deferred(), 0U);
}

} // namespace
} // namespace mimosacart
