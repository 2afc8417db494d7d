/// \file
/// Reads the files that settings come from.
#pragma once

#include <optional>
#include <string>

namespace mimosacart {

/// All bytes of the file at \p Path; nothing if it cannot be read.
std::optional<std::string> readTextFile(const std::string &Path);

} // namespace mimosacart
