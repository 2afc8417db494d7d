/// \file
/// Processes that the soak starts.
#include "soak/host_process.h"

#include "net/asio.h"

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

// Guards against a new host process that still holds the sockets of the soak's
// servers: one that started again meanwhile could not listen, and the soak
// ended.
TEST(HostProcessTest, start_listenerClosedAfterwards_addressIsFree) {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context);
  ASSERT_TRUE(listenOn(Acceptor, "127.0.0.1:0"));
  const std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  HostProcess Process("/bin/true", "none", "/dev/null");
  for (int Round = 0; Round < 20; ++Round) {
    Process.start();
    Acceptor.close();
    ASSERT_TRUE(listenOn(Acceptor, Address)) << "round " << Round;
    while (Process.running()) {
    }
  }
}

} // namespace
} // namespace mimosacart
