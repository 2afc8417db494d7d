#include "core/issuer_token.h"

#include <charconv>

namespace mimosacart {

namespace {

constexpr int HexadecimalBase = 16;
constexpr char Separator = '.';

std::string toHexadecimal(std::uint64_t Value) {
  constexpr std::size_t MaxDigits = 16;
  std::string Text(MaxDigits, '0');
  const auto Written = std::to_chars(Text.data(), Text.data() + Text.size(),
                                     Value, HexadecimalBase);
  Text.resize(static_cast<std::size_t>(Written.ptr - Text.data()));
  return Text;
}

std::optional<std::uint64_t> fromHexadecimal(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value, HexadecimalBase);
  if (Read.ec != std::errc() || Read.ptr != End || Text.empty())
    return std::nullopt;
  return Value;
}

} // namespace

std::string format(const IssuerToken &Token) {
  return Token.Host.value() + Separator +
         toHexadecimal(Token.Incarnation.value()) + Separator +
         toHexadecimal(Token.Epoch);
}

std::optional<IssuerToken> parseIssuerToken(std::string_view Text) {
  const std::size_t Last = Text.rfind(Separator);
  if (Last == std::string_view::npos || Last == 0)
    return std::nullopt;
  const std::size_t Middle = Text.rfind(Separator, Last - 1);
  if (Middle == std::string_view::npos || Middle == 0)
    return std::nullopt;
  const auto Incarnation =
      fromHexadecimal(Text.substr(Middle + 1, Last - Middle - 1));
  const auto Epoch = fromHexadecimal(Text.substr(Last + 1));
  if (!Incarnation || !Epoch)
    return std::nullopt;
  return IssuerToken{HostName(std::string(Text.substr(0, Middle))),
                     IncarnationId(*Incarnation), *Epoch};
}

} // namespace mimosacart
