#include "direct/table_cache.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosacart {
namespace {

class TableCacheTest : public testing::Test {
protected:
  std::vector<std::string> Changes;
  TableCache Cache{[this](const TableRow &Row) {
    Changes.push_back(Row.Key + "=" + (Row.Removed ? "gone" : Row.Value));
  }};
};

using Strings = std::vector<std::string>;

TEST_F(TableCacheTest, apply_olderRow_isIgnored) {
  Cache.apply({{"a", 5, false, "new"}}, 5);
  Cache.apply({{"a", 4, false, "old"}}, 4);
  EXPECT_EQ(Changes, Strings{"a=new"});
  EXPECT_EQ(Cache.version(), 5U);
}

TEST_F(TableCacheTest, apply_removedThenOlderRow_staysRemoved) {
  Cache.apply({{"a", 5, false, "x"}}, 5);
  Cache.apply({{"a", 6, true, ""}}, 6);
  Cache.apply({{"a", 5, false, "x"}}, 6);
  EXPECT_EQ(Changes, (Strings{"a=x", "a=gone"}));
}

TEST_F(TableCacheTest, replace_olderVersion_isRejected) {
  Cache.apply({{"a", 5, false, "x"}}, 9);
  EXPECT_FALSE(Cache.replace({}, 8));
  EXPECT_EQ(Changes, Strings{"a=x"});
}

TEST_F(TableCacheTest, replace_missingRow_isRemoved) {
  Cache.apply({{"a", 5, false, "x"}, {"b", 6, false, "y"}}, 6);
  EXPECT_TRUE(Cache.replace({{"b", 6, false, "y"}}, 7));
  EXPECT_EQ(Changes, (Strings{"a=x", "b=y", "a=gone"}));
}

TEST_F(TableCacheTest, replace_rowNewerThanTheRead_isKept) {
  // A peer sent the row while this host was still reading the table.
  Cache.apply({{"a", 5, false, "x"}}, 5);
  Cache.apply({{"b", 9, false, "y"}}, 5);
  EXPECT_TRUE(Cache.replace({{"a", 5, false, "x"}}, 7));
  EXPECT_EQ(Changes, (Strings{"a=x", "b=y"}));
}

TEST_F(TableCacheTest, rowsAfter_removalsDiscarded_returnsAllRows) {
  std::vector<TableRow> Rows;
  for (std::uint64_t Version = 1; Version <= 1200; ++Version)
    Rows.push_back({"k" + std::to_string(Version), Version, true, ""});
  Rows.push_back({"kept", 1201, false, "v"});
  Cache.apply(Rows, 1201);
  const TableRows All = Cache.rowsAfter(StoreTable::Servers, 0);
  EXPECT_TRUE(All.Whole);
  ASSERT_EQ(All.Rows.size(), 1U);
  EXPECT_EQ(All.Rows.front().Key, "kept");
  EXPECT_FALSE(Cache.rowsAfter(StoreTable::Servers, 1200).Whole);
}

/// Two caches that exchange their changes are equal afterwards, whatever the
/// order of the changes and however often an update is applied.
RC_GTEST_PROP(TableCachePropertyTest, rowsAfter_anyOrder_cachesAgree,
              (const std::vector<std::uint8_t> &Steps)) {
  std::map<std::string, std::string> SourceRows;
  std::map<std::string, std::string> CopyRows;
  const auto RecordIn = [](std::map<std::string, std::string> &Target) {
    return [&Target](const TableRow &Row) {
      if (Row.Removed)
        Target.erase(Row.Key);
      else
        Target[Row.Key] = Row.Value;
    };
  };
  TableCache Source(RecordIn(SourceRows));
  TableCache Copy(RecordIn(CopyRows));
  std::uint64_t Version = 0;
  for (const std::uint8_t Step : Steps) {
    ++Version;
    const std::string Key(1, static_cast<char>('a' + Step % 5));
    Source.apply({{Key, Version, Step % 3 == 0, std::to_string(Version)}},
                 Version);
    if (Step % 4 == 0) {
      const TableRows Update =
          Source.rowsAfter(StoreTable::Servers, Copy.latestRowVersion());
      Copy.apply(Update.Rows, Update.UpTo);
      Copy.apply(Update.Rows, Update.UpTo);
    }
  }
  const TableRows LastUpdate =
      Source.rowsAfter(StoreTable::Servers, Copy.latestRowVersion());
  Copy.apply(LastUpdate.Rows, LastUpdate.UpTo);
  RC_ASSERT(SourceRows == CopyRows);
}

/// An update of \p Count rows of 10 bytes each after version 4.
TableRows makeUpdate(unsigned Count) {
  TableRows Update;
  Update.After = 4;
  Update.ConfirmedAgo = Duration(1);
  for (unsigned Index = 0; Index < Count; ++Index)
    Update.Rows.push_back(
        {"k" + std::to_string(Index), 5 + (Count - Index), false, "12345678"});
  Update.UpTo = 5 + Count;
  return Update;
}

TEST(SplitUpdateTest, splitUpdate_smallUpdate_isLeftWhole) {
  const std::vector<TableRows> Parts = splitUpdate(makeUpdate(5), 50);
  ASSERT_EQ(Parts.size(), 1U);
  EXPECT_EQ(Parts[0].Rows.size(), 5U);
  EXPECT_TRUE(Parts[0].ConfirmedAgo);
}

TEST(SplitUpdateTest, splitUpdate_largeUpdate_partsFollowEachOther) {
  const std::vector<TableRows> Parts = splitUpdate(makeUpdate(7), 30);
  ASSERT_EQ(Parts.size(), 3U);
  EXPECT_EQ(Parts.front().After, 4U);
  EXPECT_EQ(Parts.back().UpTo, 12U);
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    EXPECT_LE(countBytes(Parts[Index].Rows), 30U);
    const bool IsLast = Index + 1 == Parts.size();
    EXPECT_EQ(Parts[Index].ConfirmedAgo.has_value(), IsLast);
    if (!IsLast) {
      EXPECT_EQ(Parts[Index].UpTo, Parts[Index + 1].After);
    }
  }
}

