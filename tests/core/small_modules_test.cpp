/// \file
/// Tests of small core modules.
#include "core/expiring_notices.h"
#include "core/issuer_token.h"
#include "core/ownership.h"
#include "core/route_table.h"
#include "core/sequence_window.h"
#include "core/work_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};

Configuration makeConfiguration() {
  Service Records;
  Records.Name = ServiceName("records");
  Records.Kinds = {
      {"read", "GET", "/records/*", true, 1s, {}, 0, false},
      {"close", "POST", "/records/*/close", false, 1s, {}, 0, false}};
  return {{Records}};
}

TEST(RouteTableTest, match_pathWithWildcard_returnsRoute) {
  const RouteTable Table(makeConfiguration());
  EXPECT_EQ(Table.match("GET", "/records/17?full=1"), (Route{0, 0}));
  EXPECT_EQ(Table.match("POST", "/records/17/close"), (Route{0, 1}));
}

TEST(RouteTableTest, match_otherMethodOrPathLength_returnsNothing) {
  const RouteTable Table(makeConfiguration());
  EXPECT_FALSE(Table.match("PUT", "/records/17"));
  EXPECT_FALSE(Table.match("GET", "/records"));
  EXPECT_FALSE(Table.match("GET", "/records/17/x"));
  EXPECT_FALSE(Table.match("GET", ""));
}

RC_GTEST_PROP(IssuerTokenTest, parse_formattedToken_returnsSameToken, ()) {
  const auto Incarnation = *rc::gen::arbitrary<std::uint64_t>();
  const auto Epoch = *rc::gen::arbitrary<std::uint64_t>();
  const IssuerToken Token{HostName("bog-a-1"), IncarnationId(Incarnation),
                          Epoch};
  RC_ASSERT(parseIssuerToken(format(Token)) == Token);
}

TEST(IssuerTokenTest, parse_malformedText_returnsNothing) {
  for (const char *Text : {"", ".", "..", "a.1", "a.1.", ".1.1", "a.x.1",
                           "a.1.x", "a.1.1 ", "a.11111111111111111.1"})
    EXPECT_FALSE(parseIssuerToken(Text)) << Text;
}

