#include "core/claim_journal.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};

class ClaimJournalTest : public testing::Test {
protected:
  static AnswerPtr makeAnswer(std::size_t Bytes) {
    return std::make_shared<const Answer>(
        Answer{200, {}, std::string(Bytes, 'x')});
  }

  ClaimJournal Journal{JournalLimits()};
};

TEST_F(ClaimJournalTest, next_nothingSettled_returnsNothing) {
  EXPECT_FALSE(Journal.next(Start, 0, 6));
}

TEST_F(ClaimJournalTest, next_writeInProgress_returnsNothing) {
  Journal.record({0, "k"}, makeAnswer(1));
  ASSERT_TRUE(Journal.next(Start, 0, 6));
  Journal.record({0, "l"}, makeAnswer(1));
  EXPECT_FALSE(Journal.next(Start + 10s, 0, 6));
}

TEST_F(ClaimJournalTest, next_afterFailedWrite_returnsSameSegment) {
  Journal.record({0, "k"}, makeAnswer(1));
  const auto First = Journal.next(Start, 0, 6);
  Journal.onWritten(false);
  Journal.record({0, "l"}, makeAnswer(1));
  const auto Again = Journal.next(Start + 1s, 1, 6);
  ASSERT_TRUE(First && Again);
  EXPECT_EQ(Again->Epoch, First->Epoch);
  EXPECT_EQ(Again->Number, First->Number);
  EXPECT_EQ(Again->Claims, First->Claims);
}

TEST_F(ClaimJournalTest, next_newEpoch_numbersSegmentsFromZero) {
  Journal.record({0, "k"}, makeAnswer(1));
  Journal.next(Start, 0, 6);
  Journal.onWritten(true);
  Journal.record({0, "l"}, makeAnswer(1));
  EXPECT_EQ(Journal.next(Start + 1s, 0, 6)->Number, 1U);
  Journal.onWritten(true);
  Journal.record({1, "m"}, makeAnswer(1));
  EXPECT_EQ(Journal.next(Start + 2s, 1, 6)->Number, 0U);
}

TEST_F(ClaimJournalTest, next_largeFleet_lowersWriteRate) {
  Journal.record({0, "k"}, makeAnswer(1));
  Journal.next(Start, 0, 400);
  Journal.onWritten(true);
  Journal.record({0, "l"}, makeAnswer(1));
  EXPECT_FALSE(Journal.next(Start + 1900ms, 0, 400));
  EXPECT_TRUE(Journal.next(Start + 2s, 0, 400));
}

TEST_F(ClaimJournalTest, record_bufferFull_dropsOldestClaim) {
  JournalLimits Limits;
  Limits.MaxWaiting = 2;
  ClaimJournal SmallJournal(Limits);
  for (const char *Key : {"a", "b", "c"})
    SmallJournal.record({0, Key}, makeAnswer(1));
  EXPECT_EQ(SmallJournal.dropped(), 1U);
  EXPECT_EQ(SmallJournal.next(Start, 0, 6)->Claims.front().Key, "b");
}

TEST_F(ClaimJournalTest, record_answerTooLarge_keepsClaimWithoutAnswer) {
  Journal.record({0, "k"}, makeAnswer(1U << 20U));
  EXPECT_EQ(Journal.next(Start, 0, 6)->Claims.front().Reply, nullptr);
}

} // namespace
} // namespace mimosacart
