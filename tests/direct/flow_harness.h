/// \file
/// A RequestFlow in virtual time, for which a test plays the servers.
#pragma once

#include "direct/request_flow.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosacart {

/// Runs a RequestFlow and records its calls, probes and results.
class FlowHarness {
public:
  explicit FlowHarness(FlowPolicy Policy = {}, RetryLimits Limits = {});

  /// Adds a server of the service `records`.
  void addServer(const std::string &Id, unsigned Slots = 2);
  /// Records a load that the server has just reported.
  void reportLoad(const std::string &Id, unsigned Running = 0,
                  unsigned Slowness = 100);
  /// Route of the requests that start() makes; tests may change it before.
  HostRoute Route;
  /// Workspace of these requests; null if the deployment has none.
  WorkspacePtr Owner;
  /// Data centres that the requests of start() are bound to.
  DataCentreSet DataCentres;

  RequestId start(const std::string &Body = "");
  /// Fingerprint of the requests that start() makes with \p Body.
  static std::uint64_t fingerprintOf(const std::string &Body) {
    return std::hash<std::string>()(Body) | 1U;
  }
  /// Answers the open call to \p Server.
  void answer(const std::string &Server, unsigned Status, bool Signed = true,
              const ServerWishes &Wishes = {});
  void answerNotRun(const std::string &Server);
  void answerWrongServer(const std::string &Server);
  /// Ends the open call to \p Server without an answer.
  void failCall(const std::string &Server, CallEnd End);
  /// Answers every open probe with \p Load.
  void answerProbes(const ServerLoad &Load);
  /// Ends every open probe without an answer.
  void failProbes();
  /// Advances the time by \p Span and calls each tick that is due.
  void advance(Duration Span);
  /// The same, but answers every probe with \p Load and stops once the request
  /// \p Until has ended.
  void advanceAnsweringProbes(Duration Span, const ServerLoad &Load,
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
  /// How far the clock is ahead of Now, as in a late event loop.
  Duration Lateness{};
  /// Callers that have closed their connection.
  std::set<RequestId> Gone;
  /// Crashed servers by the fingerprint of the request.
  std::map<std::uint64_t, std::size_t> CrashCounts;
  ServerRegistry Registry;
  ServerLoadTable ServerLoads;
  RequestFlow Flow;

private:
  RequestFlow::Hooks makeHooks();
  /// Removes the first open call to \p Server and returns it.
  DirectCall takeCall(const std::string &Server);

  std::uint64_t LastRequest = 0;
};

} // namespace mimosacart
