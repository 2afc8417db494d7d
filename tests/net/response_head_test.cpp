/// \file
/// Heads of responses, judged by checkResponseHead() and by a second reader
/// that knows nothing of it.
#include "net/response_head.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <regex>
#include <set>
#include <string>
#include <vector>

namespace mimosacart {
namespace {

/// Splits at "\r\n"; the last line is empty if \p Text ends with one.
std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::size_t From = 0;
  for (std::size_t End = 0; (End = Text.find("\r\n", From)) != Text.npos;
       From = End + 2)
    Lines.push_back(Text.substr(From, End - From));
  Lines.push_back(Text.substr(From));
  return Lines;
}

/// The second reader: regular expressions on whole lines.
bool isValidHead(const std::string &Head) {
  static const std::regex StatusLine(
      "HTTP/1\\.[01] ([1-5][0-9][0-9])( [\\t\\x20-\\x7e]*)?");
  static const std::regex FieldLine(
      "([A-Za-z0-9!#$%&'*+.^_`|~-]+):[\\t ]*([\\t\\x20-\\x7e]*?)[\\t ]*");
  const std::vector<std::string> Lines = splitLines(Head);
  std::smatch Match;
  if (!std::regex_match(Lines.front(), Match, StatusLine))
    return false;
  const int Status = std::stoi(Match[1]);
  std::set<std::string> Lengths;
  bool HasCoding = false;
  for (std::size_t Index = 1; Index + 2 < Lines.size(); ++Index) {
    if (!std::regex_match(Lines[Index], Match, FieldLine))
      return false;
    if (Match[1] == "Content-Length")
      Lengths.insert(Match[2]);
    HasCoding |= Match[1] == "Transfer-Encoding";
  }
  for (const std::string &Length : Lengths)
    if (!std::regex_match(Length, std::regex("[0-9]+")))
      return false;
  const bool HasBody =
      HasCoding || (!Lengths.empty() &&
                    !std::regex_match(*Lengths.begin(), std::regex("0+")));
  return Lengths.size() <= 1 && (Lengths.empty() || !HasCoding) &&
         Status != 101 && (Status >= 200 || (Lengths.empty() && !HasCoding)) &&
         (Status != 204 || !HasBody);
}

std::string drawHead() {
  using rc::gen::element;
  using rc::gen::elementOf;
  const std::vector<std::string> StatusLines = {
      "HTTP/1.1 200 OK",     "HTTP/1.1 204 No Content",
      "HTTP/1.0 200 OK",     "HTTP/1.1 100 Go",
      "HTTP/1.1 101 Other",  "HTTP/1.1 000 ",
      "HTTP/1.1 099 Low",    "HTTP/1.1 600 High",
      "HTTP/1.1 20 OK",      "HTTP/1.1 2000 OK",
      "HTTP/1.1 200",        "HTTP/2.0 200 OK",
      "HTTP/1.1  200 OK",    "HTTP/1.1 304 Same",
      "HTTP/1.1 599 x",      "HTTP/1.1 2x0 OK",
      "HTTP/1.1 200 O\x01K", ""};
  const std::vector<std::string> Fields = {"A: b",
                                           "A:b",
                                           "A:",
                                           "A: b c\td",
                                           "Content-Length: 0",
                                           "Content-Length: 5",
                                           "Content-Length: 5 ",
                                           "Content-Length: 05",
                                           "Content-Length: +5",
                                           "Content-Length: 5, 5",
                                           "Content-Length: ",
                                           "Transfer-Encoding: chunked",
                                           "A b: c",
                                           "A : c",
                                           " A: c",
                                           "\tA: c",
                                           ": c",
                                           "A",
                                           "A\x01: c",
                                           "A\x7f: c",
                                           "A: \x01",
                                           "A: \x7f",
                                           "A: b\nB: c",
                                           "A: b\rB: c",
                                           std::string("A: \0b", 5)};
  std::string Head = *elementOf(StatusLines) + "\r\n";
  const auto Count = *rc::gen::inRange(0, 4);
  for (int Index = 0; Index < Count; ++Index)
    Head += *elementOf(Fields) + "\r\n";
  return Head + "\r\n";
}

// Guards against heads in which two readers find other fields or other lengths.
RC_GTEST_PROP(ResponseHeadTest, head_drawn_isJudgedAsBySecondReader, ()) {
  const std::string Head = drawHead();
  RC_ASSERT(!checkResponseHead(Head).has_value() == isValidHead(Head));
}

TEST(ResponseHeadTest, head_bytesBeyondAscii_areAllowedInValuesOnly) {
  EXPECT_FALSE(checkResponseHead("HTTP/1.1 200 OK\r\nA: \xc3\xa9\r\n\r\n"));
  EXPECT_TRUE(checkResponseHead("HTTP/1.1 200 OK\r\n\xc3\xa9: a\r\n\r\n"));
}

TEST(ResponseHeadTest, head_withoutEmptyLine_isNotValid) {
  EXPECT_TRUE(checkResponseHead("HTTP/1.1 200 OK\r\nA: b\r\n"));
  EXPECT_TRUE(checkResponseHead("HTTP/1.1 200 OK"));
  EXPECT_TRUE(checkResponseHead(""));
}

TEST(ResponseHeadTest, lengths_thatAgree_areAllowed) {
  EXPECT_FALSE(checkResponseHead("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                 "content-length: 5\r\n\r\n"));
  EXPECT_TRUE(checkResponseHead("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                "Content-Length: 6\r\n\r\n"));
}

} // namespace
} // namespace mimosacart
