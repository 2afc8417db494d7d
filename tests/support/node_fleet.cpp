#include "tests/support/node_fleet.h"

#include <algorithm>
#include <fmt/format.h>

namespace mimosacart {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(5);
constexpr Duration NetworkDelay = std::chrono::milliseconds(1);
constexpr Duration ServerDelay = std::chrono::microseconds(200);
constexpr Duration ServiceTime = std::chrono::milliseconds(10);
constexpr Duration PlatformInterval = std::chrono::seconds(1);
constexpr Instant Begin{std::chrono::hours(1)};

const std::vector<std::string> &dataCentres() {
  static const std::vector<std::string> Names = {"dc-a", "dc-b", "dc-c"};
  return Names;
}

} // namespace

Configuration makeTestConfiguration(unsigned Count, unsigned Slots) {
  Service Only;
  Only.Name = ServiceName("records");
  for (unsigned Index = 0; Index < Count; ++Index)
    Only.Servers.push_back({ServerName(fmt::format("server-{}", Index + 1)),
                            fmt::format("10.0.1.{}:80", Index + 1),
                            dataCentres()[Index % dataCentres().size()], Slots,
                            100});
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
  Only.Kinds = {Read, Book};
  return {{Only}};
}

NodeFleet::NodeFleet(Configuration Given, std::uint64_t Seed)
    : Content(std::move(Given)), Random(Seed), Now(Begin) {
  Network = [](const std::string &, const std::string &, const PeerMessage &) {
    return Delivery{{NetworkDelay}};
  };
  applyToPlatform(Content);
}

void NodeFleet::applyToPlatform(Configuration Next) {
  Content = std::move(Next);
  VersionedConfiguration Added;
  Added.Number = Generation(Accepted.size() + 1);
  Added.Digest = fmt::format("digest-{}", Accepted.size() + 1);
  Added.Bytes = Added.Digest;
  Added.Content = Content;
  Accepted.push_back(
      std::make_shared<const VersionedConfiguration>(std::move(Added)));
  for (const Service &Subject : Content.Services)
    for (const BackendServer &Each : Subject.Servers)
      if (!Servers.contains(Each.Name.value()))
        Servers[Each.Name.value()] = {
            Each, [](const CallerRequest &) { return ServiceTime; }, "", 0, 0};
}

