#include "direct/fair_share.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace mimosacart {

namespace {

/// A host that gets a request of a workspace every few seconds still tells it
/// from one that sends many.
constexpr Duration UseHalfLife = std::chrono::seconds(5);
/// Number of half-lives after which all uses are rescaled, far below the
/// greatest exponent of a double.
constexpr double MaxExponent = 64;
/// Uses kept, about 1 MB.
constexpr std::size_t MaxAccounts = 10'000;
/// Part of the accounts that is dropped at once when there are too many.
constexpr std::size_t EvictedPart = 8;
/// Waiting requests that are asked whether they can use a slot.
constexpr std::size_t MaxAsked = 8;
/// Least time of waiting requests from which the pace is estimated.
constexpr Duration MinShortTime = std::chrono::milliseconds(500);
/// After this time earlier sends count half.
constexpr Duration MaxShortTime = std::chrono::seconds(2);

} // namespace

struct FairShare::Rank {
  unsigned Priority;
  double Use;
  Instant Arrived;
  RequestId Id;

  friend bool operator<(const Rank &Left, const Rank &Right) {
    return std::tie(Left.Priority, Left.Use, Left.Arrived, Left.Id) <
           std::tie(Right.Priority, Right.Use, Right.Arrived, Right.Id);
  }
};

/// Requests without a key share one account.
std::string FairShare::workspaceOf(const FlowRequest &Request) {
  return Request.Workspace ? Request.Workspace->Name : std::string();
}

FairShare::Waiter FairShare::makeWaiter(const FlowRequest &Request) {
  return {Request.Priority, Request.Arrived, workspaceOf(Request)};
}

FairShare::Rank FairShare::rankOf(const Service &State, RequestId Id,
                                  const Waiter &Entry) {
  const auto Found = State.Accounts.find(Entry.Workspace);
  const double Use = Found == State.Accounts.end()
                         ? 0
                         : Found->second.Use / Found->second.Weight;
  return {Entry.Priority, Use, Entry.Arrived, Id};
}

FairShare::Account &FairShare::findAccount(Service &State,
                                           const FlowRequest &Request) {
  const std::string Name = workspaceOf(Request);
  if (AccountCount >= MaxAccounts && !State.Accounts.contains(Name))
    evict();
  const auto [Found, Added] = State.Accounts.try_emplace(Name);
  Account &Result = Found->second;
  if (Added) {
    ++AccountCount;
    State.TotalWeight += Result.Weight;
  }
  const bool HasRate = Request.Workspace && Request.Workspace->Quota &&
                       Request.Workspace->Quota->RequestsPerSecond > 0;
  const double Weight =
      HasRate ? Request.Workspace->Quota->RequestsPerSecond : 1;
  State.TotalWeight += Weight - Result.Weight;
  Result.Weight = Weight;
  return Result;
}

/// Drops the least used accounts that no waiting request needs.
void FairShare::evict() {
  std::vector<double> Uses;
  for (const auto &[Name, State] : Services)
    for (const auto &[Workspace, Entry] : State.Accounts)
      Uses.push_back(Entry.Use);
  const auto Last =
      Uses.begin() + static_cast<std::ptrdiff_t>(Uses.size() / EvictedPart);
  std::nth_element(Uses.begin(), Last, Uses.end());
  for (auto &[Name, State] : Services)
    std::erase_if(State.Accounts, [&, &Service = State](const auto &Entry) {
      if (Entry.second.Waiting > 0 || Entry.second.Use > *Last)
        return false;
      Service.TotalUse -= Entry.second.Use;
      Service.TotalWeight -= Entry.second.Weight;
      --AccountCount;
      return true;
    });
}

double FairShare::unit(Instant Now) {
  const double Exponent = toSeconds(Now - UnitTime) / toSeconds(UseHalfLife);
  if (Exponent <= MaxExponent)
    return std::exp2(Exponent);
  for (auto &[Name, State] : Services) {
    State.TotalUse = 0;
    for (auto &[Workspace, Entry] : State.Accounts) {
      Entry.Use *= std::exp2(-Exponent);
      State.TotalUse += Entry.Use;
    }
  }
  UnitTime = Now;
  return 1;
}

