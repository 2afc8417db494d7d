/// \file
/// What callers and servers saw, and which promises that breaks.
#pragma once

#include "soak/soak_server.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosacart {

using SoakTime = std::chrono::steady_clock::time_point;

/// One request of a caller with everything that was seen of it.
struct SeenRequest {
  std::string Id;
  bool Idempotent = false;
  std::size_t Host = 0;
  SoakTime SentAt;
  std::optional<SoakTime> EndedAt;
  /// 0 if the connection ended without an answer.
  unsigned Status = 0;
  std::string Body;
  /// The caller could not connect or was not read.
  bool Unread = false;
  unsigned Runs = 0;
  std::set<std::string> AnsweredBy;
  std::set<std::string> Services;
};

/// A stretch of time in which something was disturbed.
struct Disturbance {
  std::string What;
  SoakTime From;
  SoakTime To;
  /// The host that was disturbed; nothing if all were.
  std::optional<std::size_t> Host;
  bool Planned = false;
};

/// Collects what is seen and judges it.
class Promises {
public:
  /// Time limit of the routes.
  static constexpr auto RouteTimeout = std::chrono::milliseconds(1500);

  SeenRequest &add(SeenRequest Request);
  void onRan(const ServerEvent &Event);
  void onAnswered(const ServerEvent &Event);
  void onEnded(const std::string &Id, unsigned Status, const std::string &Body,
               bool Unread);
  /// A service that some configuration allows for requests of this kind.
  void allow(bool Idempotent, const std::string &Service);
  /// The server may get no request from \p From on.
  void forbidServer(const std::string &Server, SoakTime From);
  void disturb(Disturbance Seen) { Disturbances.push_back(std::move(Seen)); }

  /// Promises broken, each with its first example; \p CalmFrom is when all was
  /// sound again and the last configuration was in force.
  std::vector<std::string> judge(SoakTime CalmFrom, std::size_t Hosts,
                                 const std::string &OnceService) const;
  std::size_t requests() const { return Seen.size(); }
  std::size_t served() const;

private:
  bool disturbed(std::size_t Host, SoakTime From, SoakTime To,
                 bool PlannedToo) const;
  std::string judgeOne(const SeenRequest &Request) const;
  std::string judgePlannedStop(const SeenRequest &Request) const;
  std::vector<std::string> judgeCalm(SoakTime CalmFrom, std::size_t Hosts,
                                     const std::string &OnceService) const;

  std::map<std::string, SeenRequest> Seen;
  std::map<bool, std::set<std::string>> Allowed;
  std::map<std::string, SoakTime> Forbidden;
  std::vector<Disturbance> Disturbances;
  std::vector<std::string> Found;
};

} // namespace mimosacart
