#include "tests/direct/flow_simulation.h"

#include <algorithm>
#include <utility>

namespace mimosacart {

namespace {

constexpr Duration ProbeTime = std::chrono::milliseconds(6);

} // namespace

FlowSimulation::FlowSimulation(SimulatedServers Servers, FlowPolicy Policy)
    : Harness(Policy), Settings(Servers) {
  for (unsigned Index = 0; Index < Settings.Count; ++Index) {
    const std::string Name = "s" + std::to_string(Index);
    Harness.addServer(Name, Settings.Slots);
    this->Servers[Name];
  }
  changeSlowServers();
}

void FlowSimulation::changeSlowServers() {
  std::bernoulli_distribution IsSlow(Settings.SlowShare);
  for (auto &[Name, State] : Servers)
    State.Slow = IsSlow(Random);
  at(Harness.Now + Settings.ChangeInterval, [this] { changeSlowServers(); });
}

void FlowSimulation::addArrivals(double PerSecond, Duration From,
                                 Duration Until,
                                 const std::function<void()> &Start) {
  std::exponential_distribution<double> Pause(PerSecond);
  const Instant End = Harness.Now + Until;
  const auto Next = [&](Instant When) {
    return When + scaled(std::chrono::seconds(1), Pause(Random));
  };
  for (Instant When = Next(Harness.Now + From); When < End; When = Next(When))
    at(When, Start);
}

void FlowSimulation::run(Duration Span) {
  const Instant End = Harness.Now + Span;
  while (true) {
    takeProbes();
    takeCalls();
    const Instant NextTick = Harness.Flow.nextTick();
    const Instant NextEvent =
        Events.empty() ? Instant::max() : Events.begin()->first;
    const Instant Next = std::min(NextTick, NextEvent);
    if (Next > End)
      break;
    Harness.Now = std::max(Harness.Now, Next);
    if (NextTick <= NextEvent) {
      Harness.Flow.tick(Harness.Now);
      continue;
    }
    const auto Event = std::move(Events.begin()->second);
    Events.erase(Events.begin());
    Event();
  }
  Harness.Now = End;
}

void FlowSimulation::takeCalls() {
  for (const DirectCall &Call : std::exchange(Harness.Calls, {})) {
    const std::string Name = Call.Server.Id.value();
    Server &State = Servers.at(Name);
    if (State.Running < Settings.Slots) {
      begin(Name, Call.Id);
    } else if (State.Waiting.size() < Settings.Queue) {
      State.Waiting.push_back(Call.Id);
    } else {
      at(Harness.Now + std::chrono::milliseconds(1), [this, Id = Call.Id] {
        Harness.Flow.onCallResult(Harness.Now, Id, {CallEnd::Broken, {}});
      });
    }
  }
}

void FlowSimulation::begin(const std::string &Name, CallId Id) {
  Server &State = Servers.at(Name);
  ++State.Running;
  double Factor = std::uniform_real_distribution<double>(0.85, 1.15)(Random);
  if (State.Slow)
    Factor *= Settings.SlowFactor;
  if (std::bernoulli_distribution(Settings.StragglerShare)(Random))
    Factor *= Settings.StragglerFactor;
  at(Harness.Now + scaled(Settings.Work, Factor),
     [this, Name, Id] { end(Name, Id); });
}

/// A server goes on with a call whose caller has cancelled it.
void FlowSimulation::end(const std::string &Name, CallId Id) {
  Server &State = Servers.at(Name);
  --State.Running;
  if (!State.Waiting.empty()) {
    const CallId Next = State.Waiting.front();
    State.Waiting.pop_front();
    begin(Name, Next);
  }
  ServerCallResult Result{CallEnd::Answered, {}};
  Result.Answer.Reply = std::make_shared<const Answer>(Answer{200, {}, Name});
  Result.Answer.Signed = true;
  Result.Answer.Load = load(State);
  Harness.Flow.onCallResult(Harness.Now, Id, Result);
}

ServerLoad FlowSimulation::load(const Server &State) const {
  constexpr unsigned Percent = 100;
  const double Slowness = State.Slow ? Settings.SlowFactor : 1;
  return {State.Running, static_cast<unsigned>(State.Waiting.size()),
          Settings.Slots, static_cast<unsigned>(Slowness * Percent)};
}

void FlowSimulation::takeProbes() {
  for (const DirectProbe &Probe : std::exchange(Harness.Probes, {}))
    at(Harness.Now + ProbeTime, [this, Probe] {
      const Server &State = Servers.at(Probe.Server.Id.value());
      Harness.Flow.onProbeResult(
          Harness.Now, Probe.Id,
          {true, true, Probe.Server.Id, load(State), {}});
    });
}

SimulatedLatencies FlowSimulation::latencies() const {
  std::vector<double> Times;
  for (const auto &[Id, Result] : Harness.Results)
    if (Result.Reply)
      Times.push_back(toMilliseconds(Result.Total));
  if (Times.empty())
    return {};
  std::sort(Times.begin(), Times.end());
  const auto Quantile = [&Times](double Share) {
    return Times[static_cast<std::size_t>(
        Share * static_cast<double>(Times.size() - 1))];
  };
  return {Quantile(0.5), Quantile(0.99), Quantile(0.999)};
}

} // namespace mimosacart
