/// \file
/// A backend server that runs each request to a good end.
#pragma once

#include "connection.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace review {

/// What the servers did with one request.
struct Execution {
  std::chrono::steady_clock::time_point StartedAt;
  /// When the last byte of the answer was written; nothing if it was not.
  std::optional<std::chrono::steady_clock::time_point> AnsweredAt;
  unsigned Runs = 0;
};

/// The executions of all servers, by the id of the request.
class Executions {
public:
  void onStarted(const std::string &Request);
  void onAnswered(const std::string &Request);
  Execution find(const std::string &Request) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, Execution> ByRequest;
};

/// Runs every request that names it for a fixed time and answers it whole, with
/// a body whose length is drawn for each.
class BackendServer {
public:
  using LengthHook = std::function<std::size_t(const std::string &Request)>;

  BackendServer(std::string Id, Endpoint Local, unsigned Slots,
                std::chrono::milliseconds Work, LengthHook BodyLength,
                Executions &Log)
      : Id(std::move(Id)), Local(std::move(Local)), Slots(Slots), Work(Work),
        BodyLength(std::move(BodyLength)), Log(Log) {}

  bool listen();
  const std::string &id() const { return Id; }
  /// The entry that the server keeps in the store.
  std::string entry(const std::string &Service, const std::string &Zone) const;

private:
  void serve(Connection &Caller);
  bool answerHealth(Connection &Caller) const;
  bool run(Connection &Caller, const std::string &Request);
  std::string load() const;

  const std::string Id;
  const Endpoint Local;
  const unsigned Slots;
  const std::chrono::milliseconds Work;
  const LengthHook BodyLength;
  Executions &Log;
  std::atomic<unsigned> Running = 0;
};

} // namespace review
