/// \file
/// Reads TOML tables field by field and collects every error with its place.
#pragma once

#include "core/time.h"

#include <boost/outcome/result.hpp>
#include <toml++/toml.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacart {

/// One fault in a file of ours.
struct FieldError {
  std::string File;
  unsigned Line = 0;
  unsigned Column = 0;
  /// Dotted path of the field.
  std::string Key;
  /// What was found and what is allowed.
  std::string Message;

  friend bool operator==(const FieldError &, const FieldError &) = default;
};

using FieldErrors = std::vector<FieldError>;

/// Writes `file:line:column: key: message`.
std::string format(const FieldError &Error);

/// A value, or every fault of the file that it was to be read from.
template <typename T>
using Checked = boost::outcome_v2::result<T, FieldErrors,
                                          boost::outcome_v2::policy::terminate>;

/// Inclusive bounds of an integer field.
struct IntegerRange {
  std::int64_t Least = 0;
  std::int64_t Greatest = 0;
};

/// Reads the fields of one table. Fields that were not asked for are faults,
/// which finish() reports.
class TableReader {
public:
  TableReader(std::string File, std::string Path, const toml::table &Table,
              FieldErrors &Errors);

  /// A text that must be there and not be empty.
  std::string requiredText(std::string_view Key);
  std::string textOr(std::string_view Key, std::string Default);
  /// An `ip:port` address.
  std::string requiredAddress(std::string_view Key);
  /// One of \p Allowed.
  std::string choiceOr(std::string_view Key, std::string Default,
                       const std::vector<std::string> &Allowed);
  std::int64_t requiredInteger(std::string_view Key, IntegerRange Allowed);
  std::int64_t integerOr(std::string_view Key, std::int64_t Default,
                         IntegerRange Allowed);
  /// A number with or without a fraction, at least 0.
  double numberOr(std::string_view Key, double Default);
  /// A text of a number and its unit, `ms` or `s`.
  Duration timeOr(std::string_view Key, Duration Default);
  bool requiredBoolean(std::string_view Key);
  bool booleanOr(std::string_view Key, bool Default);
  std::vector<std::string> addressesOr(std::string_view Key,
                                       std::vector<std::string> Default);

  /// The table \p Key; an empty one, and a fault, if it is missing.
  TableReader requiredTable(std::string_view Key);
  /// The table \p Key, or an empty one.
  TableReader tableOrEmpty(std::string_view Key);
  /// The tables of the array \p Key; a fault if there are none.
  std::vector<TableReader> requiredTables(std::string_view Key);

  /// Reports every field that was not asked for.
  void finish();

  /// Reports a fault at \p Key, or at the table itself if it is not there.
  void fail(std::string_view Key, std::string Message);

private:
  const toml::node *find(std::string_view Key);
  const toml::node *findRequired(std::string_view Key);
  void failType(std::string_view Key, const toml::node &Found,
                std::string_view Expected);
  std::string pathOf(std::string_view Key) const;
  std::int64_t checkedInteger(std::string_view Key, const toml::node &Found,
                              std::int64_t Fallback, IntegerRange Allowed);

  std::string File;
  std::string Path;
  const toml::table *Table;
  FieldErrors *Errors;
  std::vector<std::string> Asked;
};

/// Parses \p Text; a syntax error becomes the only fault.
Checked<toml::table> parseToml(std::string_view Text, const std::string &File);

/// Whether \p Text is an IP address and a port, as `1.2.3.4:80` or `[::1]:80`.
bool isAddress(const std::string &Text);

/// Whether \p Text is a name: letters, digits, `-` and `_`, up to 63.
bool isName(const std::string &Text);

} // namespace mimosacart
