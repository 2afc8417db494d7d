#include "soak/workspace_checker.h"

#include <fmt/format.h>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

/// Time in which hosts apply a configuration, and for which a disturbance may
/// delay that.
constexpr auto ConfigurationTime = 2500ms;
constexpr auto DisturbanceEffectTime = 3s;
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusTooManyRequests = 429;

} // namespace

void WorkspaceChecker::onSent(Time /*Now*/, const std::string &Id,
                              std::size_t Host,
                              std::optional<std::string> Workspace) {
  Requests[Id] = {Host, std::move(Workspace), std::nullopt};
}

void WorkspaceChecker::onSentWithRevokedKey(Time /*Now*/, const std::string &Id,
                                            std::size_t Host, Time RevokedAt) {
  Requests[Id] = {Host, std::nullopt, RevokedAt};
}

void WorkspaceChecker::onExecuted(Time Now, const std::string &Id,
                                  const std::string &Workspace, bool HasKey) {
  const SentRequest &Request = Requests.at(Id);
  ++ExecutionCount;
  Executions[Workspace].push_back(Now);
  if (HasKey)
    Violations.push_back("KEY: a server got the key of " + Id);
  if (Request.Workspace && Workspace != *Request.Workspace)
    Violations.push_back(fmt::format("KEY: {} ran for \"{}\"", Id, Workspace));
  if (Request.Workspace)
    return;
  const bool MayLag =
      Request.RevokedAt &&
      (Now < *Request.RevokedAt + ConfigurationTime ||
       WasDisturbed(Request.Host, *Request.RevokedAt - DisturbanceEffectTime,
                    Now));
  if (!MayLag)
    Violations.push_back(fmt::format("KEY: {} ran without a valid key", Id));
}

void WorkspaceChecker::onEnded(const std::string &Id, unsigned Status) {
  RefusalCount += Status == StatusTooManyRequests ? 1 : 0;
  const SentRequest &Request = Requests.at(Id);
  const bool KeyWasValid = Request.Workspace.has_value();
  if (KeyWasValid && Status == StatusUnauthorized)
    Violations.push_back(fmt::format("KEY: {} got 401", Id));
}

std::vector<std::string>
WorkspaceChecker::findViolations(const std::string &Limited) const {
  std::vector<std::string> Result = Violations;
  const auto Found = Executions.find(Limited);
  if (Found == Executions.end())
    return Result;
  const std::vector<Time> &Times = Found->second;
  std::size_t First = 0;
  std::size_t Most = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= Quota.Window)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  if (static_cast<double>(Most) > Quota.allowedInWindow())
    Result.push_back(fmt::format("QUOTA: {} of {:.1f} requests in a window",
                                 Most, Quota.allowedInWindow()));
  return Result;
}

} // namespace mimosacart
