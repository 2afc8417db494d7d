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

std::string typeName(const toml::node &Node) {
  switch (Node.type()) {
  case toml::node_type::table:
    return "a table";
  case toml::node_type::array:
    return "an array";
  case toml::node_type::string:
    return "a text";
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
  const auto Read = std::from_chars(Text.data(), End, Port);
  return Read.ec == std::errc() && Read.ptr == End && Port >= 1 &&
         Port <= MaxPort;
}

/// Whether \p Character, at the end of what was read of a line, lies within a
/// quoted text or a comment.
class LineScanner {
public:
  /// False for a character outside ASCII that no comment or text holds.
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

/// The first character outside ASCII where a bare key could be. toml++ 3.3
/// runs into undefined behaviour on some of them, so it never sees them.
std::optional<toml::source_position> findStrayCharacter(std::string_view Text) {
  toml::source_position Place{1, 1};
  LineScanner Scanner;
  for (const char Character : Text) {
    if (Character == '\n') {
      Place = {Place.line + 1, 1};
      Scanner = LineScanner();
      continue;
    }
    if (!Scanner.accept(static_cast<unsigned char>(Character)))
      return Place;
    ++Place.column;
  }
  return std::nullopt;
}

/// \p Text with one letter for each character outside ASCII, so that columns
/// stay the same.
std::string replaceNonAscii(std::string_view Text) {
  constexpr unsigned char FirstNonAscii = 0x80;
  constexpr unsigned char FirstLeadByte = 0xC0;
  std::string Result;
  Result.reserve(Text.size());
  for (const char Each : Text) {
    const auto Byte = static_cast<unsigned char>(Each);
    if (Byte < FirstNonAscii)
      Result += Each;
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
  const std::string Plain = replaceNonAscii(Text);
  if (Plain != Text) {
    // Only in what is TOML otherwise do quotes tell where texts begin and end.
    auto Read = parseToml(Plain, File);
    if (Read.has_error())
      return Read;
    if (const auto Stray = findStrayCharacter(Text))
      return FieldErrors{
          {File, Stray->line, Stray->column, "",
           "found a character outside ASCII, which only comments "
           "and quoted texts of one line may hold"}};
  }
  try {
    return toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    const toml::source_position Place = Error.source().begin;
    return FieldErrors{
        {File, Place.line, Place.column, "", std::string(Error.description())}};
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

void TableReader::fail(std::string_view Key, std::string Message) {
  const toml::node *Found = Table->get(Key);
  const toml::node &Place = Found != nullptr ? *Found : *Table;
  const toml::source_position Begin = Place.source().begin;
  Errors->push_back(
      {File, Begin.line, Begin.column, pathOf(Key), std::move(Message)});
}

void TableReader::failType(std::string_view Key, const toml::node &Found,
                           std::string_view Expected) {
  fail(Key, fmt::format("found {}, expected {}", typeName(Found), Expected));
}

const toml::node *TableReader::find(std::string_view Key) {
  Asked.emplace_back(Key);
  return Table->get(Key);
}

const toml::node *TableReader::findRequired(std::string_view Key) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    fail(Key, "missing, but required");
  return Found;
}

std::string TableReader::requiredText(std::string_view Key) {
  const toml::node *Found = findRequired(Key);
  if (Found == nullptr)
    return {};
  if (!Found->is_string()) {
    failType(Key, *Found, "a text");
    return {};
  }
  std::string Text = Found->as_string()->get();
  if (Text.empty())
    fail(Key, "found an empty text, expected at least one character");
  return Text;
}

std::string TableReader::textOr(std::string_view Key, std::string Default) {
  if (Table->get(Key) == nullptr) {
    Asked.emplace_back(Key);
    return Default;
  }
  return requiredText(Key);
}

std::string TableReader::requiredAddress(std::string_view Key) {
  std::string Text = requiredText(Key);
  if (!Text.empty() && !isAddress(Text))
    fail(Key, fmt::format("found \"{}\", expected an IP address and a port "
                          "such as \"10.0.0.1:8080\"",
                          Text));
  return Text;
}

std::string TableReader::choiceOr(std::string_view Key, std::string Default,
                                  const std::vector<std::string> &Allowed) {
  std::string Text = textOr(Key, std::move(Default));
  if (!Text.empty() &&
      std::find(Allowed.begin(), Allowed.end(), Text) == Allowed.end())
    fail(Key, fmt::format("found \"{}\", expected one of {}", Text,
                          fmt::join(Allowed, ", ")));
  return Text;
}

std::int64_t TableReader::checkedInteger(std::string_view Key,
                                         const toml::node &Found,
                                         std::int64_t Fallback,
                                         IntegerRange Allowed) {
  if (!Found.is_integer()) {
    failType(Key, Found, "an integer");
    return Fallback;
  }
  const std::int64_t Value = Found.as_integer()->get();
  if (Value < Allowed.Least || Value > Allowed.Greatest) {
    fail(Key, fmt::format("found {}, expected {} to {}", Value, Allowed.Least,
                          Allowed.Greatest));
    return Fallback;
  }
  return Value;
}

std::int64_t TableReader::requiredInteger(std::string_view Key,
                                          IntegerRange Allowed) {
  const toml::node *Found = findRequired(Key);
  if (Found == nullptr)
    return Allowed.Least;
  return checkedInteger(Key, *Found, Allowed.Least, Allowed);
}

std::int64_t TableReader::integerOr(std::string_view Key, std::int64_t Default,
                                    IntegerRange Allowed) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    return Default;
  return checkedInteger(Key, *Found, Default, Allowed);
}

double TableReader::numberOr(std::string_view Key, double Default) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    return Default;
  const auto Value = Found->value<double>();
  if (!Value || *Value < 0) {
    failType(Key, *Found, "a number of at least 0");
    return Default;
  }
  return *Value;
}

Duration TableReader::timeOr(std::string_view Key, Duration Default) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    return Default;
  const auto Text = Found->value<std::string>();
  const auto Value = Text ? parseDuration(*Text) : std::nullopt;
  if (!Value) {
    failType(Key, *Found, "a time with its unit, such as \"1500ms\" or \"2s\"");
    return Default;
  }
  return *Value;
}

bool TableReader::requiredBoolean(std::string_view Key) {
  const toml::node *Found = findRequired(Key);
  if (Found == nullptr)
    return false;
  if (!Found->is_boolean()) {
    failType(Key, *Found, "a boolean");
    return false;
  }
  return Found->as_boolean()->get();
}

bool TableReader::booleanOr(std::string_view Key, bool Default) {
  if (Table->get(Key) == nullptr) {
    Asked.emplace_back(Key);
    return Default;
  }
  return requiredBoolean(Key);
}

std::vector<std::string>
TableReader::addressesOr(std::string_view Key,
                         std::vector<std::string> Default) {
  const toml::node *Found = find(Key);
  if (Found == nullptr)
    return Default;
  if (!Found->is_array()) {
    failType(Key, *Found, "an array of addresses");
    return {};
  }
  std::vector<std::string> Result;
  for (const toml::node &Element : *Found->as_array()) {
    if (!Element.is_string() || !isAddress(Element.as_string()->get())) {
      const toml::source_position Place = Element.source().begin;
      Errors->push_back({File, Place.line, Place.column, pathOf(Key),
                         "expected an IP address and a port such as "
                         "\"10.0.0.1:8080\""});
      continue;
    }
    Result.push_back(Element.as_string()->get());
  }
  return Result;
}

TableReader TableReader::requiredTable(std::string_view Key) {
  if (Table->get(Key) == nullptr)
    fail(Key, "missing table, but required");
  return tableOrEmpty(Key);
}

TableReader TableReader::tableOrEmpty(std::string_view Key) {
  static const toml::table Empty;
  const toml::node *Found = find(Key);
  if (Found != nullptr && !Found->is_table()) {
    failType(Key, *Found, "a table");
    Found = nullptr;
  }
  return {File, pathOf(Key), Found != nullptr ? *Found->as_table() : Empty,
          *Errors};
}

std::vector<TableReader> TableReader::requiredTables(std::string_view Key) {
  const toml::node *Found = findRequired(Key);
  std::vector<TableReader> Result;
  if (Found == nullptr)
    return Result;
  if (!Found->is_array_of_tables()) {
    failType(Key, *Found, "one or more tables");
    return Result;
  }
  std::size_t Index = 0;
  for (const toml::node &Element : *Found->as_array())
    Result.emplace_back(File, fmt::format("{}[{}]", pathOf(Key), Index++),
                        *Element.as_table(), *Errors);
  return Result;
}

void TableReader::finish() {
  for (const auto &[Key, Value] : *Table) {
    const std::string_view Name = Key.str();
    if (std::find(Asked.begin(), Asked.end(), Name) != Asked.end())
      continue;
    const toml::source_position Place = Key.source().begin;
    std::vector<std::string> Known = Asked;
    std::sort(Known.begin(), Known.end());
    Errors->push_back({File, Place.line, Place.column, pathOf(Name),
                       fmt::format("unknown key, expected one of {}",
                                   fmt::join(Known, ", "))});
  }
}

} // namespace mimosacart
