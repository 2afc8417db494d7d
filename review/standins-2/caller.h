/// \file
/// A caller that reads answers at the speed of its link, and what it saw.
#pragma once

#include "connection.h"

#include <chrono>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// What a caller saw of one request.
struct Outcome {
  std::string Request;
  std::string Host;
  /// The connection had carried a request before.
  bool Kept = false;
  /// When the last byte of the request was sent.
  Clock::time_point SentAt;
  Clock::time_point EndedAt;
  /// Zero if the connection ended before a status.
  unsigned Status = 0;
  std::size_t Length = 0;
  std::size_t Received = 0;

  bool isWhole() const { return Status != 0 && Received == Length; }
};

/// Sends one request after the other over a kept connection. Throttles itself,
/// so that its receive window closes as that of a slower link does.
class Caller {
public:
  Caller(std::string Host, Endpoint Target, double BytesPerSecond,
         std::chrono::milliseconds Deadline)
      : Host(std::move(Host)), Target(std::move(Target)),
        BytesPerSecond(BytesPerSecond), Deadline(Deadline) {}

  Outcome post(const std::string &Request);

private:
  void receive(Outcome &Result);
  void receiveBody(Outcome &Result);

  const std::string Host;
  const Endpoint Target;
  const double BytesPerSecond;
  const std::chrono::milliseconds Deadline;
  std::optional<Connection> Open;
  MessageHead Head;
};

/// The file record.txt of a case: one line for each request.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}
  void note(Clock::time_point Start, const Outcome &Seen,
            const std::string &Servers);
  void note(const std::string &Line);

private:
  std::mutex Mutex;
  std::ofstream File;
};

/// Seconds from \p Start to \p At as text.
std::string secondsText(Clock::time_point Start, Clock::time_point At);

/// Whether the environment asks for the run with the disruption.
bool hasTrouble();

} // namespace review
