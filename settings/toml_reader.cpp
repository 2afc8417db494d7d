#include "settings/toml_reader.h"

#include "core/text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace mimosacart {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr unsigned MaxPort = 65535;

std::string describeType(const toml::node &Node) {
  switch (Node.type()) {
  case toml::node_type::table:
    return "a table";
  case toml::node_type::array:
    return "an array";
  case toml::node_type::string:
    return "a string";
  case toml::node_type::integer:
    return "an integer";
  case toml::node_type::floating_point:
    return "a decimal number";
  case toml::node_type::boolean:
    return "a boolean";
  default:
    return "a date or time";
  }
}

bool isIpAddress(const std::string &Text) {
  in_addr V4{};
  in6_addr V6{};
  return inet_pton(AF_INET, Text.c_str(), &V4) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &V6) == 1;
}

bool isPort(std::string_view Text) {
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Port);
  return Parsed.ec == std::errc() && Parsed.ptr == End && Port >= 1 &&
         Port <= MaxPort;
}

/// Scans the characters of one line in order and tracks whether they are inside
/// a quoted string or a comment.
class LineScanner {
public:
  /// Scans \p Character. Returns false if it is a non-ASCII character outside
  /// comments and quoted strings.
  bool accept(unsigned char Character) {
    constexpr unsigned char LastAscii = 0x7F;
    const bool Escaped = Quote == '"' && AfterBackslash;
    AfterBackslash = Quote == '"' && Character == '\\' && !Escaped;
    if (InComment || (Quote != 0 && Character != Quote) || Escaped)
      return true;
    if (Character == Quote) {
      Quote = 0;
      return true;
    }
    if (Character == '#')
      InComment = true;
    if (Character == '"' || Character == '\'')
      Quote = Character;
    return Character <= LastAscii;
  }

private:
  bool InComment = false;
  bool AfterBackslash = false;
  unsigned char Quote = 0;
};

/// Returns the position of the first non-ASCII character outside comments and
/// quoted strings. toml++ 3.3 has undefined behaviour on some of them, so a
/// text that contains one is never passed to it.
std::optional<toml::source_position>
findUnquotedNonAscii(std::string_view Text) {
  toml::source_position Position{1, 1};
  LineScanner Scanner;
  for (const char Character : Text) {
    if (Character == '\n') {
      Position = {Position.line + 1, 1};
      Scanner = LineScanner();
      continue;
    }
    if (!Scanner.accept(static_cast<unsigned char>(Character)))
      return Position;
    ++Position.column;
  }
  return std::nullopt;
}

/// Returns \p Text with each non-ASCII character replaced by one letter, which
/// keeps the columns of error positions.
std::string replaceNonAscii(std::string_view Text) {
  constexpr unsigned char FirstNonAscii = 0x80;
  constexpr unsigned char FirstLeadByte = 0xC0;
  std::string Result;
  Result.reserve(Text.size());
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Byte < FirstNonAscii)
      Result += Character;
    else if (Byte >= FirstLeadByte)
      Result += 'x';
  }
  return Result;
}

} // namespace

std::string format(const FieldError &Error) {
  return fmt::format("{}:{}:{}: {}: {}", Error.File, Error.Line, Error.Column,
                     Error.Key.empty() ? "file" : Error.Key, Error.Message);
}

bool isAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Host = Text.substr(0, Colon);
  const bool Bracketed =
      Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  else if (Host.find(':') != std::string::npos)
    return false;
  return isIpAddress(Host) && isPort(std::string_view(Text).substr(Colon + 1));
}

bool isName(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
    return std::isalnum(Character) != 0 || Character == '-' || Character == '_';
  });
}

Checked<toml::table> parseToml(std::string_view Text, const std::string &File) {
  const std::string AsciiText = replaceNonAscii(Text);
  if (AsciiText != Text) {
    // LineScanner relies on quotes to delimit strings, which holds only if the
    // rest of the text is valid TOML.
    auto Parsed = parseToml(AsciiText, File);
    if (Parsed.has_error())
      return Parsed;
    if (const auto Position = findUnquotedNonAscii(Text))
      return FieldErrors{
          {File, Position->line, Position->column, "",
           "found a non-ASCII character, which is allowed only in "
           "comments and single-line quoted strings"}};
  }
  try {
    return toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    const toml::source_position Position = Error.source().begin;
    return FieldErrors{{File, Position.line, Position.column, "",
                        std::string(Error.description())}};
  }
}

