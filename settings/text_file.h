/// \file
/// Reads settings and configuration files into memory.
#pragma once

#include <optional>
#include <string>

namespace mimosacart {

/// Returns the contents of the file at \p Path, or nothing if it cannot be
/// opened.
std::optional<std::string> readTextFile(const std::string &Path);

} // namespace mimosacart
