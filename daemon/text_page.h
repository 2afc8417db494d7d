/// \file
/// Pages of plain text on a host's admin address.
#pragma once

#include "net/http_message.h"

#include <string>
#include <utility>

namespace mimosacart {

/// An answer of plain text; the version in its type is that of Prometheus'
/// text format.
inline HttpResponse textPage(unsigned Status, std::string Text) {
  return {
      Status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(Text)};
}

} // namespace mimosacart
