#include "tests/support/node_fleet.h"

#include <algorithm>
#include <fmt/format.h>

namespace mimosacart {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(5);
constexpr Duration NetworkDelay = std::chrono::milliseconds(1);
constexpr Duration ServerDelay = std::chrono::microseconds(200);
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(10);
constexpr Duration PlatformInterval = std::chrono::seconds(1);
constexpr Instant StartTime{std::chrono::hours(1)};

const std::vector<std::string> &dataCentres() {
  static const std::vector<std::string> Names = {"dc-a", "dc-b", "dc-c"};
  return Names;
}

} // namespace

Configuration makeTestConfiguration(unsigned Count, unsigned Slots) {
  Service TestService;
  TestService.Name = ServiceName("records");
  for (unsigned Index = 0; Index < Count; ++Index)
    TestService.Servers.push_back(
        {ServerName(fmt::format("server-{}", Index + 1)),
         fmt::format("10.0.1.{}:80", Index + 1),
         dataCentres()[Index % dataCentres().size()], Slots, 100});
  RequestKind Read{"read",
                   "GET",
                   "/read/*",
                   true,
                   std::chrono::seconds(2),
                   PriorityClass::Normal,
                   2,
                   false};
  RequestKind Book{"book",
                   "POST",
                   "/book/*",
                   false,
                   std::chrono::seconds(2),
                   PriorityClass::High,
                   0,
                   false};
  TestService.Kinds = {Read, Book};
  return {{TestService}};
}

NodeFleet::NodeFleet(Configuration InitialContent, std::uint64_t Seed)
    : Content(std::move(InitialContent)), Random(Seed), Now(StartTime) {
  Network = [](const std::string &, const std::string &, const PeerMessage &) {
    return Delivery{{NetworkDelay}};
  };
  applyToPlatform(Content);
}

void NodeFleet::applyToPlatform(Configuration NewContent) {
  Content = std::move(NewContent);
  VersionedConfiguration Published;
  Published.Number = Generation(PublishedConfigs.size() + 1);
  Published.Digest = fmt::format("digest-{}", PublishedConfigs.size() + 1);
  Published.Bytes = Published.Digest;
  Published.Content = Content;
  PublishedConfigs.push_back(
      std::make_shared<const VersionedConfiguration>(std::move(Published)));
  for (const Service &ConfiguredService : Content.Services)
    for (const BackendServer &Server : ConfiguredService.Servers)
      if (!Servers.contains(Server.Name.value()))
        Servers[Server.Name.value()] = {
            Server, [](const CallerRequest &) { return DefaultServiceTime; },
            "", 0, 0};
}

void NodeFleet::applyEverywhere(Configuration NewContent) {
  applyToPlatform(std::move(NewContent));
  for (auto &[Name, Entry] : Hosts)
    if (Entry.Alive) {
      Entry.Core->onConfiguration(Now, PublishedConfigs.back());
      performActions(Name);
    }
}

void NodeFleet::addHost(const std::string &Name,
                        const std::string &DataCentre) {
  Host &Added = Hosts[Name];
  Added.Record.Host = HostName(Name);
  Added.Record.DataCentre = DataCentre;
  Added.Record.PeerAddress = "peer:" + Name;
  Added.Record.CallerAddress = "caller:" + Name;
  startHost(Added);
}

void NodeFleet::startHost(Host &NewHost) {
  NewHost.Record.Incarnation = IncarnationId(++LastIncarnation);
  NewHost.Alive = true;
  NewHost.Frozen = false;
  NewHost.PendingEvents.clear();
  NewHost.OpenCalls.clear();
  NewHost.OpenRequests.clear();
  NodeSettings Settings;
  Settings.Self = NewHost.Record;
  Settings.RandomSeed = Random();
  // The seeds of each host include every host that a test may add.
  for (const char *Suffix : {"a", "b", "c", "d", "e", "f"})
    Settings.SeedAddresses.push_back(fmt::format("peer:host-{}", Suffix));
  NewHost.Core = std::make_unique<Node>(Now, std::move(Settings));
  const std::string Name = NewHost.Record.Host.value();
  const IncarnationId Incarnation = NewHost.Record.Incarnation;
  scheduleTick(Name, Incarnation, Duration::zero());
  schedulePoll(Name, Incarnation, Duration::zero());
}