TableReader::TableReader(std::string File, std::string Path,
                         const toml::table &Table, FieldErrors &Errors)
    : File(std::move(File)), Path(std::move(Path)), Table(&Table),
      Errors(&Errors) {}

std::string TableReader::pathOf(std::string_view Key) const {
  if (Path.empty())
    return std::string(Key);
  return fmt::format("{}.{}", Path, Key);
}

void TableReader::reportError(std::string_view Key, std::string Message) {
  const toml::node *Found = Table->get(Key);
  const toml::node &Node = Found != nullptr ? *Found : *Table;
  const toml::source_position Position = Node.source().begin;
  Errors->push_back(
      {File, Position.line, Position.column, pathOf(Key), std::move(Message)});
}

void TableReader::reportTypeError(std::string_view Key, const toml::node &Found,
                                  std::string_view Expected) {
  reportError(
      Key, fmt::format("found {}, expected {}", describeType(Found), Expected));
}

const toml::node *TableReader::find(std::string_view Key) {
  KnownKeys.emplace_back(Key);
  return Table->get(Key);
}

const toml::node *TableReader::findRequired(std::string_view Key) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    reportError(Key, "missing, but required");
  return Found;
}

std::string TableReader::readRequiredString(std::string_view Key) {
  const toml::node *Found = findRequired(Key);
  if (Found == nullptr)
    return {};
  if (!Found->is_string()) {
    reportTypeError(Key, *Found, "a string");
    return {};
  }
  std::string Text = Found->as_string()->get();
  if (Text.empty())
    reportError(Key, "found an empty string, expected at least one character");
  return Text;
}

std::string TableReader::readStringOr(std::string_view Key,
                                      std::string Default) {
  if (Table->get(Key) == nullptr) {
    KnownKeys.emplace_back(Key);
    return Default;
  }
  return readRequiredString(Key);
}

std::string TableReader::readRequiredAddress(std::string_view Key) {
  std::string Text = readRequiredString(Key);
  if (!Text.empty() && !isAddress(Text))
    reportError(Key,
                fmt::format("found \"{}\", expected an IP address and a port "
                            "such as \"10.0.0.1:8080\"",
                            Text));
  return Text;
}

std::string TableReader::readAddressOr(std::string_view Key,
                                       std::string Default) {
  return find(Key) == nullptr ? std::move(Default) : readRequiredAddress(Key);
}

std::string TableReader::readIpAddressOr(std::string_view Key,
                                         const std::string &Default) {
  std::string Text = readStringOr(Key, Default);
  if (Text != Default && !isAddress(Text + ":1"))
    reportError(Key, fmt::format("found \"{}\", expected an IP address such as "
                                 "\"10.0.0.1\"",
                                 Text));
  return Text;
}

std::string TableReader::readChoiceOr(std::string_view Key, std::string Default,
                                      const std::vector<std::string> &Allowed) {
  std::string Text = readStringOr(Key, std::move(Default));
  if (!Text.empty() &&
      std::find(Allowed.begin(), Allowed.end(), Text) == Allowed.end())
    reportError(Key, fmt::format("found \"{}\", expected one of {}", Text,
                                 fmt::join(Allowed, ", ")));
  return Text;
}

std::int64_t TableReader::checkInteger(std::string_view Key,
                                       const toml::node &Found,
                                       std::int64_t Fallback,
                                       IntegerRange Allowed) {
  if (!Found.is_integer()) {
    reportTypeError(Key, Found, "an integer");
    return Fallback;
  }
  const std::int64_t Value = Found.as_integer()->get();
  if (Value < Allowed.Min || Value > Allowed.Max) {
    reportError(Key, fmt::format("found {}, expected {} to {}", Value,
                                 Allowed.Min, Allowed.Max));
    return Fallback;
  }
  return Value;
}

std::int64_t TableReader::readRequiredInteger(std::string_view Key,
                                              IntegerRange Allowed) {
  const toml::node *Found = findRequired(Key);
  if (Found == nullptr)
    return Allowed.Min;
  return checkInteger(Key, *Found, Allowed.Min, Allowed);
}

