/// \file
/// Reads the declarative configuration file that operators apply.
#pragma once

#include "core/configuration.h"
#include "settings/toml_reader.h"

#include <string>
#include <string_view>

namespace mimosacart {

/// Parses and checks a configuration file. \p Text is its contents; \p File is
/// the file name for error messages.
Checked<Configuration> parseConfiguration(std::string_view Text,
                                          const std::string &File);

/// Returns the changes from \p Before to \p After: one line for each service
/// that is added or removed, and one for each backend server and request kind
/// of the other services that is added, changed or removed.
std::vector<std::string> describeChanges(const Configuration &Before,
                                         const Configuration &After);

} // namespace mimosacart
