#include "daemon/event_log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>

namespace mimosacart {

namespace {

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

void EventLog::write(LogLevel Level, std::string_view Event,
                     const LogFields &Fields) const {
  if (Level < Least)
    return;
  std::string Line = fmt::format("time={} level={} host={} event={}",
                                 currentTime(), toString(Level), Host, Event);
  for (const auto &[Key, Value] : Fields) {
    Line += ' ';
    Line += formatField(Key, Value);
  }
  Line += '\n';
  fmt::print(stderr, "{}", Line);
}

} // namespace mimosacart
