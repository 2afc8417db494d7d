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
      ServiceLoad Load = CurrentLoad;
      Load.Service = Service;
      return Load;
    };
    Hooks.Recipients = [](const ServiceName &) {
      return std::vector<HostName>{HostName("b"), HostName("c")};
    };
    Hooks.Send = [this](const HostName &, const PeerBody &) { ++SentReports; };
    return {Budget, Hooks};
  }

  ServiceLoad CurrentLoad;
  unsigned SentReports = 0;
};

TEST_F(LoadReporterTest, flush_firstFreeSlot_sendsOneReportToEachCoOwner) {
  LoadReporter Reporter = makeReporter({});
  CurrentLoad.FreeSlots = 1;
  Reporter.touch(ServiceName("s"));
  Reporter.flush(Instant(1h));
  Reporter.touch(ServiceName("s"));
  Reporter.flush(Instant(1h + 1s));
  EXPECT_EQ(SentReports, 2U);
}

TEST_F(LoadReporterTest, flush_freeSlotsStayNonzero_sendsNothing) {
  LoadReporter Reporter = makeReporter({});
  CurrentLoad.FreeSlots = 3;
  Reporter.touch(ServiceName("s"));
  Reporter.flush(Instant(1h));
  CurrentLoad.FreeSlots = 2;
  Reporter.touch(ServiceName("s"));
  Reporter.flush(Instant(1h + 1s));
  EXPECT_EQ(SentReports, 2U);
}

TEST_F(LoadReporterTest, flush_flappingForOneMinute_staysWithinBudget) {
  LoadReportBudget Budget;
  Budget.BytesPerSecond = 1'000;
  Budget.BurstBytes = 1'000;
  LoadReporter Reporter = makeReporter(Budget);
  for (Duration Elapsed{}; Elapsed < 60s; Elapsed += 5ms) {
    CurrentLoad.FreeSlots = 1 - CurrentLoad.FreeSlots;
    Reporter.touch(ServiceName("s"));
    Reporter.flush(Instant(1h + Elapsed));
  }
  EXPECT_LE(Reporter.bytesSpent(), 61'000);
  EXPECT_GT(Reporter.deferred(), 0U);
}

} // namespace
} // namespace mimosacart
