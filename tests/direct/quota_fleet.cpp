#include "tests/direct/quota_fleet.h"

#include "core/hash.h"
#include "wire/peer_codec.h"

#include <algorithm>

namespace mimosacart {

using namespace std::chrono_literals;

QuotaFleetModel::QuotaFleetModel(std::size_t HostCount,
                                 WorkspaceQuota InitialQuota,
                                 std::uint64_t Seed)
    : Quota(InitialQuota), Random(Seed) {
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    Hosts.emplace_back("10.0." + std::to_string(Index / 250) + "." +
                       std::to_string(Index % 250) + ":7000");
  for (std::size_t Index = 0; Index < HostCount; ++Index) {
    start(Index);
    Hosts[Index].Sees.assign(HostCount, true);
  }
}

void QuotaFleetModel::start(std::size_t Index) {
  FleetQuotas::Hooks Hooks;
  Hooks.Send = [this, Index](const std::string &To, const PeerBody &Body) {
    send(Index, To, Body);
  };
  Hooks.Admitted = [this](RequestId) { Admissions.push_back(Now); };
  Hooks.Refused = [this](RequestId, Duration RetryAfter) {
    ++Refused;
    ShortestRetryAfter = std::min(ShortestRetryAfter, RetryAfter);
  };
  Hooks.Position = [this, Index](const std::string &Key) {
    FleetPosition Result;
    if (Now < Hosts[Index].KnowsAllAt)
      return Result;
    const auto Hash = [&Key](const Host &Of) {
      return stableHash(Of.Address, stableHash(Key));
    };
    Result.Overall = HostPosition{0, Hosts.size()};
    for (const Host &Other : Hosts)
      Result.Overall->Rank += Hash(Other) < Hash(Hosts[Index]) ? 1 : 0;
    return Result;
  };
  Hooks.Log = [](const char *, const FlowFields &) {};
  Host &Started = Hosts[Index];
  Started.Quotas = std::make_unique<FleetQuotas>(
      Now, QuotaLimits{}, Started.Address, Random(), std::move(Hooks));
  Started.KnowsAllAt = Now + 3s;
  Started.ViewChanged = true;
  at(Started.KnowsAllAt, [this, Index] { Hosts[Index].ViewChanged = true; });
  setQuota(Quota);
}

void QuotaFleetModel::setQuota(WorkspaceQuota NewQuota) {
  Quota = NewQuota;
  RouteConfiguration Configuration;
  Configuration.Workspaces.emplace();
  Configuration.Workspaces->push_back({"shop", {}, {}, Quota, {}});
  for (Host &Each : Hosts)
    if (Each.Quotas)
      Each.Quotas->setQuotas(Now, Configuration);
}

void QuotaFleetModel::at(Instant Time, std::function<void()> Run) {
  Events.push({Time, ++LastOrder, std::move(Run)});
}

Duration QuotaFleetModel::draw(int MinMs, int MaxMs) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<>(MinMs, MaxMs)(Random));
}

void QuotaFleetModel::send(std::size_t From, const std::string &To,
                           const PeerBody &Body) {
  ++Messages;
  const PeerMessage Message{HostName("host-00~00000000"), IncarnationId(1), 1,
                            Now, Body};
  // With the four bytes of the frame's length.
  Bytes += encode(Message).size() + 4;
  Hosts[From].Bytes += encode(Message).size() + 4;
  if (std::uniform_real_distribution<>()(Random) < Loss)
    return;
  const auto Found =
      std::find_if(Hosts.begin(), Hosts.end(),
                   [&To](const Host &Each) { return Each.Address == To; });
  const auto Index = static_cast<std::size_t>(Found - Hosts.begin());
  if (!IsCut || !IsCut(From, Index))
    at(Now + draw(1, 3),
       [this, From, Index, Body] { deliver(From, Index, Body); });
}

void QuotaFleetModel::deliver(std::size_t From, std::size_t To,
                              const PeerBody &Body) {
  Host &Receiver = Hosts[To];
  if (Receiver.Down)
    return;
  if (Now < Receiver.FrozenUntil) {
    at(Receiver.FrozenUntil,
       [this, From, To, Body] { deliver(From, To, Body); });
    return;
  }
  if (const auto *Request = std::get_if<QuotaRequest>(&Body))
    Receiver.Quotas->onRequest(Now, Hosts[From].Address, *Request);
  else
    Receiver.Quotas->onGrant(Now, Hosts[From].Address,
                             std::get<QuotaGrant>(Body));
}

bool QuotaFleetModel::isReachable(std::size_t Viewer,
                                  std::size_t Subject) const {
  const Host &Of = Hosts[Subject];
  return Viewer == Subject ||
         (!Of.Down && Now >= Of.FrozenUntil &&
          (!IsCut || (!IsCut(Viewer, Subject) && !IsCut(Subject, Viewer))));
}

