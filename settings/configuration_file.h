/// \file
/// Reads the operators' declarative file.
#pragma once

#include "core/configuration.h"
#include "settings/toml_reader.h"

#include <string>
#include <string_view>

namespace mimosacart {

/// Parses and checks a whole file; \p File names it in errors.
Checked<Configuration> parseConfiguration(std::string_view Text,
                                          const std::string &File);

/// What applying \p After in place of \p Before would change, a line each.
std::vector<std::string> describeChanges(const Configuration &Before,
                                         const Configuration &After);

} // namespace mimosacart
