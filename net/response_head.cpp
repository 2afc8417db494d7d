#include "net/response_head.h"

#include "core/text.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace mimosacart {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::size_t StatusDigits = 3;
constexpr unsigned FirstStatus = 100;
constexpr unsigned LastStatus = 599;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned StatusNoContent = 204;

bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

bool isDigits(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isDigit);
}

/// A byte of a token (RFC 9110, section 5.6.2).
bool isTokenByte(char Byte) {
  const bool IsLetter =
      (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z');
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return IsLetter || isDigit(Byte) || Others.find(Byte) != Others.npos;
}

/// A byte of a field value or a reason phrase; only tabs are allowed of the
/// control bytes.
bool isTextByte(char Byte) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7f;
  const auto Value = static_cast<unsigned char>(Byte);
  return Byte == '\t' || (Value >= FirstPrintable && Value != Delete);
}

bool isText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isTextByte);
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == Text.npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// What the fields say about the length of the body.
struct BodyLength {
  std::optional<std::string_view> Declared;
  bool HasTransferCoding = false;
};

/// Returns the status; nothing if the status line is not valid.
std::optional<unsigned> readStatus(std::string_view Line) {
  constexpr std::string_view Versions[] = {"HTTP/1.1 ", "HTTP/1.0 "};
  const bool HasVersion =
      std::any_of(std::begin(Versions), std::end(Versions),
                  [Line](auto Version) { return Line.starts_with(Version); });
  if (!HasVersion)
    return std::nullopt;
  Line.remove_prefix(Versions[0].size());
  const std::string_view Digits = Line.substr(0, StatusDigits);
  const std::string_view Rest = Line.substr(Digits.size());
  const bool Valid = Digits.size() == StatusDigits && isDigits(Digits) &&
                     (Rest.empty() || Rest.front() == ' ') && isText(Rest);
  if (!Valid)
    return std::nullopt;
  unsigned Status = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Status);
  return Status;
}

/// Checks one field line and records in \p Length what it says about the body.
/// Returns why it is not valid; null if it is.
const char *checkField(std::string_view Line, BodyLength &Length) {
  const std::size_t Colon = Line.find(':');
  if (Colon == Line.npos || Colon == 0)
    return "a field line has no name";
  const std::string_view Name = Line.substr(0, Colon);
  if (!std::all_of(Name.begin(), Name.end(), isTokenByte))
    return "the name of a field is not a token";
  const std::string_view Value = trim(Line.substr(Colon + 1));
  if (!isText(Value))
    return "the value of a field holds a control byte";
  if (equalsIgnoringCase(Name, "Transfer-Encoding"))
    Length.HasTransferCoding = true;
  if (!equalsIgnoringCase(Name, "Content-Length"))
    return nullptr;
  if (!isDigits(Value))
    return "Content-Length is not a number";
  if (Length.Declared && *Length.Declared != Value)
    return "Content-Length values differ";
  Length.Declared = Value;
  return nullptr;
}

/// Checks the length against the status. Returns why they do not agree; null if
/// they do.
const char *checkLength(unsigned Status, const BodyLength &Length) {
  if (Length.Declared && Length.HasTransferCoding)
    return "both Content-Length and Transfer-Encoding are present";
  const bool HasBody = Length.HasTransferCoding ||
                       (Length.Declared && Length.Declared->find_first_not_of(
                                               '0') != Length.Declared->npos);
  if (Status < FirstFinalStatus && (Length.Declared || HasBody))
    return "an interim response has a body";
  if (Status == StatusNoContent && HasBody)
    return "a 204 response has a body";
  return nullptr;
}

const char *checkStatus(unsigned Status) {
  if (Status < FirstStatus || Status > LastStatus)
    return "the status is not within 100 to 599";
  // No request asks for another protocol.
  if (Status == StatusSwitchingProtocols)
    return "status 101 without an upgrade request";
  return nullptr;
}

const char *findFault(std::string_view Head) {
  std::size_t End = Head.find(LineEnd);
  const auto Status = readStatus(Head.substr(0, End));
  if (!Status)
    return "the status line is not valid";
  if (const char *Fault = checkStatus(*Status))
    return Fault;
  BodyLength Length;
  while (true) {
    Head.remove_prefix(End + LineEnd.size());
    End = Head.find(LineEnd);
    if (End == Head.npos)
      return "a line has no end";
    if (End == 0)
      return checkLength(*Status, Length);
    // A line that begins with a blank would continue the one before it.
    if (const char *Fault = checkField(Head.substr(0, End), Length))
      return Fault;
  }
}

} // namespace

std::optional<MessageError> checkResponseHead(std::string_view Head) {
  if (const char *Fault = findFault(Head))
    return MessageError{NetError::Malformed, Fault};
  return std::nullopt;
}

} // namespace mimosacart
