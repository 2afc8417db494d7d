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

} // namespace
} // namespace mimosacart
