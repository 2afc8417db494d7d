/// \file
/// The operators' file: any bytes are read or refused with a place.
#include "settings/configuration_file.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput( // NOLINT: the library's name.
    const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Read = mimosacart::parseConfiguration(Text, "fuzz");
  if (Read.has_error() && Read.error().empty())
    std::abort();
  return 0;
}
