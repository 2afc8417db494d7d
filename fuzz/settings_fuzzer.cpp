/// \file
/// The settings files of hosts and operators: any input is parsed, or rejected
/// with an error message.
#include "settings/host_settings.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput( // NOLINT: required by libFuzzer.
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
