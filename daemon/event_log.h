/// \file
/// Structured log: each event is one line of key=value pairs.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosacart {

/// Severity of an event.
enum class LogLevel : std::uint8_t { Debug, Info, Error };

/// Parses `debug`, `info` or `error`. Any other text yields Info.
LogLevel parseLogLevel(std::string_view Text);

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Writes the events of one process to standard output.
///
/// Never blocks. Lines are buffered while the output accepts none. Lines are
/// dropped if the buffer is full or if too many are written in one second; the
/// event `log_lines_dropped` then reports their number.
class EventLog {
public:
  EventLog(std::string Host, LogLevel MinLevel);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void write(LogLevel Level, std::string_view Event, const LogFields &Fields);
  void info(std::string_view Event, const LogFields &Fields) {
    write(LogLevel::Info, Event, Fields);
  }
  void error(std::string_view Event, const LogFields &Fields) {
    write(LogLevel::Error, Event, Fields);
  }
  void setLevel(LogLevel Level) { MinLevel = Level; }
  /// Writes buffered lines to the output, as far as it accepts them without
  /// blocking.
  void flush();

private:
  /// Whether neither the buffer nor the limit of lines per second prevents
  /// another line.
  bool canAppend(LogLevel Level);
  /// Appends a line to the buffer.
  void append(LogLevel Level, std::string_view Event, const LogFields &Fields);

  const std::string Host;
  /// Events below this level are not written.
  LogLevel MinLevel;
  std::string Buffer;
  /// Lines dropped since the last line that was written.
  std::uint64_t DroppedLines = 0;
  std::chrono::steady_clock::time_point SecondStart;
  unsigned LinesThisSecond = 0;
};

/// Formats one key=value pair. The value is quoted if it is empty or contains
/// white space, quotes or equals signs.
std::string formatField(std::string_view Key, std::string_view Value);

} // namespace mimosacart
