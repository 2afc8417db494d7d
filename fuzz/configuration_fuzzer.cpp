/// \file
/// The configuration file of operators: any input is parsed, or rejected with
/// an error message.
#include "settings/configuration_file.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput( // NOLINT: required by libFuzzer.
    const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Parsed = mimosacart::parseConfiguration(Text, "fuzz");
  if (Parsed.has_error() && Parsed.error().empty())
    std::abort();
  return 0;
}
