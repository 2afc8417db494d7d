#include "tests/support/loopback_addresses.h"

#include <fmt/format.h>

#include <atomic>
#include <unistd.h>

namespace mimosacart {

namespace {

/// The second byte of the IP addresses starts here, above those that the soak
/// uses.
constexpr unsigned FirstNetwork = 201;
constexpr unsigned Networks = 54;
constexpr unsigned ByteRange = 256;
/// The ports lie below those that the system gives to outgoing connections.
constexpr unsigned FirstPort = 10'000;

} // namespace

std::string newLoopbackAddress() {
  static std::atomic<unsigned> LastPort = FirstPort - 1;
  const auto ProcessId = static_cast<unsigned>(getpid());
  return fmt::format(
      "127.{}.{}.{}:{}",
      FirstNetwork + ProcessId / ByteRange / ByteRange % Networks,
      ProcessId / ByteRange % ByteRange, ProcessId % ByteRange, ++LastPort);
}

} // namespace mimosacart
