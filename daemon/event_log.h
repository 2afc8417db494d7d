/// \file
/// Structured logs: one line of key=value pairs for each event.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosacart {

/// How much an event matters.
enum class LogLevel : std::uint8_t { Debug, Info, Error };

/// Reads `debug`, `info` or `error`; anything else is Info.
LogLevel parseLogLevel(std::string_view Text);

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Writes events of one process to standard output.
///
/// Never waits for the reader of the output: lines that it does not take are
/// kept up to a bound and dropped beyond it, as are lines beyond a bound in
/// each second. A line tells how many were dropped.
class EventLog {
public:
  EventLog(std::string Host, LogLevel Least);
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
  void setLevel(LogLevel Value) { Least = Value; }
  /// Hands kept lines to the output as far as it takes them.
  void flush();

private:
  bool hasRoom(LogLevel Level);
  void append(LogLevel Level, std::string_view Event, const LogFields &Fields);

  const std::string Host;
  LogLevel Least;
  std::string Kept;
  std::uint64_t Dropped = 0;
  std::chrono::steady_clock::time_point SecondStart;
  unsigned LinesInSecond = 0;
};

/// Writes one pair; the value is quoted if it holds spaces or quotes.
std::string formatField(std::string_view Key, std::string_view Value);

} // namespace mimosacart
