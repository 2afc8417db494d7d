/// \file
/// Clients that send requests on connections that they keep open.
#pragma once

#include "directory.h"

namespace review {

/// A request that ended with a closed connection instead of an answer.
struct Cut {
  std::string RequestId;
  std::string Host;
  double SentAt = 0;
  double EndedAt = 0;
  ReadEnd How = ReadEnd::Closed;
  /// Whether the connection had carried a request before.
  bool Kept = false;
};

struct CallerSettings {
  /// Prefix of request ids.
  std::string Name;
  std::string Method = "POST";
  std::string Prefix;
  unsigned Clients = 1;
  /// Pause of a client between an answer and its next request.
  std::chrono::microseconds MinPause{};
  std::chrono::microseconds MaxPause{};
  std::size_t BodyBytes = 0;
  unsigned DeadlineMs = 2000;
};

/// Clients that all behave alike, one thread each.
class Callers {
public:
  Callers(CallerSettings Settings, Directory &Addresses, Record &Lines);
  /// Stops the clients.
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  void stop();
  std::vector<Cut> cuts();
  unsigned sent() const { return Sent; }
  unsigned succeeded() const { return Succeeded; }
  unsigned refused() const { return Refused; }

private:
  void run(unsigned Index);
  bool sendOne(Connection &Link, const std::string &Address,
               const std::string &Id, bool Kept);

  const CallerSettings Settings;
  const std::string Body;
  Directory &Addresses;
  Record &Lines;
  std::atomic<bool> Stopped = false;
  std::atomic<unsigned> Sent = 0;
  std::atomic<unsigned> Succeeded = 0;
  std::atomic<unsigned> Refused = 0;
  std::mutex Lock;
  std::vector<Cut> Cuts;
  std::vector<std::thread> Threads;
};

/// Those of \p Cuts whose requests a target ran.
std::vector<Cut> selectRun(Fleet &Servers, const std::vector<Cut> &Cuts);

/// Line of record.txt for a request that ran and got no answer.
std::string describe(const Cut &Lost);

} // namespace review