void NodeFleet::scheduleTick(const std::string &Name, IncarnationId Incarnation,
                             Duration Delay) {
  schedule(Delay, [this, Name, Incarnation] {
    Host &Target = Hosts.at(Name);
    if (!Target.Alive || Target.Record.Incarnation != Incarnation)
      return;
    if (!Target.Frozen) {
      Target.Core->onTick(Now);
      performActions(Name);
    }
    scheduleTick(Name, Incarnation, TickInterval);
  });
}

void NodeFleet::schedulePoll(const std::string &Name, IncarnationId Incarnation,
                             Duration Delay) {
  schedule(Delay, [this, Name, Incarnation] {
    Host &Target = Hosts.at(Name);
    if (!Target.Alive || Target.Record.Incarnation != Incarnation)
      return;
    if (!Target.Frozen)
      pollPlatform(Name);
    schedulePoll(Name, Incarnation, PlatformInterval);
  });
}

void NodeFleet::pollPlatform(const std::string &Name) {
  if (!PlatformUp)
    return;
  const ConfigurationPtr Latest = PublishedConfigs.back();
  Hosts.at(Name).Core->onHeadSeen(Now, {Latest->Number, Latest->Digest});
  performActions(Name);
}

void NodeFleet::schedule(Duration Delay, std::function<void()> Run) {
  Events.push_back({Now + Delay, ++EventOrder, std::move(Run)});
  std::push_heap(Events.begin(), Events.end(), std::greater<>());
}

void NodeFleet::run(Duration Span) {
  const Instant End = Now + Span;
  while (!Events.empty() && Events.front().At <= End) {
    std::pop_heap(Events.begin(), Events.end(), std::greater<>());
    Event Next = std::move(Events.back());
    Events.pop_back();
    Now = Next.At;
    Next.Run();
  }
  Now = End;
}

/// Delivers an event to an incarnation of a host. Events for a frozen host
/// wait, as in its socket buffers; events for an incarnation that has ended are
/// lost.
void NodeFleet::deliver(const std::string &To, IncarnationId Incarnation,
                        std::function<void(Node &)> Notify) {
  Host &Target = Hosts.at(To);
  if (!Target.Alive || Target.Record.Incarnation != Incarnation)
    return;
  if (Target.Frozen) {
    Target.PendingEvents.push_back(std::move(Notify));
    return;
  }
  Notify(*Target.Core);
  performActions(To);
}

void NodeFleet::kill(const std::string &Name) {
  Host &Target = Hosts.at(Name);
  Target.Alive = false;
  Target.PendingEvents.clear();
}

void NodeFleet::restart(const std::string &Name) { startHost(Hosts.at(Name)); }

void NodeFleet::freeze(const std::string &Name) {
  Hosts.at(Name).Frozen = true;
}

void NodeFleet::thaw(const std::string &Name) {
  Host &Target = Hosts.at(Name);
  Target.Frozen = false;
  if (!Target.Alive)
    return;
  std::deque<std::function<void(Node &)>> Waiting;
  Waiting.swap(Target.PendingEvents);
  for (const auto &Notify : Waiting) {
    Notify(*Target.Core);
    performActions(Name);
  }
}

void NodeFleet::stop(const std::string &Name) {
  Hosts.at(Name).Core->onStop(Now);
  performActions(Name);
}

bool NodeFleet::isRunning(const std::string &Name) const {
  return Hosts.at(Name).Alive;
}

std::string NodeFleet::findHostName(const std::string &Address) const {
  for (const auto &[Name, Entry] : Hosts)
    if (Entry.Record.PeerAddress == Address)
      return Name;
  return {};
}

void NodeFleet::performActions(const std::string &Name) {
  Host &ActingHost = Hosts.at(Name);
  if (!ActingHost.Alive)
    return;
  for (const Action &NextAction : ActingHost.Core->takeActions())
    performAction(Name, NextAction);
}

