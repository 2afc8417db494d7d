#include "tests/direct/quota_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Time until a fleet that has just started lends.
constexpr Duration WarmUp = 8s;

std::vector<double> weightsOf(std::size_t Hosts, bool IsSkewed) {
  std::vector<double> Result(Hosts, 1);
  if (IsSkewed)
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      Result[Index] = 1 / static_cast<double>(1 + Index * Index);
  return Result;
}

struct CalmCase {
  std::size_t Hosts;
  WorkspaceQuota Quota;
  /// Of the limit.
  double Demand;
  bool IsSkewed;
};

/// Checks that the limit is usable and the bound holds. Returns the most bytes
/// that one host sent in a second.
double runCalm(const CalmCase &Case) {
  QuotaFleetModel Fleet(Case.Hosts, Case.Quota, 7);
  const auto Weights = weightsOf(Case.Hosts, Case.IsSkewed);
  const double Rate = Case.Quota.RequestsPerSecond;
  Fleet.run(WarmUp, Rate * Case.Demand, Weights);
  const Instant Start = Fleet.now();
  Fleet.Messages = Fleet.Bytes = Fleet.Refused = 0;
  Fleet.takeMostBytes();
  const Duration Length = Case.Hosts > 500 ? 20s : 60s;
  Fleet.run(Length, Rate * Case.Demand, Weights);
  const double Offered =
      static_cast<double>(Fleet.admittedSince(Start) + Fleet.Refused);
  const double Usable = std::min(Rate * toSeconds(Length), Offered);
  const double Share = static_cast<double>(Fleet.admittedSince(Start)) / Usable;
  const double HostSeconds =
      static_cast<double>(Case.Hosts) * toSeconds(Length);
  const double MostBytes =
      static_cast<double>(Fleet.takeMostBytes()) / toSeconds(Length);
  std::printf("hosts %zu rate %g demand %g skewed %d: share %.3f; each second "
              "%.2f messages and %.0f bytes a host, at most %.0f bytes\n",
              Case.Hosts, Rate, Case.Demand, Case.IsSkewed, Share,
              static_cast<double>(Fleet.Messages) / HostSeconds,
              static_cast<double>(Fleet.Bytes) / HostSeconds, MostBytes);
  EXPECT_GE(Share, 0.95);
  EXPECT_LE(Fleet.excess(Instant()), 0);
  return MostBytes;
}

class CalmQuotaTest : public testing::TestWithParam<CalmCase> {};

