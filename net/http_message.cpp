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
      return "connection failed";
    case NetError::Broken:
      return "connection broken";
    case NetError::TimedOut:
      return "timed out before the message was complete";
    case NetError::Malformed:
      return "malformed HTTP message";
    case NetError::HeaderTooLarge:
      return "header exceeds the size limit";
    case NetError::BodyTooLarge:
      return "body exceeds the size limit";
    case NetError::NoMemory:
      return "other messages hold the memory";
    case NetError::BadAddress:
      return "invalid or unavailable address";
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
                     [Name](std::string_view Candidate) {
                       return equalsIgnoringCase(Name, Candidate);
                     });
}

} // namespace mimosacart