void NodeFleet::performAction(const std::string &Name,
                              const Action &NextAction) {
  Host &ActingHost = Hosts.at(Name);
  if (const auto *Call = std::get_if<CallServer>(&NextAction)) {
    callServer(Name, Call->Call);
    return;
  }
  if (const auto *Cancel = std::get_if<CancelCall>(&NextAction)) {
    ActingHost.OpenCalls.erase(Cancel->Id);
    return;
  }
  if (const auto *Reply = std::get_if<ReplyToCaller>(&NextAction)) {
    const auto Found = ActingHost.OpenRequests.find(Reply->Reply.Id);
    if (Found == ActingHost.OpenRequests.end())
      return;
    Sent[Found->second].Reply = Reply->Reply.Reply;
    Sent[Found->second].AnsweredAt = Now;
    ActingHost.OpenRequests.erase(Found);
    return;
  }
  if (const auto *Message = std::get_if<SendToPeer>(&NextAction)) {
    const std::string To = findHostName(Message->Address);
    if (To.empty())
      return;
    const Delivery Planned = Network(Name, To, Message->Message);
    for (const Duration Delay : Planned.Delays)
      schedule(Delay, [this, To, Incarnation = Hosts.at(To).Record.Incarnation,
                       Copy = Message->Message] {
        deliver(To, Incarnation, [this, Copy](Node &Core) {
          // In the daemon, the layer that owns the Node parses configuration
          // bytes and hands it the result. Here the result is found by digest.
          const auto *Bytes = std::get_if<ConfigurationBytes>(&Copy.Body);
          if (Bytes != nullptr)
            for (const ConfigurationPtr &Config : PublishedConfigs)
              if (Config->Digest == Bytes->ConfigId.Digest)
                Core.onConfiguration(Now, Config);
          Core.onPeerMessage(Now, Copy);
        });
      });
    return;
  }
  if (const auto *Fetch = std::get_if<FetchConfiguration>(&NextAction)) {
    if (!PlatformUp)
      return;
    for (const ConfigurationPtr &Config : PublishedConfigs)
      if (Config->Digest == Fetch->ConfigId.Digest)
        schedule(
            NetworkDelay,
            [this, Name, Incarnation = ActingHost.Record.Incarnation, Config] {
              deliver(Name, Incarnation, [this, Config](Node &Core) {
                Core.onConfiguration(Now, Config);
              });
            });
    return;
  }
  if (const auto *Write = std::get_if<WriteJournal>(&NextAction)) {
    writeJournal(Name, Write->Segment);
    return;
  }
  if (const auto *Read = std::get_if<ReadJournal>(&NextAction)) {
    readJournal(Name, *Read);
    return;
  }
  if (std::holds_alternative<Stopped>(NextAction))
    ActingHost.Alive = false;
}

void NodeFleet::writeJournal(const std::string &Name,
                             const JournalSegment &Segment) {
  const IncarnationId Incarnation = Hosts.at(Name).Record.Incarnation;
  const bool Written = PlatformUp;
  if (Written)
    Journal[segmentName(HostName(Name), Incarnation, Segment.Epoch,
                        Segment.Number)] = Segment.Claims;
  schedule(NetworkDelay, [this, Name, Incarnation, Written] {
    deliver(Name, Incarnation, [this, Written](Node &Core) {
      Core.onJournalWritten(Now, Written);
    });
  });
}

void NodeFleet::readJournal(const std::string &Name,
                            const ReadJournal &Lookup) {
  AnswerPtr Found;
  const std::string Prefix = "claims-" + Lookup.Token.Host.value() + '-' +
                             std::to_string(Lookup.Token.Incarnation.value()) +
                             '-';
  for (const auto &[Segment, Claims] : Journal)
    for (const TransferredClaim &Claim : Claims)
      if (PlatformUp && Segment.rfind(Prefix, 0) == 0 &&
          Claim.Epoch == Lookup.Token.Epoch && Claim.Key == Lookup.Key)
        Found = Claim.Reply;
  schedule(NetworkDelay,
           [this, Name, Incarnation = Hosts.at(Name).Record.Incarnation,
            Id = Lookup.Id, Found] {
             deliver(Name, Incarnation, [this, Id, Found](Node &Core) {
               Core.onJournalRead(Now, Id, Found);
             });
           });
}