void NodeFleet::applyEverywhere(Configuration Next) {
  applyToPlatform(std::move(Next));
  for (auto &[Name, Each] : Hosts)
    if (Each.Alive) {
      Each.Core->onConfiguration(Now, Accepted.back());
      carryOut(Name);
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

void NodeFleet::startHost(Host &Started) {
  Started.Record.Incarnation = IncarnationId(++LastIncarnation);
  Started.Alive = true;
  Started.Frozen = false;
  Started.Held.clear();
  Started.OpenCalls.clear();
  Started.OpenRequests.clear();
  NodeSettings Settings;
  Settings.Self = Started.Record;
  Settings.RandomSeed = Random();
  // Every host that a test may add is in the settings of the others.
  for (const char *Suffix : {"a", "b", "c", "d", "e", "f"})
    Settings.SeedAddresses.push_back(fmt::format("peer:host-{}", Suffix));
  Started.Core = std::make_unique<Node>(Now, std::move(Settings));
  const std::string Name = Started.Record.Host.value();
  const IncarnationId Incarnation = Started.Record.Incarnation;
  tickLater(Name, Incarnation, Duration::zero());
  pollLater(Name, Incarnation, Duration::zero());
}

void NodeFleet::tickLater(const std::string &Name, IncarnationId Incarnation,
                          Duration Delay) {
  schedule(Delay, [this, Name, Incarnation] {
    Host &Each = Hosts.at(Name);
    if (!Each.Alive || Each.Record.Incarnation != Incarnation)
      return;
    if (!Each.Frozen) {
      Each.Core->onTick(Now);
      carryOut(Name);
    }
    tickLater(Name, Incarnation, TickInterval);
  });
}

void NodeFleet::pollLater(const std::string &Name, IncarnationId Incarnation,
                          Duration Delay) {
  schedule(Delay, [this, Name, Incarnation] {
    Host &Each = Hosts.at(Name);
    if (!Each.Alive || Each.Record.Incarnation != Incarnation)
      return;
    if (!Each.Frozen)
      pollPlatform(Name);
    pollLater(Name, Incarnation, PlatformInterval);
  });
}

void NodeFleet::pollPlatform(const std::string &Name) {
  if (!PlatformUp)
    return;
  const ConfigurationPtr Latest = Accepted.back();
  Hosts.at(Name).Core->onHeadSeen(Now, {Latest->Number, Latest->Digest});
  carryOut(Name);
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

/// Events for a frozen host wait in its sockets; those for a dead life of it
/// are lost.
void NodeFleet::deliver(const std::string &To, IncarnationId Incarnation,
                        std::function<void(Node &)> Event) {
  Host &Target = Hosts.at(To);
  if (!Target.Alive || Target.Record.Incarnation != Incarnation)
    return;
  if (Target.Frozen) {
    Target.Held.push_back(std::move(Event));
    return;
  }
  Event(*Target.Core);
  carryOut(To);
}

void NodeFleet::kill(const std::string &Name) {
  Host &Killed = Hosts.at(Name);
  Killed.Alive = false;
  Killed.Held.clear();
}

void NodeFleet::restart(const std::string &Name) { startHost(Hosts.at(Name)); }

void NodeFleet::freeze(const std::string &Name) {
  Hosts.at(Name).Frozen = true;
}

void NodeFleet::thaw(const std::string &Name) {
  Host &Woken = Hosts.at(Name);
  Woken.Frozen = false;
  if (!Woken.Alive)
    return;
  std::deque<std::function<void(Node &)>> Waiting;
  Waiting.swap(Woken.Held);
  for (const auto &Event : Waiting) {
    Event(*Woken.Core);
    carryOut(Name);
  }
}

void NodeFleet::stop(const std::string &Name) {
  Hosts.at(Name).Core->onStop(Now);
  carryOut(Name);
}

bool NodeFleet::isRunning(const std::string &Name) const {
  return Hosts.at(Name).Alive;
}

std::string NodeFleet::hostAt(const std::string &Address) const {
  for (const auto &[Name, Each] : Hosts)
    if (Each.Record.PeerAddress == Address)
      return Name;
  return {};
}

void NodeFleet::carryOut(const std::string &Name) {
  Host &Acting = Hosts.at(Name);
  if (!Acting.Alive)
    return;
  for (const Action &Next : Acting.Core->takeActions())
    carryOut(Name, Next);
}

void NodeFleet::carryOut(const std::string &Name, const Action &Next) {
  Host &Acting = Hosts.at(Name);
  if (const auto *Call = std::get_if<CallServer>(&Next)) {
    callServer(Name, Call->Call);
    return;
  }
  if (const auto *Cancel = std::get_if<CancelCall>(&Next)) {
    Acting.OpenCalls.erase(Cancel->Id);
    return;
  }
  if (const auto *Reply = std::get_if<ReplyToCaller>(&Next)) {
    const auto Found = Acting.OpenRequests.find(Reply->Reply.Id);
    if (Found == Acting.OpenRequests.end())
      return;
    Sent[Found->second].Reply = Reply->Reply.Reply;
    Sent[Found->second].AnsweredAt = Now;
    Acting.OpenRequests.erase(Found);
    return;
  }
  if (const auto *Message = std::get_if<SendToPeer>(&Next)) {
    const std::string To = hostAt(Message->Address);
    if (To.empty())
      return;
    const Delivery Plan = Network(Name, To, Message->Message);
    for (const Duration Delay : Plan.Delays)
      schedule(Delay, [this, To, Incarnation = Hosts.at(To).Record.Incarnation,
                       Copy = Message->Message] {
        deliver(To, Incarnation, [this, Copy](Node &Core) {
          // The fake parses bytes as the layer round the core would.
          const auto *Bytes = std::get_if<ConfigurationBytes>(&Copy.Body);
          if (Bytes != nullptr)
            for (const ConfigurationPtr &Known : Accepted)
              if (Known->Digest == Bytes->ConfigId.Digest)
                Core.onConfiguration(Now, Known);
          Core.onPeerMessage(Now, Copy);
        });
      });
    return;
  }
  if (const auto *Fetch = std::get_if<FetchConfiguration>(&Next)) {
    if (!PlatformUp)
      return;
    for (const ConfigurationPtr &Known : Accepted)
      if (Known->Digest == Fetch->ConfigId.Digest)
        schedule(NetworkDelay,
                 [this, Name, Incarnation = Acting.Record.Incarnation, Known] {
                   deliver(Name, Incarnation, [this, Known](Node &Core) {
                     Core.onConfiguration(Now, Known);
                   });
                 });
    return;
  }
  if (const auto *Write = std::get_if<WriteJournal>(&Next)) {
    writeJournal(Name, Write->Segment);
    return;
  }
  if (const auto *Read = std::get_if<ReadJournal>(&Next)) {
    readJournal(Name, *Read);
    return;
  }
  if (std::holds_alternative<Stopped>(Next))
    Acting.Alive = false;
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
                            const ReadJournal &Wanted) {
  AnswerPtr Found;
  const std::string Prefix = "claims-" + Wanted.Token.Host.value() + '-' +
                             std::to_string(Wanted.Token.Incarnation.value()) +
                             '-';
  for (const auto &[Segment, Claims] : Journal)
    for (const TransferredClaim &Claim : Claims)
      if (PlatformUp && Segment.rfind(Prefix, 0) == 0 &&
          Claim.Epoch == Wanted.Token.Epoch && Claim.Key == Wanted.Key)
        Found = Claim.Reply;
  schedule(NetworkDelay,
           [this, Name, Incarnation = Hosts.at(Name).Record.Incarnation,
            Id = Wanted.Id, Found] {
             deliver(Name, Incarnation, [this, Id, Found](Node &Core) {
               Core.onJournalRead(Now, Id, Found);
             });
           });
}

void NodeFleet::callServer(const std::string &Caller, const ServerCall &Call) {
  const IncarnationId Incarnation = Hosts.at(Caller).Record.Incarnation;
  const CallId Id = Call.Id;
  Hosts.at(Caller).OpenCalls[Id] = 0;
  schedule(ServerDelay, [this, Caller, Incarnation, Id, Call] {
    FakeServer &At = Servers.at(Call.Server.Name.value());
    ++At.Calls;
    if (At.Mode == "draining") {
      Answer Refusal{
          503,
          {{"Backend-Outcome", "not-run"}, {"Backend-State", "draining"}},
          ""};
      answerCall(Caller, Incarnation, Id,
                 {CallEnd::Answered,
                  std::make_shared<const Answer>(std::move(Refusal))});
      return;
    }
    if (At.Mode == "silent")
      return;
    if (At.Mode == "error") {
      Executed.push_back({Call.Server.Name.value(), Call.Request->Target,
                          Call.Request->Key.value_or(""), Now});
      answerCall(Caller, Incarnation, Id,
                 {CallEnd::Answered,
                  std::make_shared<const Answer>(Answer{500, {}, "failing"})});
      return;
    }
    ++At.Running;
    const CallerRequest &Request = *Call.Request;
    Executed.push_back({Call.Server.Name.value(), Request.Target,
                        Request.Key.value_or(""), Now});
    const bool Breaks =
        At.Mode == "break" || Request.Body.find("CRASH") != std::string::npos;
    schedule(
        At.ServiceTime(Request), [this, Caller, Incarnation, Id, Call, Breaks] {
          FakeServer &Done = Servers.at(Call.Server.Name.value());
          --Done.Running;
          if (Breaks) {
            answerCall(Caller, Incarnation, Id, {CallEnd::Broken, nullptr});
            return;
          }
          Answer Reply{
              200,
              {},
              fmt::format("{} {}", Call.Request->Target, Call.Request->Body)};
          answerCall(Caller, Incarnation, Id,
                     {CallEnd::Answered,
                      std::make_shared<const Answer>(std::move(Reply))});
        });
  });
  schedule(Call.Timeout, [this, Caller, Incarnation, Id] {
    answerCall(Caller, Incarnation, Id, {CallEnd::TimedOut, nullptr});
  });
}

void NodeFleet::answerCall(const std::string &Caller, IncarnationId Incarnation,
                           CallId Id, const CallResult &Result) {
  schedule(ServerDelay, [this, Caller, Incarnation, Id, Result] {
    Host &To = Hosts.at(Caller);
    if (!To.Alive || To.Record.Incarnation != Incarnation ||
        To.OpenCalls.erase(Id) == 0)
      return;
    deliver(Caller, Incarnation, [this, Id, Result](Node &Core) {
      Core.onCallResult(Now, Id, Result);
    });
  });
}

std::size_t NodeFleet::send(const std::string &Name,
                            const TestRequest &Request) {
  CallerRequest Built;
  Built.Method = Request.Method;
  Built.Target = Request.Target;
  Built.Body = Request.Body;
  if (!Request.Key.empty())
    Built.Key = Request.Key;
  if (!Request.Token.empty())
    Built.Token = Request.Token;
  Built.TraceId = fmt::format("{:032x}", Sent.size() + 1);
  const std::size_t Index = Sent.size();
  Sent.push_back({Name, Now, std::nullopt, nullptr});
  Host &To = Hosts.at(Name);
  if (!To.Alive)
    return Index;
  const RequestId Id(++LastRequest);
  To.OpenRequests[Id] = Index;
  const auto Shared = std::make_shared<const CallerRequest>(std::move(Built));
  deliver(Name, To.Record.Incarnation, [this, Id, Shared](Node &Core) {
    Core.onCallerRequest(Now, Id, Shared);
  });
  return Index;
}

std::string NodeFleet::outcome(std::size_t Index) const {
  const SentRequest &Of = Sent[Index];
  if (!Of.Reply)
    return "none";
  const auto Refused = outcomeOf(*Of.Reply);
  return Refused ? toString(*Refused) : "answered";
}

std::string NodeFleet::token(const std::string &Name) const {
  for (const EntryHost &Each : Hosts.at(Name).Core->entries(Now).Hosts)
    if (Each.Host.value() == Name)
      return Each.Token;
  return {};
}

std::size_t NodeFleet::executionsOf(const std::string &Key) const {
  return static_cast<std::size_t>(
      std::count_if(Executed.begin(), Executed.end(),
                    [&Key](const Execution &E) { return E.Key == Key; }));
}

} // namespace mimosacart
