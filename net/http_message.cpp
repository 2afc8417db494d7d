#include "net/http_message.h"

#include "core/text.h"

#include <algorithm>
#include <array>

namespace mimosacart {

namespace {

class NetCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "net"; }
  std::string message(int Value) const override {
    switch (static_cast<NetError>(Value)) {
    case NetError::ConnectFailed:
      return "no connection could be made";
    case NetError::Broken:
      return "the connection broke";
    case NetError::TimedOut:
      return "no whole answer in time";
    case NetError::Malformed:
      return "not a valid HTTP message";
    case NetError::HeaderTooLarge:
      return "the header is too large";
    case NetError::BodyTooLarge:
      return "the body is too large";
    case NetError::BadAddress:
      return "the address cannot be used";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category &netCategory() {
  static const NetCategory Category;
  return Category;
}

std::error_code make_error_code(NetError Error) {
  return {static_cast<int>(Error), netCategory()};
}

bool isHopByHop(std::string_view Name) {
  static constexpr std::array<std::string_view, 9> Names = {
      "connection",       "keep-alive",
      "proxy-connection", "te",
      "trailer",          "transfer-encoding",
      "upgrade",          "proxy-authenticate",
      "content-length"};
  return std::any_of(Names.begin(), Names.end(),
                     [Name](std::string_view Known) {
                       return equalsIgnoringCase(Name, Known);
                     });
}

} // namespace mimosacart
