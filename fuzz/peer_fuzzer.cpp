/// \file
/// Peer messages: any bytes are refused, or mean the same once written and
/// read again.
#include "wire/peer_codec.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput( // NOLINT: the library's name.
    const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  (void)mimosacart::decodeClaims(Bytes);
  const auto Read = mimosacart::decode(Bytes);
  if (Read.has_error())
    return 0;
  const std::string Written = mimosacart::encode(Read.value());
  const auto Again = mimosacart::decode(Written);
  if (Again.has_error() || mimosacart::encode(Again.value()) != Written)
    std::abort();
  return 0;
}
