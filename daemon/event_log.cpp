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

/// Largest number of lines written in one second.
constexpr unsigned MaxLinesPerSecond = 3000;
/// Part of MaxLinesPerSecond that is reserved for errors.
constexpr unsigned ErrorLinesPerSecond = 500;
/// No line is added to a buffer that holds at least this many bytes.
constexpr std::size_t MaxBufferBytes = 1U << 20U;
/// Size of the buffer at which it is flushed without a call of flush().
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

/// The current time (UTC) in ISO 8601 format with milliseconds.
std::string formatCurrentTime() {
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
  const bool NeedsNoQuotes =
      !Value.empty() && Value.find_first_of(" \"=\n\r\t") == Value.npos;
  if (NeedsNoQuotes)
    return fmt::format("{}={}", Key, Value);
  std::string QuotedValue;
  for (const char Character : Value) {
    if (Character == '"' || Character == '\\')
      QuotedValue += '\\';
    if (Character == '\n' || Character == '\r')
      QuotedValue += ' ';
    else
      QuotedValue += Character;
  }
  return fmt::format("{}=\"{}\"", Key, QuotedValue);
}

EventLog::EventLog(std::string Host, LogLevel MinLevel)
    : Host(std::move(Host)), MinLevel(MinLevel) {}

EventLog::~EventLog() { flush(); }

/// Part of the limit is reserved for errors, so that other events cannot
/// displace them.
bool EventLog::canAppend(LogLevel Level) {
  const auto Now = std::chrono::steady_clock::now();
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    LinesThisSecond = 0;
  }
  const unsigned Limit = Level == LogLevel::Error
                             ? MaxLinesPerSecond
                             : MaxLinesPerSecond - ErrorLinesPerSecond;
  return LinesThisSecond < Limit && Buffer.size() < MaxBufferBytes;
}

void EventLog::write(LogLevel Level, std::string_view Event,
                     const LogFields &Fields) {
  if (Level < MinLevel)
    return;
  if (!canAppend(Level)) {
    ++DroppedLines;
    return;
  }
  if (DroppedLines > 0) {
    append(LogLevel::Error, "log_lines_dropped",
           {{"count", std::to_string(DroppedLines)}});
    DroppedLines = 0;
  }
  append(Level, Event, Fields);
  if (Buffer.size() >= FlushBytes)
    flush();
}

void EventLog::append(LogLevel Level, std::string_view Event,
                      const LogFields &Fields) {
  ++LinesThisSecond;
  fmt::format_to(std::back_inserter(Buffer),
                 "time={} level={} host={} event={}", formatCurrentTime(),
                 toString(Level), Host, Event);
  for (const auto &[Key, Value] : Fields) {
    Buffer += ' ';
    Buffer += formatField(Key, Value);
  }
  Buffer += '\n';
}

void EventLog::flush() {
  while (!Buffer.empty()) {
    // Standard output may be shared with other processes, so it must not be set
    // to non-blocking mode. Poll it instead.
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&Output, 1, 0) <= 0 || (Output.revents & POLLOUT) == 0)
      return;
    const std::size_t Length = std::min<std::size_t>(Buffer.size(), PIPE_BUF);
    const ssize_t Written = ::write(STDOUT_FILENO, Buffer.data(), Length);
    if (Written <= 0)
      return;
    Buffer.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace mimosacart
