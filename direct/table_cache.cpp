#include "direct/table_cache.h"

#include <algorithm>
#include <set>

namespace mimosacart {

namespace {

/// Number of removed rows kept for peers that do not have the removal yet.
constexpr std::size_t MaxRemovals = 500;

} // namespace

std::size_t countBytes(const std::vector<TableRow> &Rows) {
  std::size_t Bytes = 0;
  for (const TableRow &Row : Rows)
    Bytes += Row.Key.size() + Row.Value.size();
  return Bytes;
}

std::vector<TableRows> splitUpdate(TableRows Update, std::size_t MaxBytes) {
  if (Update.Whole || countBytes(Update.Rows) <= MaxBytes)
    return {std::move(Update)};
  std::vector<TableRow> Rows = std::move(Update.Rows);
  std::sort(Rows.begin(), Rows.end(),
            [](const TableRow &Left, const TableRow &Right) {
              return Left.Version < Right.Version;
            });
  Update.Rows.clear();
  TableRows Part = Update;
  Part.ConfirmedAgo.reset();
  std::vector<TableRows> Result;
  std::size_t Bytes = 0;
  for (TableRow &Row : Rows) {
    const std::size_t RowBytes = Row.Key.size() + Row.Value.size();
    if (!Part.Rows.empty() && Bytes + RowBytes > MaxBytes) {
      // One transaction may have changed several rows. Its version is complete
      // only with the last of them.
      Part.UpTo = std::min(Part.Rows.back().Version, Row.Version.previous());
      Result.push_back(Part);
      Part.After = Part.UpTo;
      Part.Rows.clear();
      Bytes = 0;
    }
    Bytes += RowBytes;
    Part.Rows.push_back(std::move(Row));
  }
  Part.UpTo = Update.UpTo;
  Part.ConfirmedAgo = Update.ConfirmedAgo;
  Result.push_back(std::move(Part));
  return Result;
}

bool TableCache::apply(const std::vector<TableRow> &Changes,
                       StoreVersion UpTo) {
  if (!isEmpty() && UpTo.era() != knownVersion().era())
    return false;
  for (const TableRow &Row : Changes)
    applyRow(Row);
  Version = std::max(Version, UpTo);
  // Most answers of the store hold no changes.
  if (!Changes.empty())
    discardOldRemovals();
  return true;
}

bool TableCache::replace(const std::vector<TableRow> &AllRows,
                         StoreVersion AsOf) {
  if (AsOf < Version || AsOf.era() < knownVersion().era())
    return false;
  if (lacksEraOf(AsOf))
    beginEra({AsOf.era(), 0});
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

void TableCache::beginEra(StoreVersion First) {
  std::erase_if(Rows, [](const auto &Entry) { return Entry.second.Removed; });
  DiscardedUpTo = StoreVersion();
  // A table without rows must not look older than that of the era before.
  if (LatestRowVersion != StoreVersion())
    LatestRowVersion = First;
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
  std::vector<StoreVersion> Removals;
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

TableRows TableCache::rowsAfter(StoreTable Table, StoreVersion After) const {
  TableRows Result;
  Result.Table = Table;
  Result.After = After;
  Result.UpTo = LatestRowVersion;
  if (After >= LatestRowVersion)
    return Result;
  const bool IsOfEarlierEra =
      After != StoreVersion() && After.era() < LatestRowVersion.era();
  Result.Whole = IsOfEarlierEra || After < DiscardedUpTo;
  for (const auto &[Key, Row] : Rows) {
    const bool Included = Result.Whole ? !Row.Removed : Row.Version > After;
    if (Included)
      Result.Rows.push_back(Row);
  }
  return Result;
}

} // namespace mimosacart
