#include "wire/peer_codec.h"

namespace mimosacart {

namespace {

class WireCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "wire"; }
  std::string message(int Value) const override {
    return Value == static_cast<int>(WireError::Malformed)
               ? "not a message of the peer protocol"
               : "a field of the message has an invalid value";
  }
};

} // namespace

const std::error_category &wireCategory() {
  static const WireCategory Category;
  return Category;
}

std::error_code make_error_code(WireError Error) {
  return {static_cast<int>(Error), wireCategory()};
}

} // namespace mimosacart
