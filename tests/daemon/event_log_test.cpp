#include "daemon/event_log.h"

#include <gtest/gtest.h>

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Standard output is a pipe that the test reads, or does not read.
class EventLogTest : public testing::Test {
protected:
  EventLogTest() {
    EXPECT_EQ(pipe(Ends), 0);
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    Saved = dup(STDOUT_FILENO);
    dup2(Ends[1], STDOUT_FILENO);
  }

  ~EventLogTest() override {
    dup2(Saved, STDOUT_FILENO);
    close(Saved);
    close(Ends[0]);
    close(Ends[1]);
  }

  std::string readAll() const {
    std::string Text(1U << 20U, '\0');
    std::string Result;
    for (ssize_t Count = 0;
         (Count = read(Ends[0], Text.data(), Text.size())) > 0;)
      Result.append(Text.data(), static_cast<std::size_t>(Count));
    return Result;
  }

  int Ends[2] = {-1, -1};
  int Saved = -1;
};

TEST_F(EventLogTest, write_event_isOneLineOfPairs) {
  EventLog Log("host-1", LogLevel::Info);
  Log.info("reply", {{"request", "r 1"}, {"status", "200"}});
  Log.flush();
  const std::string Text = readAll();
  EXPECT_NE(Text.find("host=host-1 event=reply request=\"r 1\" status=200\n"),
            std::string::npos)
      << Text;
}

TEST_F(EventLogTest, write_nobodyReads_neverBlocksAndTellsTheLoss) {
  EventLog Log("host-1", LogLevel::Info);
  const auto Start = std::chrono::steady_clock::now();
  for (unsigned Count = 0; Count < 20'000; ++Count)
    Log.info("line", {{"filler", std::string(200, 'x')}});
  EXPECT_LT(std::chrono::steady_clock::now() - Start, 2s);
  readAll();
  std::string Text;
  for (unsigned Round = 0; Round < 100; ++Round) {
    Log.error("after", {});
    Log.flush();
    Text += readAll();
  }
  EXPECT_NE(Text.find("event=log_lines_dropped count="), std::string::npos);
}

TEST_F(EventLogTest, write_lessThanTheLevel_isLeftOut) {
  EventLog Log("host-1", LogLevel::Error);
  Log.info("quiet", {});
  Log.setLevel(LogLevel::Info);
  Log.info("loud", {});
  Log.flush();
  const std::string Text = readAll();
  EXPECT_EQ(Text.find("event=quiet"), std::string::npos);
  EXPECT_NE(Text.find("event=loud"), std::string::npos);
}

} // namespace
} // namespace mimosacart
