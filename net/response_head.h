/// \file
/// Checks the head of an HTTP response before anything is taken from it.
#pragma once

#include "net/http_message.h"

#include <optional>
#include <string_view>

namespace mimosacart {

/// Returns why \p Head, all bytes up to and including the empty line, is not
/// the head of a valid response (RFC 9112); nothing if it is one.
///
/// The check is stricter than the parser, which accepts folded lines, any three
/// digits as a status and a length in a response without a body. If two
/// readers disagree on where the body begins, one caller may get the response
/// to the request of another.
std::optional<MessageError> checkResponseHead(std::string_view Head);

} // namespace mimosacart
