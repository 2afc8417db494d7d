/// \file
/// A RequestFlow with servers that a test answers for, in virtual time.
#pragma once

#include "direct/request_flow.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mimosacart {

/// Collects what the flow asks for.
class FlowHarness {
public:
  explicit FlowHarness(FlowPolicy Policy = {}, RetryLimits Limits = {});

  /// Adds a server of the service `records`.
  void addServer(const std::string &Id, unsigned Slots = 2);
  /// Makes the server's figures known, as if it had just told them.
  void tellLoad(const std::string &Id, unsigned Running = 0,
                unsigned Slowness = 100);
  /// The route that requests take; tests change it before they start any.
  HostRoute Route;

  RequestId start(const std::string &Body = "");
  /// Answers the open call to \p Server.
  void answer(const std::string &Server, unsigned Status, bool Signed = true);
  void answerNotRun(const std::string &Server);
  void answerWrongServer(const std::string &Server);
  void lose(const std::string &Server, CallEnd End);
  /// Answers every open probe with \p Load.
  void answerProbes(const ServerLoad &Load);
  void loseProbes();
  void pass(Duration Span);
  /// The same until \p Until ended, with every probe answered by \p Load.
  void passAnsweringProbes(Duration Span, const ServerLoad &Load,
                           RequestId Until);

  /// Servers with an open call, in the order of the calls.
  std::vector<std::string> openCalls() const;
  const FlowResult &result(RequestId Id) const { return Results.at(Id); }
  bool ended(RequestId Id) const { return Results.contains(Id); }

  Instant Now{std::chrono::hours(1)};
  std::vector<DirectCall> Calls;
  std::vector<DirectProbe> Probes;
  std::vector<CallId> Cancelled;
  std::map<RequestId, FlowResult> Results;
  std::map<std::uint64_t, std::size_t> CrashCounts;
  ServerRegistry Registry;
  ServerLoadTable ServerLoads;
  RequestFlow Flow;

private:
  RequestFlow::Hooks hooks();
  DirectCall take(const std::string &Server);

  std::uint64_t LastRequest = 0;
};

} // namespace mimosacart