std::int64_t TableReader::readIntegerOr(std::string_view Key,
                                        std::int64_t Default,
                                        IntegerRange Allowed) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    return Default;
  return checkInteger(Key, *Found, Default, Allowed);
}

double TableReader::readNumberOr(std::string_view Key, double Default) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    return Default;
  const auto Value = Found->value<double>();
  if (!Value || *Value < 0) {
    reportTypeError(Key, *Found, "a number of at least 0");
    return Default;
  }
  return *Value;
}

Duration TableReader::readDurationOr(std::string_view Key, Duration Default) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    return Default;
  const auto Text = Found->value<std::string>();
  const auto Value = Text ? parseDuration(*Text) : std::nullopt;
  if (!Value) {
    reportTypeError(Key, *Found,
                    "a duration with its unit, such as \"1500ms\" or \"2s\"");
    return Default;
  }
  return *Value;
}

bool TableReader::readRequiredBoolean(std::string_view Key) {
  const toml::node *Found = findRequired(Key);
  if (Found == nullptr)
    return false;
  if (!Found->is_boolean()) {
    reportTypeError(Key, *Found, "a boolean");
    return false;
  }
  return Found->as_boolean()->get();
}

bool TableReader::readBooleanOr(std::string_view Key, bool Default) {
  if (Table->get(Key) == nullptr) {
    KnownKeys.emplace_back(Key);
    return Default;
  }
  return readRequiredBoolean(Key);
}

std::vector<std::string>
TableReader::readAddressesOr(std::string_view Key,
                             std::vector<std::string> Default) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    return Default;
  if (!Found->is_array()) {
    reportTypeError(Key, *Found, "an array of addresses");
    return {};
  }
  std::vector<std::string> Result;
  for (const toml::node &Element : *Found->as_array()) {
    if (!Element.is_string() || !isAddress(Element.as_string()->get())) {
      const toml::source_position Position = Element.source().begin;
      Errors->push_back({File, Position.line, Position.column, pathOf(Key),
                         "expected an IP address and a port such as "
                         "\"10.0.0.1:8080\""});
      continue;
    }
    Result.push_back(Element.as_string()->get());
  }
  return Result;
}

std::map<std::string, std::string> TableReader::readStrings() {
  std::map<std::string, std::string> Result;
  for (const auto &Entry : *Table) {
    const std::string Key(Entry.first.str());
    Result[Key] = readRequiredString(Key);
  }
  return Result;
}

TableReader TableReader::readRequiredTable(std::string_view Key) {
  if (Table->get(Key) == nullptr)
    reportError(Key, "missing table, but required");
  return readTableOrEmpty(Key);
}

TableReader TableReader::readTableOrEmpty(std::string_view Key) {
  static const toml::table Empty;
  const toml::node *Found = find(Key);
  if (Found != nullptr && !Found->is_table()) {
    reportTypeError(Key, *Found, "a table");
    Found = nullptr;
  }
  return {File, pathOf(Key), Found != nullptr ? *Found->as_table() : Empty,
          *Errors};
}

std::vector<TableReader> TableReader::readRequiredTables(std::string_view Key) {
  const toml::node *Found = findRequired(Key);
  std::vector<TableReader> Result;
  if (Found == nullptr)
    return Result;
  if (!Found->is_array_of_tables()) {
    reportTypeError(Key, *Found, "one or more tables");
    return Result;
  }
  std::size_t Index = 0;
  for (const toml::node &Element : *Found->as_array())
    Result.emplace_back(File, fmt::format("{}[{}]", pathOf(Key), Index++),
                        *Element.as_table(), *Errors);
  return Result;
}

void TableReader::reportUnknownKeys() {
  for (const auto &[Key, Value] : *Table) {
    const std::string_view Name = Key.str();
    if (std::find(KnownKeys.begin(), KnownKeys.end(), Name) != KnownKeys.end())
      continue;
    const toml::source_position Position = Key.source().begin;
    std::vector<std::string> SortedKeys = KnownKeys;
    std::sort(SortedKeys.begin(), SortedKeys.end());
    Errors->push_back({File, Position.line, Position.column, pathOf(Name),
                       fmt::format("unknown key, expected one of {}",
                                   fmt::join(SortedKeys, ", "))});
  }
}

} // namespace mimosacart
