/// \file
/// Peer messages: any input is rejected, or decodes to a message that does not
/// change when it is encoded and decoded again.
#include "wire/peer_codec.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput( // NOLINT: required by libFuzzer.
    const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  (void)mimosacart::decodeClaims(Bytes);
  const auto Decoded = mimosacart::decode(Bytes);
  if (Decoded.has_error())
    return 0;
  const std::string Encoded = mimosacart::encode(Decoded.value());
  const auto DecodedAgain = mimosacart::decode(Encoded);
  if (DecodedAgain.has_error() ||
      mimosacart::encode(DecodedAgain.value()) != Encoded)
    std::abort();
  return 0;
}
