/// \file
/// Who is served, who waits and who is refused when there is too much, on
/// cores in virtual time.
#include "tests/support/node_fleet.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Three hosts and six servers of two slots; 12 slots of 10 ms answer 1,200
/// requests a second.
class OverloadScenariosTest : public testing::Test {
protected:
  OverloadScenariosTest() : Fleet(makeTestConfiguration(6, 2)) {
    for (const char *Suffix : {"a", "b", "c"})
      Fleet.addHost(fmt::format("host-{}", Suffix),
                    fmt::format("dc-{}", Suffix));
    Fleet.run(2s);
  }

  /// Sends \p PerSecond reads a second for \p Span, evenly over the hosts.
  std::vector<std::size_t> load(unsigned PerSecond, Duration Span) {
    std::vector<std::size_t> Sent;
    const Duration Gap = Duration(1s) / PerSecond;
    for (Duration Passed{}; Passed < Span; Passed += Gap) {
      const std::string Host = fmt::format("host-{}", "abc"[Sent.size() % 3]);
      Sent.push_back(Fleet.send(
          Host, {"GET", fmt::format("/read/{}", ++LastId), "", "", ""}));
      Fleet.run(Gap);
    }
    return Sent;
  }

  std::size_t answered(const std::vector<std::size_t> &Sent) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [this](std::size_t Index) {
          return Fleet.outcome(Index) == "answered";
        }));
  }

  /// Answers that came after the kind's deadline of 2 s.
  std::size_t late(const std::vector<std::size_t> &Sent) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [this](std::size_t Index) {
          const SentRequest &Of = Fleet.sent(Index);
          return Fleet.outcome(Index) == "answered" &&
                 *Of.AnsweredAt - Of.SentAt > 2s;
        }));
  }

  NodeFleet Fleet;
  unsigned LastId = 0;
};

TEST_F(OverloadScenariosTest, twiceCapacity_goodput_staysAtCapacity) {
  load(1'000, 2s);
  const std::size_t Before = Fleet.executions().size();
  const auto Sent = load(2'400, 10s);
  Fleet.run(5s);
  // 12,000 could be answered in the time; the aim is 95% of them.
  EXPECT_GE(answered(Sent), 11'400U);
  EXPECT_LE(late(Sent) * 100, answered(Sent));
  // Nothing that was refused had been run for nothing.
  EXPECT_LE(Fleet.executions().size() - Before, answered(Sent) + 10);
  for (const std::size_t Index : Sent)
    EXPECT_NE(Fleet.outcome(Index), "none");
}

TEST_F(OverloadScenariosTest, twiceCapacity_variedWork_wastesLittle) {
  // Log-normal work with one straggler in a hundred, 10 ms in the mean.
  std::mt19937_64 Random(5);
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).ServiceTime =
        [&Random](const CallerRequest &) {
          std::lognormal_distribution<double> Spread(-0.125, 0.5);
          const bool Straggles = std::bernoulli_distribution(0.01)(Random);
          const double Ms = 8.8 * Spread(Random) * (Straggles ? 15 : 1);
          return Duration(static_cast<long>(Ms * 1000));
        };
  load(1'000, 2s);
  const std::size_t Before = Fleet.executions().size();
  const auto Sent = load(2'400, 10s);
  Fleet.run(5s);
  EXPECT_GE(answered(Sent), 11'400U);
  EXPECT_LE(late(Sent) * 100, answered(Sent));
  const std::size_t Wasted =
      Fleet.executions().size() - Before - answered(Sent);
  EXPECT_LE(Wasted * 50, answered(Sent));
}

TEST_F(OverloadScenariosTest, afterTheCrest_serviceIsNormalWithinSeconds) {
  load(2'400, 5s);
  Fleet.run(2s);
  const auto After = load(800, 3s);
  Fleet.run(2s);
  EXPECT_EQ(answered(After), After.size());
  std::size_t Slow = 0;
  for (const std::size_t Index : After)
    Slow += *Fleet.sent(Index).AnsweredAt - Fleet.sent(Index).SentAt > 50ms;
  EXPECT_LE(Slow * 100, After.size());
}

TEST_F(OverloadScenariosTest, bookingsInACrestOfReads_keepTheirPlace) {
  load(1'000, 1s);
  std::vector<std::size_t> Bookings;
  for (unsigned Index = 0; Index < 200; ++Index) {
    load(2'400, 10ms);
    const std::string Host = fmt::format("host-{}", "abc"[Index % 3]);
    Bookings.push_back(
        Fleet.send(Host, {"POST", fmt::format("/book/{}", Index), "",
                          fmt::format("k{}", Index), Fleet.token(Host)}));
  }
  Fleet.run(5s);
  EXPECT_EQ(answered(Bookings), 200U);
  for (const std::size_t Index : Bookings)
    EXPECT_LT(*Fleet.sent(Index).AnsweredAt - Fleet.sent(Index).SentAt, 200ms);
}

TEST_F(OverloadScenariosTest, everyServerFails_attempts_stayWithinBudget) {
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).Mode = "error";
  const auto Sent = load(100, 20s);
  Fleet.run(5s);
  EXPECT_LE(Fleet.executions().size(), Sent.size() * 13 / 10);
}

TEST_F(OverloadScenariosTest, oneServerFailsFast_attractsNoLoad) {
  load(400, 2s);
  Fleet.server("server-1").Mode = "error";
  const std::size_t Before = Fleet.server("server-1").Calls;
  const auto Sent = load(400, 10s);
  Fleet.run(5s);
  EXPECT_GE(answered(Sent) * 100, Sent.size() * 99);
  EXPECT_LE((Fleet.server("server-1").Calls - Before) * 50, Sent.size());
}

TEST_F(OverloadScenariosTest, oneServerTenTimesSlower_isUsedLittle) {
  load(600, 2s);
  Fleet.server("server-1").ServiceTime = [](const CallerRequest &) {
    return Duration(100ms);
  };
  load(600, 3s);
  const std::size_t Before = Fleet.server("server-1").Calls;
  const auto Sent = load(600, 10s);
  Fleet.run(5s);
  EXPECT_EQ(answered(Sent), Sent.size());
  // An even share would be a sixth.
  EXPECT_LE((Fleet.server("server-1").Calls - Before) * 30, Sent.size());
}

} // namespace
} // namespace mimosacart