// Guards against refusals below the limit, wherever callers are, and against
// control messages that cost a host more than 25 KB/s.
TEST_P(CalmQuotaTest, run_calmFleet_usesTheLimit) {
  EXPECT_LE(runCalm(GetParam()), 25'000);
}

// Guards against the same where each host sends less than one request a second
// of a busy workspace, so that each token costs a message.
TEST(BusyQuotaTest, run_evenCallersAt1000Hosts_usesTheLimit) {
  EXPECT_LE(runCalm({1000, {500, 100}, 2, false}), 25'000);
}

// NOLINTNEXTLINE: found by GoogleTest.
void PrintTo(const CalmCase &Case, std::ostream *Out) { *Out << Case.Hosts; }

INSTANTIATE_TEST_SUITE_P(
    Fleets, CalmQuotaTest,
    testing::Values(
        CalmCase{46, {100, 50}, 2, false}, CalmCase{46, {100, 50}, 2, true},
        CalmCase{46, {100, 50}, 0.8, false},
        CalmCase{46, {1000, 100}, 7.5, false},
        CalmCase{231, {100, 20}, 2, false}, CalmCase{231, {100, 20}, 2, true},
        CalmCase{231, {3, 3}, 2, false}, CalmCase{231, {3, 0}, 2, false},
        CalmCase{231, {3, 3}, 0.7, true}, CalmCase{1000, {500, 100}, 2, true},
        CalmCase{1000, {3, 3}, 2, false}),
    [](const auto &Info) {
      const CalmCase &Case = Info.param;
      return "hosts" + std::to_string(Case.Hosts) + "Rate" +
             std::to_string(static_cast<int>(Case.Quota.RequestsPerSecond)) +
             "Burst" + std::to_string(static_cast<int>(Case.Quota.Burst)) +
             "Percent" + std::to_string(static_cast<int>(Case.Demand * 100)) +
             (Case.IsSkewed ? "Skewed" : "Even");
    });

struct FaultCase {
  const char *Name;
  std::function<void(QuotaFleetModel &, double Rate)> Fault;
};

// NOLINTNEXTLINE: found by GoogleTest.
void PrintTo(const FaultCase &Case, std::ostream *Out) { *Out << Case.Name; }

class QuotaFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against more requests than the bound in any window, during each fault
// and after it, and against a fleet that does not lend again afterwards.
TEST_P(QuotaFaultTest, run_fault_boundHoldsAndLendingReturns) {
  for (const WorkspaceQuota Quota :
       {WorkspaceQuota{100, 20}, WorkspaceQuota{10, 0},
        WorkspaceQuota{20, 200}})
    for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
      QuotaFleetModel Fleet(46, Quota, Seed);
      Fleet.Loss = 0.01;
      const double Demand = Quota.RequestsPerSecond * 7.5;
      Fleet.run(WarmUp + 2s, Quota.RequestsPerSecond / 2);
      GetParam().Fault(Fleet, Demand);
      EXPECT_LE(Fleet.excess(Instant()), 0)
          << Quota.RequestsPerSecond << " seed " << Seed;
      Fleet.run(14s, Demand);
      EXPECT_LE(Fleet.excess(Instant()), 0)
          << Quota.RequestsPerSecond << " after, seed " << Seed;
      const Instant Start = Fleet.now();
      Fleet.run(10s, Demand);
      EXPECT_GE(static_cast<double>(Fleet.admittedSince(Start)),
                0.9 * Quota.RequestsPerSecond * 10)
          << Quota.RequestsPerSecond << " seed " << Seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, QuotaFaultTest,
    testing::Values(
        FaultCase{"burst",
                  [](auto &Fleet, double Rate) { Fleet.run(6500ms, Rate); }},
        FaultCase{"partition",
                  [](auto &Fleet, double Rate) {
                    Fleet.cut([](std::size_t From, std::size_t To) {
                      return (From < 16) != (To < 16);
                    });
                    Fleet.run(12s, Rate);
                    Fleet.cut(nullptr);
                  }},
        FaultCase{"lenderCannotSend",
                  [](auto &Fleet, double Rate) {
                    const std::size_t Lender = Fleet.lender();
                    Fleet.cut([Lender](std::size_t From, std::size_t) {
                      return From == Lender;
                    });
                    // Its own callers would use the whole rate beside the rest.
                    std::vector<double> Weights(46, 1);
                    Weights[Lender] = 46;
                    Fleet.run(12s, Rate, Weights);
                    Fleet.cut(nullptr);
                  }},
        FaultCase{"lenderDies",
                  [](auto &Fleet, double Rate) {
                    Fleet.run(2s, Rate);
                    Fleet.kill(Fleet.lender());
                    Fleet.run(8s, Rate);
                  }},
        FaultCase{"lenderFrozen",
                  [](auto &Fleet, double Rate) {
                    for (const Duration Length : {700ms, 2600ms, 6000ms}) {
                      Fleet.freeze(Fleet.lender(), Length);
                      Fleet.run(10s, Rate);
                    }
                  }},
        FaultCase{"holderFrozen",
                  [](auto &Fleet, double Rate) {
                    Fleet.run(2s, Rate);
                    for (std::size_t Host = 0; Host < 46; ++Host)
                      if (Host != Fleet.lender())
                        Fleet.freeze(Host, 1400ms);
                    Fleet.run(5s, Rate);
                  }},
        FaultCase{"allRestart",
                  [](auto &Fleet, double Rate) {
                    Fleet.run(3s, Rate);
                    Fleet.restartAll();
                    Fleet.run(5s, Rate);
                    Fleet.restartAll();
                  }},
        FaultCase{"hostsAdded",
                  [](auto &Fleet, double Rate) {
                    for (int Count = 0; Count < 6; ++Count) {
                      Fleet.add();
                      Fleet.run(1s, Rate);
                    }
                  }},
        FaultCase{"plannedStop",
                  [](auto &Fleet, double Rate) {
                    Fleet.run(2s, Rate);
                    Fleet.leave(Fleet.lender());
                  }}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against old leases and a full bucket that outlive a lowered limit.
TEST(FleetQuotasTest, setQuota_farBelowDemand_bindsWithinOneWindow) {
  QuotaFleetModel Fleet(46, {200, 100}, 3);
  Fleet.run(WarmUp, 200);
  Fleet.setQuota({10, 5});
  const Instant Bound = Fleet.now() + QuotaLimits{}.Window;
  Fleet.run(15s, 200);
  EXPECT_LE(Fleet.excess(Bound), 0);
  EXPECT_GE(Fleet.ShortestRetryAfter, 50ms);
}

// Guards against a planned stop that costs callers what the death of a lender
// costs them: the next host would pause before it lends.
TEST(FleetQuotasTest, leave_lender_nextLendsAtOnce) {
  QuotaFleetModel Fleet(46, {100, 50}, 5);
  Fleet.run(WarmUp, 90);
  const Instant Start = Fleet.now();
  Fleet.Refused = 0;
  Fleet.leave(Fleet.lender());
  Fleet.run(3s, 80);
  EXPECT_GE(
      static_cast<double>(Fleet.admittedSince(Start)),
      0.9 * static_cast<double>(Fleet.admittedSince(Start) + Fleet.Refused));
}

// Guards against returned tokens that let hosts collect more than the bucket:
// a host returns tokens that it had for long and others borrow them anew.
TEST(QuotaLenderTest, takeBack_againAndAgain_tokensStayBounded) {
  const Instant Start{1h};
  QuotaLender Lender(Start);
  Lender.setRates(Start, {100, 20, 300ms});
  std::uint32_t Last = 0;
  for (Instant Now = Start; Now < Start + 10s; Now += 10ms) {
    const std::string Old = Last % 2 == 0 ? "a" : "b";
    Lender.takeBack(Now, Old, 1000);
    Lender.lend(Now, ++Last % 2 == 0 ? "a" : "b", 1000);
    EXPECT_LE(Lender.lent(Now) + Lender.tokens(Now), 50);
  }
  Lender.takeBack(Start + 10s, "c", 1000);
  EXPECT_LE(Lender.lent(Start + 10s) + Lender.tokens(Start + 10s), 50);
}

} // namespace
} // namespace mimosacart
