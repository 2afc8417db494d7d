/// \file
/// Local copy of one table of the store.
#pragma once

#include "core/peer_messages.h"

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
/// version, whether updates come from the store or from peers.
class TableCache {
public:
  /// Called for each row that changed; the value of a removed row is empty.
  using ChangeHook = std::function<void(const TableRow &)>;

  explicit TableCache(ChangeHook Changed) : Changed(std::move(Changed)) {}

  /// Applies the rows that changed between an earlier version and \p Version.
  void apply(const std::vector<TableRow> &Rows, std::uint64_t Version);
  /// Replaces the copy by all rows of the table as of \p Version. Returns false
  /// and changes nothing if the copy is already complete up to a later version.
  bool replace(const std::vector<TableRow> &Rows, std::uint64_t Version);

  /// Version up to which the copy is complete.
  std::uint64_t version() const { return Version; }
  /// Latest version of any row. Unlike version(), it does not grow when only
  /// other tables change.
  std::uint64_t latestRowVersion() const { return LatestRowVersion; }
  /// The rows that changed after version \p After, or all rows if removals
  /// after that version have been discarded.
  TableRows rowsAfter(StoreTable Table, std::uint64_t After) const;

private:
  void applyRow(const TableRow &Row);
  void discardOldRemovals();

  const ChangeHook Changed;
  /// Removed rows stay in the map until discardOldRemovals().
  std::map<std::string, TableRow> Rows;
  std::uint64_t Version = 0;
  std::uint64_t LatestRowVersion = 0;
  /// Removed rows up to this version have been discarded.
  std::uint64_t DiscardedUpTo = 0;
};

} // namespace mimosacart
