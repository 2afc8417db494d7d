/// \file
/// What the messages of a process may hold together.
#include "core/memory_budget.h"
#include "core/payload.h"

#include <gtest/gtest.h>

#include <vector>

namespace mimosacart {
namespace {

constexpr std::size_t Uncounted = MemoryReservation::UncountedBytes;

class MemoryBudgetTest : public testing::Test {
protected:
  std::shared_ptr<MemoryBudget> Budget = std::make_shared<MemoryBudget>(900);
};

TEST_F(MemoryBudgetTest, resize_largestMessage_fitsAlone) {
  MemoryReservation Only(Budget);
  EXPECT_FALSE(Only.resize(Uncounted + Budget->largestMessage() + 2));
  EXPECT_TRUE(Only.resize(Uncounted + Budget->largestMessage()));
  EXPECT_EQ(Budget->held(), Budget->largestMessage());
}

TEST_F(MemoryBudgetTest, resize_tooLarge_keepsSize) {
  MemoryReservation Reservation(Budget);
  ASSERT_TRUE(Reservation.resize(Uncounted + 100));
  EXPECT_FALSE(Reservation.resize(Uncounted + 800));
  EXPECT_EQ(Budget->held(), 100U);
}

// Guards against long messages that leave no room for shorter ones.
TEST_F(MemoryBudgetTest, resize_manyLongMessages_leaveRoomForOthers) {
  std::vector<MemoryReservation> Long;
  for (unsigned Count = 0; Count < 10; ++Count) {
    Long.emplace_back(Budget);
    (void)Long.back().resize(Uncounted + 300);
  }
  EXPECT_EQ(Budget->held(), 600U);
  MemoryReservation Short(Budget);
  EXPECT_TRUE(Short.resize(Uncounted + 100));
}

TEST_F(MemoryBudgetTest, resize_fewBytes_fitWhileBudgetIsUsedUp) {
  std::vector<MemoryReservation> Others;
  for (unsigned Size = 600; Size > 0; Size /= 2) {
    Others.emplace_back(Budget);
    (void)Others.back().resize(Uncounted + Size);
  }
  MemoryReservation Common(Budget);
  EXPECT_TRUE(Common.resize(Uncounted));
}

// Guards against a common message that is refused because longer ones, which
// are still being read, hold the budget.
TEST_F(MemoryBudgetTest, resize_longerMessageCanBeEnded_makesRoom) {
  MemoryReservation Running(Budget);
  ASSERT_TRUE(Running.resize(Uncounted + 600));
  auto Long = std::make_unique<MemoryReservation>(Budget);
  ASSERT_TRUE(Long->resize(Uncounted + 200));
  Long->onReclaim([&Long] { Long.reset(); });
  MemoryReservation Longer(Budget);
  EXPECT_FALSE(Longer.resize(Uncounted + 250));
  EXPECT_TRUE(Long);
  MemoryReservation Common(Budget);
  EXPECT_TRUE(Common.resize(Uncounted + 150));
  EXPECT_FALSE(Long);
  EXPECT_EQ(Budget->held(), 750U);
}

TEST_F(MemoryBudgetTest, resize_tooLargeForBudget_endsNoOther) {
  MemoryReservation Other(Budget);
  ASSERT_TRUE(Other.resize(Uncounted + 500));
  bool Ended = false;
  Other.onReclaim([&Ended] { Ended = true; });
  MemoryReservation TooLarge(Budget);
  EXPECT_FALSE(TooLarge.resize(Uncounted + 900));
  EXPECT_FALSE(Ended);
}

TEST_F(MemoryBudgetTest, onReclaim_reservationMoved_movesHook) {
  bool Ended = false;
  MemoryReservation First(Budget);
  ASSERT_TRUE(First.resize(Uncounted + 550));
  First.onReclaim([&Ended] { Ended = true; });
  MemoryReservation Second(std::move(First));
  MemoryReservation Common(Budget);
  EXPECT_TRUE(Common.resize(Uncounted + 400));
  EXPECT_TRUE(Ended);
}

TEST_F(MemoryBudgetTest, reservation_movedOrDestroyed_givesBytesBackOnce) {
  {
    MemoryReservation First(Budget);
    ASSERT_TRUE(First.resize(Uncounted + 100));
    MemoryReservation Second(std::move(First));
    EXPECT_EQ(Budget->held(), 100U);
    First = std::move(Second);
    EXPECT_EQ(Budget->held(), 100U);
  }
  EXPECT_EQ(Budget->held(), 0U);
}

TEST_F(MemoryBudgetTest, payload_copies_holdBytesUntilLastIsGone) {
  MemoryReservation Reservation(Budget);
  ASSERT_TRUE(Reservation.resize(Uncounted + 100));
  auto First = std::make_unique<Payload>("body", std::move(Reservation));
  const auto Second = std::make_unique<Payload>(*First);
  First.reset();
  EXPECT_EQ(Second->bytes(), "body");
  EXPECT_EQ(Budget->held(), 100U);
}

TEST(MemoryReservationTest, resize_noBudget_alwaysFits) {
  MemoryReservation Reservation;
  EXPECT_TRUE(Reservation.resize(static_cast<std::size_t>(-1)));
}

} // namespace
} // namespace mimosacart