void QuotaFleetModel::notice(std::size_t Subject, int MinMs, int MaxMs) {
  for (std::size_t Viewer = 0; Viewer < Hosts.size(); ++Viewer)
    at(Now + draw(MinMs, MaxMs), [this, Viewer, Subject] {
      Host &Of = Hosts[Viewer];
      const bool IsThere =
          isReachable(Viewer, Subject) && !Hosts[Subject].Leaving;
      Of.Sees.resize(Hosts.size());
      Of.ViewChanged |= Of.Sees[Subject] != IsThere;
      Of.Sees[Subject] = IsThere;
    });
}

void QuotaFleetModel::updateView(Host &Viewer) {
  QuotaFleet View;
  Viewer.Sees.resize(Hosts.size());
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    if (Viewer.Sees[Index])
      View.Serving.push_back(Hosts[Index].Address);
  std::sort(View.Serving.begin(), View.Serving.end());
  View.Reachable = View.Serving.size();
  View.Overall = Now < Viewer.KnowsAllAt ? 0 : Hosts.size();
  Viewer.Quotas->setFleet(Now, std::move(View));
}

void QuotaFleetModel::kill(std::size_t Index) {
  Hosts[Index].Down = true;
  notice(Index, 1500, 2500);
}

void QuotaFleetModel::freeze(std::size_t Index, Duration Length) {
  Hosts[Index].FrozenUntil = Now + Length;
  if (Length > 1500ms)
    notice(Index, 1500, 2500);
  at(Now + Length, [this, Index] { notice(Index, 100, 2500); });
}

void QuotaFleetModel::restartAll() {
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    start(Index);
}

void QuotaFleetModel::add() {
  const std::size_t Index = Hosts.size();
  Hosts.emplace_back("10.9.0." + std::to_string(Index) + ":7000");
  start(Index);
  Hosts[Index].Sees.assign(Index + 1, true);
  notice(Index, 100, 2500);
}

void QuotaFleetModel::leave(std::size_t Index) {
  Hosts[Index].Leaving = true;
  Hosts[Index].Sees[Index] = false;
  Hosts[Index].ViewChanged = true;
  notice(Index, 2, 20);
}

void QuotaFleetModel::cut(
    std::function<bool(std::size_t From, std::size_t To)> NewCut) {
  IsCut = std::move(NewCut);
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    IsCut ? notice(Index, 1500, 2500) : notice(Index, 100, 2500);
}

std::uint64_t QuotaFleetModel::takeMostBytes() {
  std::uint64_t Result = 0;
  for (Host &Each : Hosts)
    Result = std::max(Result, std::exchange(Each.Bytes, 0));
  return Result;
}

std::size_t QuotaFleetModel::lender() const {
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    if (Hosts[Index].Quotas->counters(Now).Lending > 0 && !Hosts[Index].Down &&
        !Hosts[Index].Leaving)
      return Index;
  return Hosts.size();
}

void QuotaFleetModel::request(std::size_t Index) {
  Host &At = Hosts[Index];
  if (At.Down || At.Leaving || Now < At.FrozenUntil)
    return;
  if (At.Quotas->tryAdmit(Now, "shop"))
    Admissions.push_back(Now);
  else
    At.Quotas->wait(Now, RequestId(++LastId), "shop", Now + 1s);
}

void QuotaFleetModel::step() {
  while (!Events.empty() && Events.top().At <= Now) {
    const auto Run = Events.top().Run;
    Events.pop();
    Run();
  }
  const bool ChecksViews = Now.time_since_epoch() % 100ms == 0ms;
  for (Host &Each : Hosts) {
    if (Each.Down || Now < Each.FrozenUntil)
      continue;
    if ((ChecksViews || Each.Leaving) && std::exchange(Each.ViewChanged, false))
      updateView(Each);
    if (ChecksViews || Each.Quotas->nextTick() <= Now)
      Each.Quotas->tick(Now);
  }
}

void QuotaFleetModel::run(Duration Length, double Rate,
                          const std::vector<double> &Weights) {
  std::vector<double> Parts = Weights;
  Parts.resize(Hosts.size(), Weights.empty() ? 1 : 0);
  std::discrete_distribution<std::size_t> PickHost(Parts.begin(), Parts.end());
  std::poisson_distribution<> PickCount(Rate / 1000);
  for (const Instant End = Now + Length; Now < End; Now += 1ms) {
    step();
    for (int Left = PickCount(Random); Left > 0; --Left)
      request(PickHost(Random));
  }
}

double QuotaFleetModel::excess(Instant From) const {
  const QuotaLimits Limits;
  const double Bound =
      (Quota.RequestsPerSecond * toSeconds(Limits.Window) + Quota.Burst) *
          (1 + Limits.Overrun) +
      Limits.Slack;
  double Most = 0;
  auto First = std::lower_bound(Admissions.begin(), Admissions.end(), From);
  for (auto Last = First; Last != Admissions.end(); ++Last) {
    while (*Last - *First >= Limits.Window)
      ++First;
    Most = std::max(Most, static_cast<double>(Last - First + 1));
  }
  return Most - Bound;
}

std::size_t QuotaFleetModel::admittedSince(Instant From) const {
  return static_cast<std::size_t>(
      Admissions.end() -
      std::lower_bound(Admissions.begin(), Admissions.end(), From));
}

} // namespace mimosacart
