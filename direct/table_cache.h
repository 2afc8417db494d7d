/// \file
/// This host's copy of one table of the store.
#pragma once

#include "core/peer_messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mimosacart {

/// Rows by key, each at the latest version seen. A row never goes back to an
/// older version, whether rows come from the store or from peers.
class TableCache {
public:
  /// Told of each row that changed; the value of a removed row is empty.
  using ChangeHook = std::function<void(const TableRow &)>;

  explicit TableCache(ChangeHook Changed) : Changed(std::move(Changed)) {}

  /// Takes rows that changed after an earlier version, up to \p Version.
  void apply(const std::vector<TableRow> &Rows, std::uint64_t Version);
  /// Takes all rows of the table as of \p Version. False, with nothing taken,
  /// if a later version is already known.
  bool replace(const std::vector<TableRow> &Rows, std::uint64_t Version);

  /// Version up to which the copy is whole.
  std::uint64_t version() const { return Version; }
  /// Version of the row that changed last. Unlike version() it stays the same
  /// while other tables change.
  std::uint64_t newest() const { return Newest; }
  /// What changed after \p After, or all rows if that is no longer known.
  TableRows rowsAfter(StoreTable Table, std::uint64_t After) const;

private:
  void take(const TableRow &Row);
  void forgetOldRemovals();

  const ChangeHook Changed;
  std::map<std::string, TableRow> Rows;
  std::uint64_t Version = 0;
  std::uint64_t Newest = 0;
  /// Removals up to this version are no longer kept.
  std::uint64_t RemovalsSince = 0;
};

} // namespace mimosacart