void NodeFleet::callServer(const std::string &Name, const ServerCall &Call) {
  const IncarnationId Incarnation = Hosts.at(Name).Record.Incarnation;
  const CallId Id = Call.Id;
  Hosts.at(Name).OpenCalls[Id] = 0;
  schedule(ServerDelay, [this, Name, Incarnation, Id, Call] {
    FakeServer &Server = Servers.at(Call.Server.Name.value());
    ++Server.Calls;
    if (Server.Mode == "draining") {
      Answer Refusal{
          503,
          {{"Backend-Outcome", "not-run"}, {"Backend-State", "draining"}},
          ""};
      answerCall(Name, Incarnation, Id,
                 {CallEnd::Answered,
                  std::make_shared<const Answer>(std::move(Refusal))});
      return;
    }
    if (Server.Mode == "silent")
      return;
    if (Server.Mode == "error") {
      Executions.push_back({Call.Server.Name.value(), Call.Request->Target,
                            Call.Request->Key.value_or(""), Now});
      answerCall(Name, Incarnation, Id,
                 {CallEnd::Answered,
                  std::make_shared<const Answer>(Answer{500, {}, "failing"})});
      return;
    }
    ++Server.Running;
    const CallerRequest &Request = *Call.Request;
    Executions.push_back({Call.Server.Name.value(), Request.Target,
                          Request.Key.value_or(""), Now});
    const bool Breaks = Server.Mode == "break" ||
                        Request.Body.bytes().find("CRASH") != std::string::npos;
    schedule(Server.ServiceTime(Request),
             [this, Name, Incarnation, Id, Call, Breaks] {
               FakeServer &CalledServer = Servers.at(Call.Server.Name.value());
               --CalledServer.Running;
               if (Breaks) {
                 answerCall(Name, Incarnation, Id, {CallEnd::Broken, nullptr});
                 return;
               }
               Answer Reply{200,
                            {},
                            fmt::format("{} {}", Call.Request->Target,
                                        Call.Request->Body.bytes())};
               answerCall(Name, Incarnation, Id,
                          {CallEnd::Answered,
                           std::make_shared<const Answer>(std::move(Reply))});
             });
  });
  schedule(Call.Timeout, [this, Name, Incarnation, Id] {
    answerCall(Name, Incarnation, Id, {CallEnd::TimedOut, nullptr});
  });
}

void NodeFleet::answerCall(const std::string &Name, IncarnationId Incarnation,
                           CallId Id, const CallResult &Result) {
  schedule(ServerDelay, [this, Name, Incarnation, Id, Result] {
    Host &To = Hosts.at(Name);
    if (!To.Alive || To.Record.Incarnation != Incarnation ||
        To.OpenCalls.erase(Id) == 0)
      return;
    deliver(Name, Incarnation, [this, Id, Result](Node &Core) {
      Core.onCallResult(Now, Id, Result);
    });
  });
}

std::size_t NodeFleet::send(const std::string &Name,
                            const TestRequest &Request) {
  CallerRequest Prepared;
  Prepared.Method = Request.Method;
  Prepared.Target = Request.Target;
  Prepared.Body = Request.Body;
  if (!Request.Key.empty())
    Prepared.Key = Request.Key;
  if (!Request.Token.empty())
    Prepared.Token = Request.Token;
  Prepared.TraceId = fmt::format("{:032x}", Sent.size() + 1);
  const std::size_t Index = Sent.size();
  Sent.push_back({Name, Now, std::nullopt, nullptr});
  Host &To = Hosts.at(Name);
  if (!To.Alive)
    return Index;
  const RequestId Id(++LastRequest);
  To.OpenRequests[Id] = Index;
  const auto Shared =
      std::make_shared<const CallerRequest>(std::move(Prepared));
  deliver(Name, To.Record.Incarnation, [this, Id, Shared](Node &Core) {
    Core.onCallerRequest(Now, Id, Shared);
  });
  return Index;
}

std::string NodeFleet::outcome(std::size_t Index) const {
  const SentRequest &Request = Sent[Index];
  if (!Request.Reply)
    return "none";
  const auto Refused = outcomeOf(*Request.Reply);
  return Refused ? toString(*Refused) : "answered";
}

std::string NodeFleet::token(const std::string &Name) const {
  for (const EntryHost &Listed : Hosts.at(Name).Core->entries(Now).Hosts)
    if (Listed.Host.value() == Name)
      return Listed.Token;
  return {};
}

std::size_t NodeFleet::executionsOf(const std::string &Key) const {
  return static_cast<std::size_t>(std::count_if(
      Executions.begin(), Executions.end(),
      [&Key](const Execution &Entry) { return Entry.Key == Key; }));
}

} // namespace mimosacart
