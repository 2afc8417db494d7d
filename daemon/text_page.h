/// \file
/// Builds plain-text responses of the admin address.
#pragma once

#include "net/http_message.h"

#include <string>
#include <utility>

namespace mimosacart {

/// Builds a plain-text response. The version in its content type is that of the
/// Prometheus text format.
inline HttpResponse makeTextPage(unsigned Status, std::string Text) {
  return {
      Status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(Text)};
}

} // namespace mimosacart
