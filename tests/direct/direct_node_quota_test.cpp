/// \file
/// Requests of a workspace with a quota at a single host.
#include "direct/direct_node.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

class DirectNodeQuotaTest : public testing::Test {
protected:
  DirectNodeQuotaTest() {
    DirectNode::Hooks Callbacks;
    Callbacks.Call = [](const DirectCall &) {};
    Callbacks.Cancel = [](CallId) {};
    Callbacks.Probe = [](const DirectProbe &) {};
    Callbacks.Reply = [this](const FlowResult &Result) {
      Results.push_back(Result.Refused);
    };
    Callbacks.Send = [](const std::string &, const PeerMessage &) {};
    Callbacks.ReadConfiguration = [this](const TableRow &) {
      return makeConfiguration();
    };
    Callbacks.SetReadMode = [](StoreTable, ReadMode) {};
    Callbacks.ReadTable = [](StoreTable) {};
    Callbacks.Configured = [](const RouteConfiguration &) {};
    Callbacks.Log = [](const char *, const FlowFields &) {};
    Callbacks.Records.Read = [] {};
    DirectNodeSettings Settings;
    Settings.Fleet.Self.PeerAddress = "10.0.0.1:7000";
    Node.emplace(Now, Settings, std::move(Callbacks));
    Node->onPeerAddresses({});
    configure(WorkspaceQuota{10, 0});
  }

  std::variant<RouteConfigurationPtr, UnusableRow> makeConfiguration() const {
    RouteConfiguration Configuration;
    Configuration.Version = Version;
    HostRoute Route;
    Route.Host = "a.example";
    Route.Prefix = "/";
    Route.Timeout = 2s;
    Route.Services = {{ServiceName("records"), 1}};
    Configuration.Routes.push_back(Route);
    Configuration.Workspaces = {
        {"labs", {digestKey("k")}, std::nullopt, Quota, {}}};
    return std::make_shared<const RouteConfiguration>(Configuration);
  }

  void configure(std::optional<WorkspaceQuota> NewQuota) {
    Quota = NewQuota;
    ++Version;
    // The cache ignores rows that do not change.
    Node->onRows(Now, StoreTable::Routes,
                 {{"config", Version, false, std::to_string(Version)}},
                 Version);
  }

  RequestId send(std::optional<Duration> Timeout = std::nullopt) {
    CallerRequest Request;
    Request.Target = "/x";
    Request.Timeout = Timeout;
    Request.WorkspaceKey = {digestKey("k"), false};
    Node->onRequest(Now, RequestId(++LastRequest), "a.example",
                    std::make_shared<const CallerRequest>(Request));
    return RequestId(LastRequest);
  }

  void advance(Duration Length) {
    for (const Instant End = Now + Length; Now < End; Now += 1ms)
      Node->tick(Now);
  }

  unsigned countOverQuota() const {
    unsigned Result = 0;
    for (const Refusal &Each : Results)
      Result += Each.Reason == RefusalReason::OverQuota ? 1 : 0;
    return Result;
  }

  Instant Now{1h};
  std::optional<DirectNode> Node;
  std::optional<WorkspaceQuota> Quota;
  std::uint64_t Version = 0;
  std::uint64_t LastRequest = 0;
  std::vector<Refusal> Results;
};

// Guards against a host without others that has nobody to borrow from, and
// against refusals that do not say when to come back.
TEST_F(DirectNodeQuotaTest, onRequest_overQuota_isRefusedWithRetryAfter) {
  advance(10s);
  for (int Count = 0; Count < 30; ++Count)
    send();
  advance(100ms);
  EXPECT_GE(Node->quotaCounters().Admitted, 6U);
  EXPECT_LE(Node->quotaCounters().Admitted, 7U);
  ASSERT_GE(countOverQuota(), 23U);
  for (const Refusal &Each : Results)
    if (Each.Reason == RefusalReason::OverQuota) {
      EXPECT_EQ(Each.Outcome, RefusalOutcome::NotRun);
      EXPECT_GE(Each.RetryAfter, 50ms);
    }
}

// Guards against requests that run after their caller has left while they
// waited, and against waits that outlast the quota.
TEST_F(DirectNodeQuotaTest, onCallerGone_waiting_isDropped) {
  configure(WorkspaceQuota{100, 0});
  advance(10s);
  for (int Count = 0; Count < 8; ++Count)
    send();
  advance(6ms);
  ASSERT_EQ(Node->quotaCounters().Waiting, 2U)
      << Node->quotaCounters().Admitted << " admitted, " << countOverQuota()
      << " over quota, lending " << Node->quotaCounters().Lending;
  Node->onCallerGone(Now, RequestId(LastRequest));
  EXPECT_EQ(Node->quotaCounters().Waiting, 1U);
  const auto Admitted = Node->quotaCounters().Admitted;
  advance(30ms);
  EXPECT_EQ(Node->quotaCounters().Admitted, Admitted + 1);
  for (int Count = 0; Count < 8; ++Count)
    send();
  configure(std::nullopt);
  EXPECT_EQ(Node->quotaCounters().Waiting, 0U);
  EXPECT_EQ(countOverQuota(), 0U);
}

// Guards against requests that start after their deadline.
TEST_F(DirectNodeQuotaTest, tick_deadlinePassedWhileWaiting_isNotStarted) {
  configure(WorkspaceQuota{100, 0});
  advance(10s);
  for (int Count = 0; Count < 6; ++Count)
    send();
  send(3ms);
  advance(20ms);
  ASSERT_FALSE(Results.empty());
  EXPECT_NE(Results.back().Reason, RefusalReason::None);
  EXPECT_EQ(Node->quotaCounters().Admitted, 6U);
}

} // namespace
} // namespace mimosacart