TEST(SplitUpdateTest, splitUpdate_rowsOfOneTransaction_versionEndsWithTheLast) {
  TableRows Update = makeUpdate(4);
  for (TableRow &Row : Update.Rows)
    Row.Version = 9;
  Update.UpTo = 9;
  const std::vector<TableRows> Parts = splitUpdate(Update, 20);
  ASSERT_EQ(Parts.size(), 2U);
  EXPECT_EQ(Parts[0].UpTo, 8U);
  EXPECT_EQ(Parts[1].UpTo, 9U);
}

TEST(SplitUpdateTest, splitUpdate_rowOverTheLimit_isSentAlone) {
  TableRows Update = makeUpdate(3);
  Update.Rows[1].Value = std::string(100, 'x');
  const std::vector<TableRows> Parts = splitUpdate(Update, 30);
  ASSERT_EQ(Parts.size(), 3U);
  EXPECT_EQ(Parts[1].Rows.size(), 1U);
}

/// A cache at version 900 of era 1 with rows a and b.
class TableCacheEraTest : public TableCacheTest {
protected:
  TableCacheEraTest() {
    Cache.replace({{"a", {1, 860}, false, "x"}, {"b", {1, 890}, false, "y"}},
                  {1, 900});
    Changes.clear();
  }
};

TEST_F(TableCacheEraTest, replace_laterEraWithLowerNumbers_isTaken) {
  EXPECT_TRUE(Cache.replace(
      {{"a", {2, 855}, false, "new"}, {"b", {2, 840}, false, "y"}}, {2, 860}));
  EXPECT_EQ(Changes, Strings{"a=new"});
  EXPECT_EQ(Cache.version(), StoreVersion(2, 860));
}

TEST_F(TableCacheEraTest, replace_earlierEra_isRejected) {
  Cache.replace({{"a", {2, 855}, false, "new"}}, {2, 860});
  Changes.clear();
  EXPECT_FALSE(Cache.replace({{"a", {1, 950}, false, "late"}}, {1, 950}));
  EXPECT_EQ(Changes, Strings{});
}

TEST_F(TableCacheEraTest, apply_anotherEra_isRejected) {
  EXPECT_FALSE(Cache.apply({{"a", {2, 901}, false, "new"}}, {2, 901}));
  EXPECT_FALSE(Cache.apply({{"a", 901, false, "old"}}, 901));
  EXPECT_EQ(Changes, Strings{});
  EXPECT_EQ(Cache.version(), StoreVersion(1, 900));
}

TEST_F(TableCacheEraTest, replace_laterEraLacksRow_isRemoved) {
  Cache.replace({{"a", {2, 850}, false, "x"}}, {2, 850});
  EXPECT_EQ(Changes, Strings{"b=gone"});
}

TEST_F(TableCacheEraTest, rowsAfter_versionOfEarlierEra_returnsAllRows) {
  Cache.replace({{"a", {2, 800}, false, "x"}, {"b", {2, 820}, false, "y"}},
                {2, 850});
  const TableRows All = Cache.rowsAfter(StoreTable::Servers, {1, 900});
  EXPECT_TRUE(All.Whole);
  EXPECT_EQ(All.Rows.size(), 2U);
  EXPECT_EQ(All.UpTo, StoreVersion(2, 820));
}

TEST_F(TableCacheEraTest, rowsAfter_noVersion_canBeSplit) {
  EXPECT_FALSE(Cache.rowsAfter(StoreTable::Servers, {}).Whole);
}

TEST_F(TableCacheEraTest, replace_laterEraIsEmpty_looksLaterThanBefore) {
  Cache.replace({}, {2, 10});
  EXPECT_EQ(Changes, (Strings{"a=gone", "b=gone"}));
  EXPECT_GT(Cache.latestRowVersion(), StoreVersion(1, 900));
}

} // namespace
} // namespace mimosacart
