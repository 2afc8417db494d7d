/// \file
/// Reads TOML tables field by field and collects every error with its position
/// in the file.
#pragma once

#include "core/time.h"

#include <boost/outcome/result.hpp>
#include <toml++/toml.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacart {

/// One error in a settings or configuration file.
struct FieldError {
  std::string File;
  unsigned Line = 0;
  unsigned Column = 0;
  /// Dotted path of the field; empty if the error is not about a field.
  std::string Key;
  /// Describes what was found and what is allowed.
  std::string Message;

  friend bool operator==(const FieldError &, const FieldError &) = default;
};

using FieldErrors = std::vector<FieldError>;

/// Formats \p Error as `file:line:column: key: message`.
std::string format(const FieldError &Error);

/// A value read from a file, or every error in that file.
template <typename T>
using Checked = boost::outcome_v2::result<T, FieldErrors,
                                          boost::outcome_v2::policy::terminate>;

/// Inclusive bounds of an integer field.
struct IntegerRange {
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// Reads the fields of one table. The key passed to any read function is a
/// known key; reportUnknownKeys() reports all others as errors.
class TableReader {
public:
  TableReader(std::string File, std::string Path, const toml::table &Table,
              FieldErrors &Errors);

  /// Reads a string that is required and must not be empty.
  std::string readRequiredString(std::string_view Key);
  /// Reads a string that must not be empty. Like all read functions with a
  /// default, returns \p Default if \p Key is missing.
  std::string readStringOr(std::string_view Key, std::string Default);
  /// Reads an `ip:port` address.
  std::string readRequiredAddress(std::string_view Key);
  std::string readAddressOr(std::string_view Key, std::string Default);
  /// Reads an IPv4 address without a port.
  std::string readIpAddressOr(std::string_view Key, const std::string &Default);
  /// Reads a string that is one of \p Allowed.
  std::string readChoiceOr(std::string_view Key, std::string Default,
                           const std::vector<std::string> &Allowed);
  std::int64_t readRequiredInteger(std::string_view Key, IntegerRange Allowed);
  std::int64_t readIntegerOr(std::string_view Key, std::int64_t Default,
                             IntegerRange Allowed);
  /// Reads an integer or floating-point number that is at least 0.
  double readNumberOr(std::string_view Key, double Default);
  /// Reads a string that consists of a number and its unit, `ms` or `s`.
  Duration readDurationOr(std::string_view Key, Duration Default);
  bool readRequiredBoolean(std::string_view Key);
  bool readBooleanOr(std::string_view Key, bool Default);
  std::vector<std::string> readAddressesOr(std::string_view Key,
                                           std::vector<std::string> Default);

  /// Reads a table whose keys are free and whose values are strings.
  std::map<std::string, std::string> readStrings();
  /// Whether the table has \p Key.
  bool has(std::string_view Key) const { return Table->contains(Key); }

  /// Returns a reader of the table \p Key. Reports an error and returns a
  /// reader of an empty table if \p Key is missing or not a table.
  TableReader readRequiredTable(std::string_view Key);
  /// Returns a reader of the table \p Key, or of an empty table if \p Key is
  /// missing. Reports an error if \p Key is not a table.
  TableReader readTableOrEmpty(std::string_view Key);
  /// Returns a reader of each table in the array \p Key. Reports an error if
  /// there are none.
  std::vector<TableReader> readRequiredTables(std::string_view Key);

  /// Reports every key of the table that no read function was called with.
  void reportUnknownKeys();

  /// Reports an error at the position of \p Key, or of the table itself if
  /// \p Key is missing.
  void reportError(std::string_view Key, std::string Message);

private:
  const toml::node *find(std::string_view Key);
  const toml::node *findRequired(std::string_view Key);
  void reportTypeError(std::string_view Key, const toml::node &Found,
                       std::string_view Expected);
  std::string pathOf(std::string_view Key) const;
  std::int64_t checkInteger(std::string_view Key, const toml::node &Found,
                            std::int64_t Fallback, IntegerRange Allowed);

  std::string File;
  std::string Path;
  const toml::table *Table;
  FieldErrors *Errors;
  std::vector<std::string> KnownKeys;
};

/// Parses \p Text; a syntax error is the only error returned.
Checked<toml::table> parseToml(std::string_view Text, const std::string &File);

/// Returns whether \p Text is an IP address and a port, such as `1.2.3.4:80`
/// or `[::1]:80`.
bool isAddress(const std::string &Text);

/// Returns whether \p Text is a valid name: 1 to 63 letters, digits, `-` and
/// `_`.
bool isName(const std::string &Text);

} // namespace mimosacart
