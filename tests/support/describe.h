/// \file
/// Formats the actions of a Node as lines of text for golden files.
#pragma once

#include "core/node.h"

#include <string>

namespace mimosacart {

/// Returns one line that describes \p Value, without data that differs between
/// two runs.
std::string describe(const Action &Value);

} // namespace mimosacart
