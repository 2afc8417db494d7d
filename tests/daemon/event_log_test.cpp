#include "daemon/event_log.h"

#include <gtest/gtest.h>

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

/// Redirects standard output into a pipe that the test may leave unread.
class EventLogTest : public testing::Test {
protected:
  EventLogTest() {
    EXPECT_EQ(pipe(PipeEnds), 0);
    fcntl(PipeEnds[0], F_SETFL, O_NONBLOCK);
    SavedOutput = dup(STDOUT_FILENO);
    dup2(PipeEnds[1], STDOUT_FILENO);
  }

  ~EventLogTest() override {
    dup2(SavedOutput, STDOUT_FILENO);
    close(SavedOutput);
    close(PipeEnds[0]);
    close(PipeEnds[1]);
  }

  std::string readAll() const {
    std::string Text(1U << 20U, '\0');
    std::string Result;
    for (ssize_t Count = 0;
         (Count = read(PipeEnds[0], Text.data(), Text.size())) > 0;)
      Result.append(Text.data(), static_cast<std::size_t>(Count));
    return Result;
  }

  int PipeEnds[2] = {-1, -1};
  int SavedOutput = -1;
};

TEST_F(EventLogTest, write_event_formatsOneLineOfPairs) {
  EventLog Log("host-1", LogLevel::Info);
  Log.info("reply", {{"request", "r 1"}, {"status", "200"}});
  Log.flush();
  const std::string Text = readAll();
  EXPECT_NE(Text.find("host=host-1 event=reply request=\"r 1\" status=200\n"),
            std::string::npos)
      << Text;
}

TEST_F(EventLogTest, write_outputNotRead_neverBlocksAndReportsDroppedLines) {
  EventLog Log("host-1", LogLevel::Info);
  const auto Start = std::chrono::steady_clock::now();
  for (unsigned Count = 0; Count < 20'000; ++Count)
    Log.info("line", {{"filler", std::string(200, 'x')}});
  EXPECT_LT(std::chrono::steady_clock::now() - Start, 2s);
  readAll();
  std::string Text;
  for (unsigned Attempt = 0; Attempt < 100; ++Attempt) {
    Log.error("after", {});
    Log.flush();
    Text += readAll();
  }
  EXPECT_NE(Text.find("event=log_lines_dropped count="), std::string::npos);
}

TEST_F(EventLogTest, write_belowLevel_isOmitted) {
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
