/// \file
/// Local copy of one table of the store.
#pragma once

#include "core/peer_messages.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mimosacart {

/// Number of bytes in the keys and values of \p Rows.
std::size_t countBytes(const std::vector<TableRow> &Rows);

/// Divides an update of changed rows into updates of at most \p MaxBytes, or of
/// one row if that is larger. Together, and applied in this order, they have
/// the same effect; the last one alone carries the confirmation.
std::vector<TableRows> splitUpdate(TableRows Update, std::size_t MaxBytes);

/// Caches the rows of one table by key. A row never goes back to an older
/// version, whether updates come from the store or from peers. All rows are of
/// one era; only the whole table of a later era leads to that era.
class TableCache {
public:
  /// Called for each row that changed; the value of a removed row is empty.
  using ChangeHook = std::function<void(const TableRow &)>;

  explicit TableCache(ChangeHook Changed) : Changed(std::move(Changed)) {}

  /// Applies the rows that changed between an earlier version and \p Version.
  /// Returns false and changes nothing if the copy is of another era.
  bool apply(const std::vector<TableRow> &Rows, StoreVersion Version);
  /// Replaces the copy by all rows of the table as of \p Version. Returns false
  /// and changes nothing if the copy is already complete up to a later version.
  bool replace(const std::vector<TableRow> &Rows, StoreVersion Version);

  /// Version up to which the copy is complete.
  StoreVersion version() const { return Version; }
  /// Latest version of any row. Unlike version(), it does not grow when only
  /// other tables change.
  StoreVersion latestRowVersion() const { return LatestRowVersion; }
  /// Version up to which this host has the rows, from the store or from peers.
  StoreVersion knownVersion() const {
    return std::max(Version, LatestRowVersion);
  }
  bool isEmpty() const { return knownVersion() == StoreVersion(); }
  /// Whether a version that another host has is of a later era than this copy,
  /// which then lacks the whole table.
  bool lacksEraOf(StoreVersion Other) const {
    return !isEmpty() && Other.era() > knownVersion().era();
  }
  /// The rows that changed after version \p After, or all rows if removals
  /// after that version have been discarded or it is of an earlier era.
  TableRows rowsAfter(StoreTable Table, StoreVersion After) const;

private:
  void applyRow(const TableRow &Row);
  void discardOldRemovals();
  /// Drops what the copy keeps of removals in earlier eras.
  void beginEra(StoreVersion First);

  const ChangeHook Changed;
  /// Removed rows stay in the map until discardOldRemovals().
  std::map<std::string, TableRow> Rows;
  StoreVersion Version;
  StoreVersion LatestRowVersion;
  /// Removed rows up to this version have been discarded.
  StoreVersion DiscardedUpTo;
};

} // namespace mimosacart
