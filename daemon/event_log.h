/// \file
/// Structured logs: one line of key=value pairs for each event.
#pragma once

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

/// Writes events of one process to standard error.
class EventLog {
public:
  EventLog(std::string Host, LogLevel Least);

  void write(LogLevel Level, std::string_view Event,
             const LogFields &Fields) const;
  void info(std::string_view Event, const LogFields &Fields) const {
    write(LogLevel::Info, Event, Fields);
  }
  void error(std::string_view Event, const LogFields &Fields) const {
    write(LogLevel::Error, Event, Fields);
  }

private:
  const std::string Host;
  const LogLevel Least;
};

/// Writes one pair; the value is quoted if it holds spaces or quotes.
std::string formatField(std::string_view Key, std::string_view Value);

} // namespace mimosacart
