#include "platform/store_era.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

class StoreEraReaderTest : public testing::Test {
protected:
  std::optional<std::uint64_t> observe(const std::string &Text) {
    return observeFields({{"Store-Era", Text}});
  }
  std::optional<std::uint64_t> observeFields(std::vector<HeaderField> Fields) {
    HttpResponse Answer;
    Answer.Headers = std::move(Fields);
    Answer.Use.Connection = Connection;
    return Reader.observe(Answer);
  }

  std::uint64_t Connection = 1;

  std::vector<std::string> Changes;
  std::vector<std::string> Faults;
  StoreEraReader Reader{
      {[this](std::optional<std::uint64_t> Before, std::uint64_t Latest) {
         Changes.push_back((Before ? std::to_string(*Before) : "none") + ">" +
                           std::to_string(Latest));
       },
       [this](EraFault Fault, const std::string &Text) {
         Faults.push_back(std::string(toString(Fault)) + ":" + Text);
       }}};
};

using Strings = std::vector<std::string>;

TEST_F(StoreEraReaderTest, observe_neverNamed_isEraZeroWithoutFault) {
  EXPECT_EQ(observeFields({}), 0U);
  EXPECT_EQ(observeFields({{"Other", "1"}}), 0U);
  EXPECT_EQ(Faults, Strings{});
  EXPECT_EQ(Changes, Strings{});
}

TEST_F(StoreEraReaderTest, observe_rises_isReportedOnceEach) {
  EXPECT_EQ(observe("1"), 1U);
  EXPECT_EQ(observe("1"), 1U);
  EXPECT_EQ(observeFields({{"store-era", "2"}}), 2U);
  EXPECT_EQ(Changes, (Strings{"none>1", "1>2"}));
}

TEST_F(StoreEraReaderTest, observe_namedAfterUnnamedAnswer_isAChange) {
  observeFields({});
  EXPECT_EQ(observe("1"), 1U);
  EXPECT_EQ(Changes, Strings{"0>1"});
}

TEST_F(StoreEraReaderTest, observe_falls_isNoEraAndReportedOnce) {
  observe("3");
  EXPECT_EQ(observe("2"), std::nullopt);
  EXPECT_EQ(observe("1"), std::nullopt);
  EXPECT_EQ(observe("3"), 3U);
  EXPECT_EQ(Faults, Strings{"older:2"});
}

TEST_F(StoreEraReaderTest, observe_missing_isEraKnownSoFar) {
  observe("3");
  EXPECT_EQ(observeFields({}), 3U);
  EXPECT_EQ(observeFields({}), 3U);
  EXPECT_EQ(Faults, Strings{"missing:"});
  observe("4");
  observeFields({});
  EXPECT_EQ(Faults, Strings{"missing:"});
  Connection = 2;
  observeFields({});
  observeFields({});
  Connection = 1;
  observeFields({});
  EXPECT_EQ(Faults, (Strings{"missing:", "missing:"}));
}

TEST_F(StoreEraReaderTest, observe_unreadable_isEraKnownSoFar) {
  observe("3");
  for (const char *Text :
       {"", "x", "-1", "+4", " 4", "4 ", "4.0", "0x4", "18446744073709551616"})
    EXPECT_EQ(observe(Text), 3U) << Text;
  EXPECT_EQ(observeFields({{"Store-Era", "4"}, {"Store-Era", "5"}}), 3U);
  EXPECT_EQ(Faults, Strings{"unreadable:"});
}

TEST_F(StoreEraReaderTest, observe_longUnreadableText_isQuotedInPart) {
  observe(std::string(60'000, 'x'));
  ASSERT_EQ(Faults.size(), 1U);
  EXPECT_LT(Faults.front().size(), 100U);
}

} // namespace
} // namespace mimosacart
