#include "daemon/event_log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <climits>
#include <iterator>
#include <poll.h>
#include <unistd.h>

namespace mimosacart {

namespace {

/// Lines that are written in one second at most.
constexpr unsigned MaxLinesPerSecond = 3000;
/// Part of them that only errors may use.
constexpr unsigned ErrorLinesPerSecond = 500;
/// Bytes kept while the output takes none.
constexpr std::size_t MaxKeptBytes = 1U << 20U;
/// Kept bytes that are handed on before the next flush is due.
constexpr std::size_t FlushBytes = PIPE_BUF;

const char *toString(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Error:
    return "error";
  }
  return "info";
}

std::string currentTime() {
  const auto Now = std::chrono::system_clock::now();
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Now.time_since_epoch())
          .count();
  constexpr long long MillisecondsPerSecond = 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03d}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Now)),
                     Milliseconds % MillisecondsPerSecond);
}

} // namespace

LogLevel parseLogLevel(std::string_view Text) {
  if (Text == "debug")
    return LogLevel::Debug;
  if (Text == "error")
    return LogLevel::Error;
  return LogLevel::Info;
}

std::string formatField(std::string_view Key, std::string_view Value) {
  const bool Plain =
      !Value.empty() && Value.find_first_of(" \"=\n\r\t") == Value.npos;
  if (Plain)
    return fmt::format("{}={}", Key, Value);
  std::string Quoted;
  for (const char Character : Value) {
    if (Character == '"' || Character == '\\')
      Quoted += '\\';
    if (Character == '\n' || Character == '\r')
      Quoted += ' ';
    else
      Quoted += Character;
  }
  return fmt::format("{}=\"{}\"", Key, Quoted);
}

EventLog::EventLog(std::string Host, LogLevel Least)
    : Host(std::move(Host)), Least(Least) {}

EventLog::~EventLog() { flush(); }

/// Lines of errors have a part of the second's bound to themselves.
bool EventLog::hasRoom(LogLevel Level) {
  const auto Now = std::chrono::steady_clock::now();
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    LinesInSecond = 0;
  }
  const unsigned Bound = Level == LogLevel::Error
                             ? MaxLinesPerSecond
                             : MaxLinesPerSecond - ErrorLinesPerSecond;
  return LinesInSecond < Bound && Kept.size() < MaxKeptBytes;
}

void EventLog::write(LogLevel Level, std::string_view Event,
                     const LogFields &Fields) {
  if (Level < Least)
    return;
  if (!hasRoom(Level)) {
    ++Dropped;
    return;
  }
  if (Dropped > 0) {
    append(LogLevel::Error, "log_lines_dropped",
           {{"count", std::to_string(Dropped)}});
    Dropped = 0;
  }
  append(Level, Event, Fields);
  if (Kept.size() >= FlushBytes)
    flush();
}

void EventLog::append(LogLevel Level, std::string_view Event,
                      const LogFields &Fields) {
  ++LinesInSecond;
  fmt::format_to(std::back_inserter(Kept), "time={} level={} host={} event={}",
                 currentTime(), toString(Level), Host, Event);
  for (const auto &[Key, Value] : Fields) {
    Kept += ' ';
    Kept += formatField(Key, Value);
  }
  Kept += '\n';
}

void EventLog::flush() {
  while (!Kept.empty()) {
    // The output may be shared with others, so it is asked instead of being
    // set to never block.
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&Output, 1, 0) <= 0 || (Output.revents & POLLOUT) == 0)
      return;
    const std::size_t Length = std::min<std::size_t>(Kept.size(), PIPE_BUF);
    const ssize_t Written = ::write(STDOUT_FILENO, Kept.data(), Length);
    if (Written <= 0)
      return;
    Kept.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace mimosacart