void FairShare::recordSend(Instant Now, const FlowRequest &Request) {
  const double Unit = unit(Now);
  Service &State = Services[Request.Service.Name];
  findAccount(State, Request).Use += Unit;
  State.TotalUse += Unit;
  if (State.Waiting.empty())
    return;
  if (Now - State.ShortSince > MaxShortTime) {
    State.ShortSince += (Now - State.ShortSince) / 2;
    State.SentWhileShort /= 2;
  }
  ++State.SentWhileShort;
}

void FairShare::addWaiting(Instant Now, const FlowRequest &Request) {
  Service &State = Services[Request.Service.Name];
  if (State.Waiting.contains(Request.Id))
    return;
  if (State.Waiting.empty()) {
    State.ShortSince = Now;
    State.SentWhileShort = 0;
  }
  ++findAccount(State, Request).Waiting;
  State.Waiting.emplace(Request.Id, makeWaiter(Request));
}

void FairShare::removeWaiting(Instant /*Now*/, const FlowRequest &Request) {
  const auto Found = Services.find(Request.Service.Name);
  if (Found == Services.end() || Found->second.Waiting.erase(Request.Id) == 0)
    return;
  --Found->second.Accounts.at(workspaceOf(Request)).Waiting;
}

const FairShare::Service *
FairShare::findService(const FlowRequest &Request) const {
  const auto Found = Services.find(Request.Service.Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

bool FairShare::hasWaiting(const ServiceName &Name) const {
  const auto Found = Services.find(Name);
  return Found != Services.end() && !Found->second.Waiting.empty();
}

std::optional<RequestId>
FairShare::findBefore(const FlowRequest &Request,
                      const std::function<bool(RequestId)> &CanUse) const {
  const Service *State = findService(Request);
  if (State == nullptr || State->Waiting.empty())
    return std::nullopt;
  const Rank Own = rankOf(*State, Request.Id, makeWaiter(Request));
  std::vector<Rank> Before;
  for (const auto &[Id, Entry] : State->Waiting) {
    const Rank Other = rankOf(*State, Id, Entry);
    if (Other < Own)
      Before.push_back(Other);
  }
  const auto Last = Before.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(MaxAsked, Before.size()));
  std::partial_sort(Before.begin(), Last, Before.end());
  const auto Found = std::find_if(Before.begin(), Last, [&](const Rank &Other) {
    return CanUse(Other.Id);
  });
  return Found == Last ? std::nullopt : std::optional(Found->Id);
}

Duration FairShare::expectedWait(Instant Now,
                                 const FlowRequest &Request) const {
  const Service *State = findService(Request);
  if (State == nullptr || State->Waiting.empty() ||
      Now - State->ShortSince < MinShortTime)
    return Duration::zero();
  const Rank Own = rankOf(*State, Request.Id, makeWaiter(Request));
  const auto Before = std::count_if(
      State->Waiting.begin(), State->Waiting.end(), [&](const auto &Entry) {
        return rankOf(*State, Entry.first, Entry.second) < Own;
      });
  if (Before == 0)
    return Duration::zero();
  if (State->SentWhileShort < 1)
    return Duration::max();
  return scaled(Now - State->ShortSince,
                static_cast<double>(Before) / State->SentWhileShort);
}

double FairShare::excessUse(const FlowRequest &Request) const {
  const Service *State = findService(Request);
  if (State == nullptr || State->TotalUse <= 0)
    return 1;
  const auto Found = State->Accounts.find(workspaceOf(Request));
  if (Found == State->Accounts.end())
    return 1;
  const double Share =
      State->TotalUse * Found->second.Weight / State->TotalWeight;
  return std::max(1.0, Found->second.Use / Share);
}

} // namespace mimosacart
