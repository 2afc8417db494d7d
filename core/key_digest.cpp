#include "core/key_digest.h"

#include <openssl/sha.h>

namespace mimosacart {

KeyDigest digestKey(std::string_view Key) {
  KeyDigest Result;
  static_assert(KeyDigest::Size == SHA256_DIGEST_LENGTH);
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Result.Bytes.data());
  return Result;
}

} // namespace mimosacart
