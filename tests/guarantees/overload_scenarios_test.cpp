/// \file
/// Overload and slow or failing backend servers: which requests are answered,
/// how late, and how much work is wasted. Runs node cores in virtual time.
#include "tests/support/node_fleet.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Three hosts and six servers with two slots each. With a service time of 10
/// ms, the 12 slots answer 1,200 requests per second.
class OverloadScenariosTest : public testing::Test {
protected:
  OverloadScenariosTest() : Fleet(makeTestConfiguration(6, 2)) {
    for (const char *Suffix : {"a", "b", "c"})
      Fleet.addHost(fmt::format("host-{}", Suffix),
                    fmt::format("dc-{}", Suffix));
    Fleet.run(2s);
  }

  /// Sends \p PerSecond reads per second for \p Time, evenly spread over the
  /// hosts, and returns their indices.
  std::vector<std::size_t> sendReads(unsigned PerSecond, Duration Time) {
    std::vector<std::size_t> Sent;
    const Duration Interval = Duration(1s) / PerSecond;
    for (Duration Elapsed{}; Elapsed < Time; Elapsed += Interval) {
      const std::string Host = fmt::format("host-{}", "abc"[Sent.size() % 3]);
      Sent.push_back(Fleet.send(
          Host, {"GET", fmt::format("/read/{}", ++LastId), "", "", ""}));
      Fleet.run(Interval);
    }
    return Sent;
  }

  /// Counts the answered requests of \p Sent.
  std::size_t countAnswered(const std::vector<std::size_t> &Sent) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [this](std::size_t Index) {
          return Fleet.outcome(Index) == "answered";
        }));
  }

  /// Counts the answers that arrived after the request kind's deadline of 2 s.
  std::size_t countLate(const std::vector<std::size_t> &Sent) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [this](std::size_t Index) {
          const SentRequest &Request = Fleet.sent(Index);
          return Fleet.outcome(Index) == "answered" &&
                 *Request.AnsweredAt - Request.SentAt > 2s;
        }));
  }

  NodeFleet Fleet;
  unsigned LastId = 0;
};

TEST_F(OverloadScenariosTest, twiceCapacity_goodput_staysAtCapacity) {
  sendReads(1'000, 2s);
  const std::size_t ExecutionsBefore = Fleet.executions().size();
  const auto Sent = sendReads(2'400, 10s);
  Fleet.run(5s);
  // The servers can answer 12,000 requests in 10 s; 95% of these must be
  // answered.
  EXPECT_GE(countAnswered(Sent), 11'400U);
  EXPECT_LE(countLate(Sent) * 100, countAnswered(Sent));
  // Servers must not have run refused requests.
  EXPECT_LE(Fleet.executions().size() - ExecutionsBefore,
            countAnswered(Sent) + 10);
  for (const std::size_t Index : Sent)
    EXPECT_NE(Fleet.outcome(Index), "none");
}

TEST_F(OverloadScenariosTest,
       twiceCapacity_variedServiceTimes_wastesLittleWork) {
  // Log-normal service times with one straggler in a hundred; mean 10 ms.
  std::mt19937_64 Random(5);
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).ServiceTime =
        [&Random](const CallerRequest &) {
          std::lognormal_distribution<double> ServiceTimeFactor(-0.125, 0.5);
          const bool IsStraggler = std::bernoulli_distribution(0.01)(Random);
          const double Ms =
              8.8 * ServiceTimeFactor(Random) * (IsStraggler ? 15 : 1);
          return Duration(static_cast<long>(Ms * 1000));
        };
  sendReads(1'000, 2s);
  const std::size_t ExecutionsBefore = Fleet.executions().size();
  const auto Sent = sendReads(2'400, 10s);
  Fleet.run(5s);
  EXPECT_GE(countAnswered(Sent), 11'400U);
  EXPECT_LE(countLate(Sent) * 100, countAnswered(Sent));
  const std::size_t Wasted =
      Fleet.executions().size() - ExecutionsBefore - countAnswered(Sent);
  EXPECT_LE(Wasted * 50, countAnswered(Sent));
}

TEST_F(OverloadScenariosTest,
       afterOverload_lightLoad_isAnsweredFastWithinSeconds) {
  sendReads(2'400, 5s);
  Fleet.run(2s);
  const auto After = sendReads(800, 3s);
  Fleet.run(2s);
  EXPECT_EQ(countAnswered(After), After.size());
  std::size_t Slow = 0;
  for (const std::size_t Index : After)
    Slow += *Fleet.sent(Index).AnsweredAt - Fleet.sent(Index).SentAt > 50ms;
  EXPECT_LE(Slow * 100, After.size());
}

TEST_F(OverloadScenariosTest, overloadOfReads_bookings_areAnsweredWithin200Ms) {
  sendReads(1'000, 1s);
  std::vector<std::size_t> Bookings;
  for (unsigned Index = 0; Index < 200; ++Index) {
    sendReads(2'400, 10ms);
    const std::string Host = fmt::format("host-{}", "abc"[Index % 3]);
    Bookings.push_back(
        Fleet.send(Host, {"POST", fmt::format("/book/{}", Index), "",
                          fmt::format("k{}", Index), Fleet.token(Host)}));
  }
  Fleet.run(5s);
  EXPECT_EQ(countAnswered(Bookings), 200U);
  for (const std::size_t Index : Bookings)
    EXPECT_LT(*Fleet.sent(Index).AnsweredAt - Fleet.sent(Index).SentAt, 200ms);
}

TEST_F(OverloadScenariosTest, everyServerFails_attempts_stayWithinRetryBudget) {
  for (unsigned Index = 1; Index <= 6; ++Index)
    Fleet.server(fmt::format("server-{}", Index)).Mode = "error";
  const auto Sent = sendReads(100, 20s);
  Fleet.run(5s);
  EXPECT_LE(Fleet.executions().size(), Sent.size() * 13 / 10);
}

TEST_F(OverloadScenariosTest, oneServerFailsFast_requests_avoidIt) {
  sendReads(400, 2s);
  Fleet.server("server-1").Mode = "error";
  const std::size_t CallsBefore = Fleet.server("server-1").Calls;
  const auto Sent = sendReads(400, 10s);
  Fleet.run(5s);
  EXPECT_GE(countAnswered(Sent) * 100, Sent.size() * 99);
  EXPECT_LE((Fleet.server("server-1").Calls - CallsBefore) * 50, Sent.size());
}

TEST_F(OverloadScenariosTest, oneServerTenTimesSlower_requests_mostlyAvoidIt) {
  sendReads(600, 2s);
  Fleet.server("server-1").ServiceTime = [](const CallerRequest &) {
    return Duration(100ms);
  };
  sendReads(600, 3s);
  const std::size_t CallsBefore = Fleet.server("server-1").Calls;
  const auto Sent = sendReads(600, 10s);
  Fleet.run(5s);
  EXPECT_EQ(countAnswered(Sent), Sent.size());
  // An even distribution would send a sixth of the requests to this server.
  EXPECT_LE((Fleet.server("server-1").Calls - CallsBefore) * 30, Sent.size());
}

} // namespace
} // namespace mimosacart
