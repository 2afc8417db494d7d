/// \file
/// Settings of hosts and operators: any bytes are read or refused.
#include "settings/host_settings.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput( // NOLINT: the library's name.
    const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Host = mimosacart::parseHostSettings(Text, "fuzz");
  if (Host.has_error() && Host.error().empty())
    std::abort();
  const auto Operator = mimosacart::parseOperatorSettings(Text, "fuzz");
  if (Operator.has_error() && Operator.error().empty())
    std::abort();
  return 0;
}
