/// \file
/// A simulated fleet: several nodes in virtual time with a fake network, fake
/// backend servers, fake callers and a fake platform.
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

/// How the fake network delivers one message.
struct Delivery {
  /// Delay of each copy that arrives; empty if the message is lost.
  std::vector<Duration> Delays;
};

/// One execution of a request by a fake backend server.
struct Execution {
  std::string Server;
  std::string Target;
  std::string Key;
  Instant At{};
};

/// A request that a fake caller sent, with its answer.
struct SentRequest {
  std::string Host;
  Instant SentAt{};
  std::optional<Instant> AnsweredAt;
  AnswerPtr Reply;
};

/// A request that a fake caller is to send.
struct TestRequest {
  std::string Method = "GET";
  std::string Target;
  std::string Body;
  std::string Key;
  std::string Token;
};

/// A fake backend server.
struct FakeServer {
  BackendServer Server;
  /// Returns the service time of a request.
  std::function<Duration(const CallerRequest &)> ServiceTime;
  /// `draining` (refuses requests as a draining server), `break` (the
  /// connection breaks after the service time), `error` (answers 500 at once),
  /// `silent` (never answers) or empty (answers 200).
  std::string Mode;
  /// Requests that are running now.
  unsigned Running = 0;
  /// Calls received so far.
  std::size_t Calls = 0;
};

/// The nodes of one fleet with fakes for everything that they communicate with.
class NodeFleet {
public:
  explicit NodeFleet(Configuration Content, std::uint64_t Seed = 1);

  /// Adds and starts a host; every host has all others as seeds.
  void addHost(const std::string &Name, const std::string &DataCentre);
  /// Publishes \p Content as the next generation and installs it on every
  /// running host.
  void applyEverywhere(Configuration Content);
  /// Publishes \p Content as the next generation on the fake platform, which
  /// hosts poll.
  void applyToPlatform(Configuration Content);

  /// Advances virtual time by \p Span and runs the events that become due.
  void run(Duration Span);

  /// Kills the process of a host; events for it are lost.
  void kill(const std::string &Name);
  /// Starts a new incarnation of a host under the same name and addresses.
  void restart(const std::string &Name);
  /// Suspends the process of a host; events for it wait until thaw().
  void freeze(const std::string &Name);
  /// Resumes the process of a host and delivers the events that wait for it.
  void thaw(const std::string &Name);
  /// Begins a planned stop.
  void stop(const std::string &Name);
  bool isRunning(const std::string &Name) const;

  /// Sends a request to \p Host; returns the index of the request for sent()
  /// and outcome().
  std::size_t send(const std::string &Host, const TestRequest &Request);
  const SentRequest &sent(std::size_t Index) const { return Sent[Index]; }
  std::size_t sentCount() const { return Sent.size(); }
  /// Outcome of a sent request: `answered`, the outcome of a refusal, or `none`
  /// if it has no answer.
  std::string outcome(std::size_t Index) const;
  /// The issuer token that \p Host returns to callers now; empty if it has
  /// none.
  std::string token(const std::string &Host) const;

  Node &node(const std::string &Host) { return *Hosts.at(Host).Core; }
  FakeServer &server(const std::string &Name) { return Servers.at(Name); }
  const std::vector<Execution> &executions() const { return Executions; }
  /// Number of executions of requests with \p Key.
  std::size_t executionsOf(const std::string &Key) const;
  Instant now() const { return Now; }

  /// Decides how each message is delivered; replaced by tests.
  std::function<Delivery(const std::string &From, const std::string &To,
                         const PeerMessage &)>
      Network;
  /// Whether hosts can read from and write to the platform.
  bool PlatformUp = true;

private:
  struct Host {
    MemberRecord Record;
    std::unique_ptr<Node> Core;
    bool Frozen = false;
    bool Alive = false;
    /// Events that wait while the host is frozen.
    std::deque<std::function<void(Node &)>> PendingEvents;
    /// Calls to servers that have no result yet; the values are not used.
    std::map<CallId, std::size_t> OpenCalls;
    /// Index in `Sent` of each request that has no reply yet.
    std::map<RequestId, std::size_t> OpenRequests;
  };
  struct Event {
    Instant At;
    /// Runs events of the same instant in the order they were scheduled.
    std::uint64_t Order;
    std::function<void()> Run;

    bool operator>(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void startHost(Host &NewHost);
  void schedule(Duration Delay, std::function<void()> Run);
  void deliver(const std::string &To, IncarnationId Incarnation,
               std::function<void(Node &)> Notify);
  void performActions(const std::string &Name);
  void performAction(const std::string &Name, const Action &NextAction);
  void callServer(const std::string &Name, const ServerCall &Call);
  void answerCall(const std::string &Name, IncarnationId Incarnation, CallId Id,
                  const CallResult &Result);
  void scheduleTick(const std::string &Name, IncarnationId Incarnation,
                    Duration Delay);
  void schedulePoll(const std::string &Name, IncarnationId Incarnation,
                    Duration Delay);
  void pollPlatform(const std::string &Name);
  void writeJournal(const std::string &Name, const JournalSegment &Segment);
  void readJournal(const std::string &Name, const ReadJournal &Lookup);
  std::string findHostName(const std::string &Address) const;

  /// The latest published configuration.
  Configuration Content;
  /// All published configurations, the oldest first.
  std::vector<ConfigurationPtr> PublishedConfigs;
  std::mt19937_64 Random;
  Instant Now;
  std::uint64_t EventOrder = 0;
  std::uint64_t LastIncarnation = 100;
  std::uint64_t LastRequest = 0;
  /// Scheduled events, a heap with the earliest first.
  std::vector<Event> Events;
  std::map<std::string, Host> Hosts;
  std::map<std::string, FakeServer> Servers;
  std::vector<SentRequest> Sent;
  std::vector<Execution> Executions;
  /// Journal segments in the fake object store, by name.
  std::map<std::string, std::vector<TransferredClaim>> Journal;
};

/// A configuration with one service of \p Count servers in three data centres
/// and \p Slots slots for each server. The service has an idempotent kind of
/// request (`GET /read/*`) and a non-idempotent one (`POST /book/*`).
Configuration makeTestConfiguration(unsigned Count, unsigned Slots);

} // namespace mimosacart