TEST(SequenceWindowTest, accept_duplicateOrReorderedNumber_acceptsEachOnce) {
  SequenceWindow Window;
  EXPECT_TRUE(Window.accept(5));
  EXPECT_TRUE(Window.accept(3));
  EXPECT_FALSE(Window.accept(5));
  EXPECT_FALSE(Window.accept(3));
  EXPECT_TRUE(Window.accept(100'000));
  EXPECT_FALSE(Window.accept(4));
  EXPECT_TRUE(Window.accept(99'999));
  EXPECT_FALSE(Window.accept(0));
}

RC_GTEST_PROP(SequenceWindowTest, accept_anyOrder_acceptsNoNumberTwice,
              (const std::vector<std::uint16_t> &Numbers)) {
  SequenceWindow Window;
  std::set<std::uint16_t> Accepted;
  for (const std::uint16_t Number : Numbers)
    if (Window.accept(Number))
      RC_ASSERT(Accepted.insert(Number).second);
}

WorkItem makeItem(std::uint64_t Id, PriorityClass Priority,
                  Duration ExpiresIn) {
  WorkItem Item;
  Item.Attempt = AttemptId(Id);
  Item.Kind.Priority = Priority;
  Item.ExpiresAt = Start + ExpiresIn;
  return Item;
}

TEST(WorkQueueTest, pop_mixedPriorities_ordersByPriorityThenDeadline) {
  WorkQueue Queue;
  Queue.push(makeItem(1, PriorityClass::Low, 1s));
  Queue.push(makeItem(2, PriorityClass::Normal, 9s));
  Queue.push(makeItem(3, PriorityClass::Normal, 2s));
  Queue.push(makeItem(4, PriorityClass::High, 30s));
  std::vector<std::uint64_t> Order;
  while (const auto Item = Queue.pop())
    Order.push_back(Item->Attempt.value());
  EXPECT_EQ(Order, (std::vector<std::uint64_t>{4, 3, 2, 1}));
}

TEST(WorkQueueTest, removeExpired_someExpired_removesOnlyThose) {
  WorkQueue Queue;
  Queue.push(makeItem(1, PriorityClass::Low, 1s));
  Queue.push(makeItem(2, PriorityClass::High, 1s));
  Queue.push(makeItem(3, PriorityClass::High, 5s));
  EXPECT_EQ(Queue.removeExpired(Start + 2s).size(), 2U);
  EXPECT_EQ(Queue.size(), 1U);
  EXPECT_EQ(Queue.countBefore(PriorityClass::Low, Start + 9s), 1U);
}

std::vector<MemberRecord> makeHosts(unsigned PerDataCentre) {
  std::vector<MemberRecord> Hosts;
  for (const char *DataCentre : {"dc-a", "dc-b", "dc-c"})
    for (unsigned Index = 0; Index < PerDataCentre; ++Index) {
      MemberRecord Host;
      Host.Host = HostName(DataCentre + std::to_string(Index));
      Host.DataCentre = DataCentre;
      Hosts.push_back(Host);
    }
  return Hosts;
}

Service makeServers(unsigned Count) {
  Service TestService;
  for (unsigned Index = 0; Index < Count; ++Index) {
    BackendServer Server;
    Server.Name = ServerName("s" + std::to_string(Index));
    Server.DataCentre = std::string("dc-") + "abc"[Index % 3];
    Server.Slots = 2;
    TestService.Servers.push_back(Server);
  }
  return TestService;
}

TEST(OwnershipTest,
     assignOwners_serversInEachDataCentre_assignsLocallyAndEvenly) {
  const Service TestService = makeServers(15);
  const auto Hosts = makeHosts(2);
  const auto Owners = assignOwners(TestService, Hosts);
  std::map<HostName, unsigned> Count;
  for (std::size_t Index = 0; Index < Owners.size(); ++Index) {
    ++Count[Owners[Index]];
    EXPECT_EQ(Owners[Index].value().substr(0, 4),
              TestService.Servers[Index].DataCentre);
  }
  EXPECT_EQ(Count.size(), 6U);
  for (const auto &[Host, Owned] : Count)
    EXPECT_LE(Owned, 3U);
}

TEST(OwnershipTest, assignOwners_noHostInDataCentre_assignsToOtherDataCentres) {
  auto Hosts = makeHosts(1);
  Hosts.erase(Hosts.begin());
  for (const HostName &Owner : assignOwners(makeServers(6), Hosts))
    EXPECT_FALSE(Owner.value().empty());
  for (const HostName &Owner : assignOwners(makeServers(6), {}))
    EXPECT_TRUE(Owner.value().empty());
}

TEST(ExpiringNoticesTest, mergeDrain_drainThenReturn_greaterVersionWins) {
  ExpiringNotices Local{NoticeLifetimes()};
  ExpiringNotices Remote{NoticeLifetimes()};
  const ServerName Server("s");
  EXPECT_TRUE(Local.setDraining(Start, Server, true));
  for (const DrainNotice &Notice : Local.drains(Start))
    EXPECT_TRUE(Remote.mergeDrain(Start, Notice));
  EXPECT_TRUE(Remote.setDraining(Start, Server, false));
  for (const DrainNotice &Notice : Remote.drains(Start))
    EXPECT_TRUE(Local.mergeDrain(Start, Notice));
  EXPECT_FALSE(Local.isDraining(Start, Server));
  EXPECT_EQ(Local.digest(), Remote.digest());
}

TEST(ExpiringNoticesTest, crashCount_sameEventTwice_countsItOnce) {
  ExpiringNotices Notices{NoticeLifetimes()};
  const CrashNotice Notice = Notices.addCrash(Start, 42, ServerName("s1"), 1);
  EXPECT_FALSE(Notices.mergeCrash(Start, Notice));
  EXPECT_EQ(Notices.crashCount(Start, 42), 1U);
  Notices.addCrash(Start, 42, ServerName("s2"), 2);
  EXPECT_EQ(Notices.crashCount(Start, 42), 2U);
  EXPECT_EQ(Notices.crashCount(Start, 43), 0U);
  EXPECT_EQ(Notices.crashCount(Start + 61s, 42), 0U);
}

} // namespace
} // namespace mimosacart
