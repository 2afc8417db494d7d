#include "soak/promises.h"

#include <fmt/format.h>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

/// An answer is late once the route's time is over by this much; the machine
/// that runs the soak has other work too.
constexpr auto LateAfter = 600ms;
/// Disturbances have effects for so long.
constexpr auto Aftermath = 3s;
/// Part of the requests that are served once all is sound again.
constexpr double CalmShare = 0.95;

bool isPromise(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

SeenRequest &Promises::add(SeenRequest Request) {
  const std::string Id = Request.Id;
  return Seen[Id] = std::move(Request);
}

void Promises::onRan(const ServerEvent &Event) {
  const auto Request = Seen.find(Event.RequestId);
  if (Request == Seen.end()) {
    Found.push_back("UNASKED: " + Event.RequestId + " at " + Event.Server);
    return;
  }
  ++Request->second.Runs;
  Request->second.Services.insert(Event.Service);
  const auto Now = std::chrono::steady_clock::now();
  const auto Limit = Forbidden.find(Event.Server);
  if (Limit != Forbidden.end() && Now > Limit->second &&
      !disturbed(Request->second.Host, Limit->second - 2s - Aftermath, Now,
                 false))
    Found.push_back(fmt::format("DRAIN: {} reached {} that had left",
                                Event.RequestId, Event.Server));
}

void Promises::onAnswered(const ServerEvent &Event) {
  const auto Request = Seen.find(Event.RequestId);
  if (Request != Seen.end())
    Request->second.AnsweredBy.insert(Event.Server);
}

void Promises::onEnded(const std::string &Id, unsigned Status,
                       const std::string &Body, bool Unread) {
  SeenRequest &Request = Seen.at(Id);
  Request.EndedAt = std::chrono::steady_clock::now();
  Request.Status = Status;
  Request.Body = Body;
  Request.Unread = Unread;
}

void Promises::allow(bool Idempotent, const std::string &Service) {
  Allowed[Idempotent].insert(Service);
}

void Promises::forbidServer(const std::string &Server, SoakTime From) {
  Forbidden.emplace(Server, From);
}

std::size_t Promises::served() const {
  return static_cast<std::size_t>(
      std::count_if(Seen.begin(), Seen.end(), [](const auto &Entry) {
        return isSuccess(Entry.second.Status);
      }));
}

bool Promises::disturbed(std::size_t Host, SoakTime From, SoakTime To,
                         bool PlannedToo) const {
  return std::any_of(Disturbances.begin(), Disturbances.end(),
                     [&](const Disturbance &Each) {
                       const bool Concerns = !Each.Host || *Each.Host == Host;
                       return Concerns && (PlannedToo || !Each.Planned) &&
                              Each.From <= To && Each.To + Aftermath >= From;
                     });
}

std::string Promises::judgeOne(const SeenRequest &Request) const {
  if (!Request.Idempotent && Request.Runs > 1)
    return fmt::format("TWICE: {} ran {} times", Request.Id, Request.Runs);
  if (!Request.Idempotent && isPromise(Request.Status) && Request.Runs > 0)
    return fmt::format("REFUSED: {} got {} and ran", Request.Id,
                       Request.Status);
  if (isSuccess(Request.Status)) {
    const bool Own =
        std::any_of(Request.AnsweredBy.begin(), Request.AnsweredBy.end(),
                    [&](const std::string &Server) {
                      return Request.Body == Request.Id + " by " + Server;
                    });
    if (!Own)
      return fmt::format("MIXED: {} got \"{}\"", Request.Id, Request.Body);
  }
  for (const std::string &Service : Request.Services)
    if (!Allowed.at(Request.Idempotent).contains(Service))
      return fmt::format("ROUTE: {} ran at {}", Request.Id, Service);
  if (Request.Status == 404)
    return fmt::format("DENIED: {} got 404", Request.Id);
  const SoakTime Due = Request.SentAt + RouteTimeout + LateAfter;
  const bool Late = !Request.EndedAt || *Request.EndedAt > Due;
  if (Late && !disturbed(Request.Host, Request.SentAt, Due, true))
    return fmt::format("CONFIG: {} was not answered in time", Request.Id);
  return judgePlannedStop(Request);
}

/// A planned stop with nothing else in the way cuts no request that was read.
std::string Promises::judgePlannedStop(const SeenRequest &Request) const {
  const bool Cut = Request.EndedAt && Request.Status == 0 && !Request.Unread &&
                   Request.Runs > 0;
  if (!Cut)
    return "";
  if (disturbed(Request.Host, Request.SentAt - Aftermath, *Request.EndedAt,
                false))
    return "";
  return fmt::format("LOST: {} was cut without a disturbance", Request.Id);
}

std::vector<std::string>
Promises::judgeCalm(SoakTime CalmFrom, std::size_t Hosts,
                    const std::string &OnceService) const {
  std::vector<std::string> Result;
  std::map<std::size_t, std::pair<unsigned, unsigned>> ByHost;
  for (const auto &[Id, Request] : Seen) {
    if (Request.SentAt < CalmFrom)
      continue;
    auto &[Asked, Served] = ByHost[Request.Host];
    ++Asked;
    Served += isSuccess(Request.Status) ? 1 : 0;
    if (!Request.Idempotent && !Request.Services.empty() &&
        !Request.Services.contains(OnceService))
      Result.push_back(fmt::format("CONFIG: {} ran at {} after the change", Id,
                                   *Request.Services.begin()));
  }
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    const auto [Asked, Served] = ByHost[Host];
    if (Asked == 0 || Served < CalmShare * Asked)
      Result.push_back(
          fmt::format("RECOVER: host {} served {} of {}", Host, Served, Asked));
  }
  return Result;
}

std::vector<std::string> Promises::judge(SoakTime CalmFrom, std::size_t Hosts,
                                         const std::string &OnceService) const {
  std::vector<std::string> Result = Found;
  for (const auto &[Id, Request] : Seen)
    if (const std::string Broken = judgeOne(Request); !Broken.empty())
      Result.push_back(Broken);
  for (const std::string &Broken : judgeCalm(CalmFrom, Hosts, OnceService))
    Result.push_back(Broken);
  return Result;
}

} // namespace mimosacart
