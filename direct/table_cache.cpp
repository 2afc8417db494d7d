#include "direct/table_cache.h"

#include <algorithm>
#include <set>

namespace mimosacart {

namespace {

/// Removed rows that are kept for peers.
constexpr std::size_t MaxRemovals = 500;

} // namespace

void TableCache::apply(const std::vector<TableRow> &Changes,
                       std::uint64_t UpTo) {
  for (const TableRow &Row : Changes)
    take(Row);
  Version = std::max(Version, UpTo);
  // Most answers of the store bring nothing.
  if (!Changes.empty())
    forgetOldRemovals();
}

bool TableCache::replace(const std::vector<TableRow> &All, std::uint64_t AsOf) {
  if (AsOf < Version)
    return false;
  std::set<std::string> Present;
  for (const TableRow &Row : All)
    Present.insert(Row.Key);
  std::vector<TableRow> Gone;
  for (const auto &[Key, Row] : Rows)
    if (!Row.Removed && !Present.contains(Key) && Row.Version <= AsOf)
      Gone.push_back({Key, AsOf, true, ""});
  for (const TableRow &Row : All)
    take(Row);
  for (const TableRow &Row : Gone)
    take(Row);
  Version = AsOf;
  forgetOldRemovals();
  return true;
}

void TableCache::take(const TableRow &Row) {
  const auto Found = Rows.find(Row.Key);
  if (Found != Rows.end() && Found->second.Version >= Row.Version)
    return;
  const bool WasThere = Found != Rows.end() && !Found->second.Removed;
  const bool SameValue = WasThere && Found->second.Value == Row.Value;
  Rows[Row.Key] = Row;
  Newest = std::max(Newest, Row.Version);
  if (Row.Removed ? WasThere : !SameValue)
    Changed(Row);
}

void TableCache::forgetOldRemovals() {
  std::vector<std::uint64_t> Removals;
  for (const auto &[Key, Row] : Rows)
    if (Row.Removed)
      Removals.push_back(Row.Version);
  if (Removals.size() <= MaxRemovals)
    return;
  const auto Middle = Removals.begin() + MaxRemovals / 2;
  std::nth_element(Removals.begin(), Middle, Removals.end());
  RemovalsSince = *Middle;
  std::erase_if(Rows, [this](const auto &Entry) {
    return Entry.second.Removed && Entry.second.Version <= RemovalsSince;
  });
}

TableRows TableCache::rowsAfter(StoreTable Table, std::uint64_t After) const {
  TableRows Result;
  Result.Table = Table;
  Result.After = After;
  Result.UpTo = Newest;
  if (After >= Newest)
    return Result;
  Result.Whole = After < RemovalsSince;
  for (const auto &[Key, Row] : Rows) {
    const bool Wanted = Result.Whole ? !Row.Removed : Row.Version > After;
    if (Wanted)
      Result.Rows.push_back(Row);
  }
  return Result;
}

} // namespace mimosacart
