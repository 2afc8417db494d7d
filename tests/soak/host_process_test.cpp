/// \file
/// Processes that the soak starts.
#include "soak/host_process.h"

#include <gtest/gtest.h>

#include <vector>

namespace mimosacart {
namespace {

constexpr std::size_t Megabyte = std::size_t(1) << 20U;

// The memory of the soak program itself was taken for that of a host that had
// just been started.
TEST(HostProcessTest, peakMemoryMb_justStarted_isNotThatOfStarter) {
  constexpr std::size_t StarterMb = 200;
  const std::vector<char> Memory(StarterMb * Megabyte, 'x');
  // Prints its usage and ends.
  HostProcess Process("/bin/sleep", "", "/dev/null");
  Process.start();
  EXPECT_LT(Process.peakMemoryMb(), StarterMb / 2) << Memory.size();
}

} // namespace
} // namespace mimosacart
