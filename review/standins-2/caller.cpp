#include "caller.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace review {

namespace {

constexpr int ReceiveBufferBytes = 128 << 10;
constexpr std::size_t ReadBytes = 64U << 10U;

} // namespace

Outcome Caller::post(const std::string &Request) {
  Outcome Result;
  Result.Request = Request;
  Result.Host = Host;
  Result.Kept = Open.has_value();
  if (!Open)
    Open = Connection::open(Target, ReceiveBufferBytes);
  const bool Sent =
      Open &&
      Open->writeAll(
          "POST /once/" + Request +
          " HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: " + Request +
          "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) +
          "\r\nContent-Length: 0\r\n\r\n");
  Result.SentAt = Clock::now();
  if (Sent)
    receive(Result);
  Result.EndedAt = Clock::now();
  if (!Result.isWhole() || Head.field("connection") == "close")
    Open.reset();
  return Result;
}

void Caller::receive(Outcome &Result) {
  if (!Open->readHead(Head))
    return;
  Result.Status = static_cast<unsigned>(std::stoul(Head.Second));
  Result.Length = Head.contentLength();
  receiveBody(Result);
}

void Caller::receiveBody(Outcome &Result) {
  const Clock::time_point Start = Clock::now();
  while (Result.Received < Result.Length) {
    const std::size_t Read =
        Open->readSome(std::min(ReadBytes, Result.Length - Result.Received));
    if (Read == 0)
      return;
    Result.Received += Read;
    std::this_thread::sleep_until(
        Start +
        std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(static_cast<double>(Result.Received) /
                                          BytesPerSecond)));
  }
}

std::string secondsText(Clock::time_point Start, Clock::time_point At) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                std::chrono::duration<double>(At - Start).count());
  return Text.data();
}

void Record::note(Clock::time_point Start, const Outcome &Seen,
                  const std::string &Servers) {
  note(Seen.Request + " to " + Seen.Host +
       (Seen.Kept ? " on a kept connection" : " on a new connection") +
       ", sent " + secondsText(Start, Seen.SentAt) + ", ended " +
       secondsText(Start, Seen.EndedAt) + ", status " +
       std::to_string(Seen.Status) + ", " + std::to_string(Seen.Received) +
       " of " + std::to_string(Seen.Length) + " bytes; " + Servers);
}

void Record::note(const std::string &Line) {
  const std::lock_guard Lock(Mutex);
  File << Line << std::endl;
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace review
