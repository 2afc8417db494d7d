/// \file
/// Several cores joined by fakes at their interfaces, in virtual time: peers'
/// messages, backend servers and callers.
#pragma once

#include "core/node.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosacart {

/// What the fake network does with one message.
struct Delivery {
  /// Copies that arrive, each after its delay; none means lost.
  std::vector<Duration> Delays;
};

/// One execution of a request by a fake backend server.
struct Execution {
  std::string Server;
  std::string Target;
  std::string Key;
  Instant At{};
};

/// A request as a test's caller made it.
struct SentRequest {
  std::string Host;
  Instant SentAt{};
  std::optional<Instant> AnsweredAt;
  AnswerPtr Reply;
};

/// A request that a test's caller is to send.
struct TestRequest {
  std::string Method = "GET";
  std::string Target;
  std::string Body;
  std::string Key;
  std::string Token;
};

/// A fake backend server: slots, a queue and a log of executions.
struct FakeServer {
  BackendServer Server;
  /// Service time of each request.
  std::function<Duration(const CallerRequest &)> ServiceTime;
  /// `draining`, `break` (the connection breaks), `error` (answers 500 at
  /// once), `silent` or empty.
  std::string Mode;
  unsigned Running = 0;
  std::size_t Calls = 0;
};

/// Cores of one fleet with everything round them faked.
class NodeFleet {
public:
  explicit NodeFleet(Configuration Content, std::uint64_t Seed = 1);

  /// Adds and starts a host; all hosts are each other's seeds.
  void addHost(const std::string &Name, const std::string &DataCentre);
  /// Gives \p Content to every running host as the next generation.
  void applyEverywhere(Configuration Content);
  /// Writes the next generation to the fake platform, which hosts read.
  void applyToPlatform(Configuration Content);

  /// Lets time pass.
  void run(Duration Span);

  /// Kills the process; its connections are gone.
  void kill(const std::string &Name);
  /// Starts a new life of a killed host under the same name and address.
  void restart(const std::string &Name);
  /// Stops the process from running; messages to it wait.
  void freeze(const std::string &Name);
  void thaw(const std::string &Name);
  /// Begins a planned stop.
  void stop(const std::string &Name);
  bool isRunning(const std::string &Name) const;

  /// Sends a request; the result is the index for sent().
  std::size_t send(const std::string &Host, const TestRequest &Request);
  const SentRequest &sent(std::size_t Index) const { return Sent[Index]; }
  std::size_t sentCount() const { return Sent.size(); }
  /// Outcome word of a sent request: `answered`, a refusal's word or `none`.
  std::string outcome(std::size_t Index) const;
  /// The token that \p Host would give to callers now.
  std::string token(const std::string &Host) const;

  Node &node(const std::string &Host) { return *Hosts.at(Host).Core; }
  FakeServer &server(const std::string &Name) { return Servers.at(Name); }
  const std::vector<Execution> &executions() const { return Executed; }
  /// Times that the request with \p Key was run.
  std::size_t executionsOf(const std::string &Key) const;
  Instant now() const { return Now; }

  /// Decides what happens to each message; replaced by tests.
  std::function<Delivery(const std::string &From, const std::string &To,
                         const PeerMessage &)>
      Network;
  /// Whether hosts can read the platform.
  bool PlatformUp = true;

private:
  struct Host {
    MemberRecord Record;
    std::unique_ptr<Node> Core;
    bool Frozen = false;
    bool Alive = false;
    /// Events that wait while the host is frozen.
    std::deque<std::function<void(Node &)>> Held;
    std::map<CallId, std::size_t> OpenCalls;
    std::map<RequestId, std::size_t> OpenRequests;
  };
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Run;

    bool operator>(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void startHost(Host &Started);
  void schedule(Duration Delay, std::function<void()> Run);
  void deliver(const std::string &To, IncarnationId Incarnation,
               std::function<void(Node &)> Event);
  void carryOut(const std::string &Name);
  void carryOut(const std::string &Name, const Action &Next);
  void callServer(const std::string &Caller, const ServerCall &Call);
  void answerCall(const std::string &Caller, IncarnationId Incarnation,
                  CallId Id, const CallResult &Result);
  void tickLater(const std::string &Name, IncarnationId Incarnation,
                 Duration Delay);
  void pollLater(const std::string &Name, IncarnationId Incarnation,
                 Duration Delay);
  void pollPlatform(const std::string &Name);
  void writeJournal(const std::string &Name, const JournalSegment &Segment);
  void readJournal(const std::string &Name, const ReadJournal &Wanted);
  std::string hostAt(const std::string &Address) const;

  Configuration Content;
  std::vector<ConfigurationPtr> Accepted;
  std::mt19937_64 Random;
  Instant Now;
  std::uint64_t EventOrder = 0;
  std::uint64_t LastIncarnation = 100;
  std::uint64_t LastRequest = 0;
  std::vector<Event> Events;
  std::map<std::string, Host> Hosts;
  std::map<std::string, FakeServer> Servers;
  std::vector<SentRequest> Sent;
  std::vector<Execution> Executed;
  /// Journal segments in the fake object store, by name.
  std::map<std::string, std::vector<TransferredClaim>> Journal;
};

/// A service of \p Count servers spread over three data centres, with one
/// idempotent kind (`GET /read/*`) and one that is not (`POST /book/*`).
Configuration makeTestConfiguration(unsigned Count, unsigned Slots);

} // namespace mimosacart
