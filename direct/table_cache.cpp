#include "direct/table_cache.h"

#include <algorithm>
#include <set>

namespace mimosacart {

namespace {

/// Number of removed rows kept for peers that do not have the removal yet.
constexpr std::size_t MaxRemovals = 500;

} // namespace

void TableCache::apply(const std::vector<TableRow> &Changes,
                       std::uint64_t UpTo) {
  for (const TableRow &Row : Changes)
    applyRow(Row);
  Version = std::max(Version, UpTo);
  // Most answers of the store hold no changes.
  if (!Changes.empty())
    discardOldRemovals();
}

bool TableCache::replace(const std::vector<TableRow> &AllRows,
                         std::uint64_t AsOf) {
  if (AsOf < Version)
    return false;
  std::set<std::string> Present;
  for (const TableRow &Row : AllRows)
    Present.insert(Row.Key);
  std::vector<TableRow> Deleted;
  for (const auto &[Key, Row] : Rows)
    if (!Row.Removed && !Present.contains(Key) && Row.Version <= AsOf)
      Deleted.push_back({Key, AsOf, true, ""});
  for (const TableRow &Row : AllRows)
    applyRow(Row);
  for (const TableRow &Row : Deleted)
    applyRow(Row);
  Version = AsOf;
  discardOldRemovals();
  return true;
}

void TableCache::applyRow(const TableRow &Row) {
  const auto Found = Rows.find(Row.Key);
  if (Found != Rows.end() && Found->second.Version >= Row.Version)
    return;
  const bool Existed = Found != Rows.end() && !Found->second.Removed;
  const bool SameValue = Existed && Found->second.Value == Row.Value;
  Rows[Row.Key] = Row;
  LatestRowVersion = std::max(LatestRowVersion, Row.Version);
  if (Row.Removed ? Existed : !SameValue)
    Changed(Row);
}

void TableCache::discardOldRemovals() {
  std::vector<std::uint64_t> Removals;
  for (const auto &[Key, Row] : Rows)
    if (Row.Removed)
      Removals.push_back(Row.Version);
  if (Removals.size() <= MaxRemovals)
    return;
  const auto LastDiscarded = Removals.begin() + MaxRemovals / 2;
  std::nth_element(Removals.begin(), LastDiscarded, Removals.end());
  DiscardedUpTo = *LastDiscarded;
  std::erase_if(Rows, [this](const auto &Entry) {
    return Entry.second.Removed && Entry.second.Version <= DiscardedUpTo;
  });
}

TableRows TableCache::rowsAfter(StoreTable Table, std::uint64_t After) const {
  TableRows Result;
  Result.Table = Table;
  Result.After = After;
  Result.UpTo = LatestRowVersion;
  if (After >= LatestRowVersion)
    return Result;
  Result.Whole = After < DiscardedUpTo;
  for (const auto &[Key, Row] : Rows) {
    const bool Included = Result.Whole ? !Row.Removed : Row.Version > After;
    if (Included)
      Result.Rows.push_back(Row);
  }
  return Result;
}

} // namespace mimosacart
