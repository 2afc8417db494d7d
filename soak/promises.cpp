#include "soak/promises.h"

#include <fmt/format.h>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

/// How much later than the route's timeout an answer may arrive, since the
/// machine that runs the soak may be busy with other processes.
constexpr auto AnswerDelayTolerance = 600ms;
/// How long a disturbance may still affect requests after its end.
constexpr auto DisturbanceEffectTime = 3s;
/// Minimum share of requests that each host serves after recovery.
constexpr double MinServedShare = 0.95;

/// Whether the status guarantees that the request was not executed.
bool guaranteesNotExecuted(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

ObservedRequest &PromiseChecker::addRequest(ObservedRequest Request) {
  const std::string Id = Request.Id;
  return Requests[Id] = std::move(Request);
}

void PromiseChecker::onExecutionStarted(const ServerEvent &Event) {
  const auto Request = Requests.find(Event.RequestId);
  if (Request == Requests.end()) {
    Violations.push_back("UNASKED: " + Event.RequestId + " at " + Event.Server);
    return;
  }
  ++Request->second.ExecutionCount;
  Request->second.Services.insert(Event.Service);
  const auto Now = std::chrono::steady_clock::now();
  const auto ForbiddenFrom = ForbiddenServers.find(Event.Server);
  if (ForbiddenFrom != ForbiddenServers.end() && Now > ForbiddenFrom->second &&
      !wasDisturbed(Request->second.Host,
                    ForbiddenFrom->second - 2s - DisturbanceEffectTime, Now,
                    false))
    Violations.push_back(fmt::format("DRAIN: {} reached {} that had left",
                                     Event.RequestId, Event.Server));
}

void PromiseChecker::onArrived(const ServerEvent &Event) {
  const auto Request = Requests.find(Event.RequestId);
  if (Request != Requests.end())
    Wishes.onArrival(std::chrono::steady_clock::now(), Request->second.Host,
                     Event.Server, Request->second.SentAt);
}

void PromiseChecker::onAnswerSent(const ServerEvent &Event) {
  const auto Request = Requests.find(Event.RequestId);
  if (Request == Requests.end())
    return;
  const std::size_t Host = Request->second.Host;
  if (Event.Leaving)
    Wishes.onLeavingAnswer(Host, Event.Server);
  if (Event.Pause.count() > 0)
    Wishes.onPauseAnswer(Host, Event.Server, Event.Pause);
  else
    Request->second.AnsweredBy.insert(Event.Server);
}

void PromiseChecker::onRequestEnded(const std::string &Id, unsigned Status,
                                    const std::string &Body,
                                    bool ConnectFailed) {
  ObservedRequest &Request = Requests.at(Id);
  Request.EndedAt = std::chrono::steady_clock::now();
  Request.Status = Status;
  Request.Body = Body;
  Request.ConnectFailed = ConnectFailed;
}

void PromiseChecker::allowService(bool Idempotent, const std::string &Service) {
  AllowedServices[Idempotent].insert(Service);
}

void PromiseChecker::forbidServer(const std::string &Server, SoakTime From) {
  ForbiddenServers.emplace(Server, From);
}

std::size_t PromiseChecker::servedCount() const {
  return static_cast<std::size_t>(
      std::count_if(Requests.begin(), Requests.end(), [](const auto &Entry) {
        return isSuccess(Entry.second.Status);
      }));
}

bool PromiseChecker::wasDisturbed(std::size_t Host, SoakTime From, SoakTime To,
                                  bool IncludePlanned) const {
  return std::any_of(
      Disturbances.begin(), Disturbances.end(), [&](const Disturbance &Entry) {
        return Entry.affects(Host) && (IncludePlanned || !Entry.isPlanned()) &&
               Entry.StartsAt <= To &&
               Entry.EndsAt + DisturbanceEffectTime >= From;
      });
}

bool PromiseChecker::wasInterrupted(std::size_t Host, SoakTime At) const {
  return std::any_of(Disturbances.begin(), Disturbances.end(),
                     [Host, At](const Disturbance &Entry) {
                       return Entry.affects(Host) && Entry.isInterruption() &&
                              Entry.StartsAt <= At &&
                              Entry.EndsAt + DisturbanceEffectTime >= At;
                     });
}

std::string PromiseChecker::checkRequest(const ObservedRequest &Request) const {
  if (!Request.Idempotent && Request.ExecutionCount > 1)
    return fmt::format("TWICE: {} ran {} times", Request.Id,
                       Request.ExecutionCount);
  if (!Request.Idempotent && guaranteesNotExecuted(Request.Status) &&
      Request.ExecutionCount > 0)
    return fmt::format("REFUSED: {} got {} and ran", Request.Id,
                       Request.Status);
  if (isSuccess(Request.Status)) {
    const bool IsOwnAnswer =
        std::any_of(Request.AnsweredBy.begin(), Request.AnsweredBy.end(),
                    [&](const std::string &Server) {
                      return Request.Body == Request.Id + " by " + Server;
                    });
    if (!IsOwnAnswer)
      return fmt::format("MIXED: {} got \"{}\"", Request.Id, Request.Body);
  }
  for (const std::string &Service : Request.Services)
    if (!AllowedServices.at(Request.Idempotent).contains(Service))
      return fmt::format("ROUTE: {} ran at {}", Request.Id, Service);
  if (Request.Status == 404)
    return fmt::format("DENIED: {} got 404", Request.Id);
  const SoakTime AnswerDueAt =
      Request.SentAt + RouteTimeout + AnswerDelayTolerance;
  const bool IsLate = !Request.EndedAt || *Request.EndedAt > AnswerDueAt;
  if (IsLate && !wasDisturbed(Request.Host, Request.SentAt, AnswerDueAt, true))
    return fmt::format("CONFIG: {} was not answered in time", Request.Id);
  return checkPlannedStop(Request);
}

/// Describes the violation if the connection of a request that a server had
/// started to execute was closed without an answer. A planned stop must not
/// cause that; an unplanned disturbance of the entry host may.
std::string
PromiseChecker::checkPlannedStop(const ObservedRequest &Request) const {
  const bool LostAnswer = Request.EndedAt && Request.Status == 0 &&
                          !Request.ConnectFailed && Request.ExecutionCount > 0;
  if (!LostAnswer)
    return "";
  if (wasDisturbed(Request.Host, Request.SentAt - DisturbanceEffectTime,
                   *Request.EndedAt, false))
    return "";
  return fmt::format("LOST: {} was cut without a disturbance", Request.Id);
}

std::vector<std::string>
PromiseChecker::checkRecovery(SoakTime RecoveredAt, std::size_t HostCount,
                              const std::string &OnceService) const {
  std::vector<std::string> Result;
  std::map<std::size_t, std::pair<unsigned, unsigned>> ByHost;
  for (const auto &[Id, Request] : Requests) {
    if (Request.SentAt < RecoveredAt)
      continue;
    auto &[SentCount, ServedCount] = ByHost[Request.Host];
    ++SentCount;
    ServedCount += isSuccess(Request.Status) ? 1 : 0;
    if (!Request.Idempotent && !Request.Services.empty() &&
        !Request.Services.contains(OnceService))
      Result.push_back(fmt::format("CONFIG: {} ran at {} after the change", Id,
                                   *Request.Services.begin()));
  }
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    const auto [SentCount, ServedCount] = ByHost[Host];
    if (SentCount == 0 || ServedCount < MinServedShare * SentCount)
      Result.push_back(fmt::format("RECOVER: host {} served {} of {}", Host,
                                   ServedCount, SentCount));
  }
  return Result;
}

std::vector<std::string>
PromiseChecker::findViolations(SoakTime RecoveredAt, std::size_t HostCount,
                               const std::string &OnceService) const {
  std::vector<std::string> Result = Violations;
  Result.insert(Result.end(), Wishes.violations().begin(),
                Wishes.violations().end());
  for (const auto &[Id, Request] : Requests)
    if (const std::string Violation = checkRequest(Request); !Violation.empty())
      Result.push_back(Violation);
  for (const std::string &Violation :
       checkRecovery(RecoveredAt, HostCount, OnceService))
    Result.push_back(Violation);
  return Result;
}

} // namespace mimosacart
