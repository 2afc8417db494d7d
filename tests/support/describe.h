/// \file
/// Actions of the core as lines of text, for golden files.
#pragma once

#include "core/node.h"

#include <string>

namespace mimosacart {

/// One line for \p Value, without anything that differs between two runs.
std::string describe(const Action &Value);

} // namespace mimosacart
