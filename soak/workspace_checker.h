/// \file
/// Checks what servers get of requests with keys: the right workspace, never
/// the key, nothing of unknown keys, and no more than the quota.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosacart {

/// A limit on the requests of one workspace, all hosts together.
struct SoakQuota {
  double RequestsPerSecond = 20;
  double Burst = 20;
  std::chrono::seconds Window{5};
  double Overrun = 0.1;
  double Slack = 20;

  double allowedInWindow() const {
    const auto Seconds = static_cast<double>(Window.count());
    return (RequestsPerSecond * Seconds + Burst) * (1 + Overrun) + Slack;
  }
};

/// Records the requests that callers sent with keys and what became of them.
class WorkspaceChecker {
public:
  using Time = std::chrono::steady_clock::time_point;
  /// Whether the host was disturbed between two times.
  using DisturbedHook = std::function<bool(std::size_t Host, Time, Time)>;

  WorkspaceChecker(SoakQuota Quota, DisturbedHook WasDisturbed)
      : Quota(Quota), WasDisturbed(std::move(WasDisturbed)) {}

  /// A caller sends a request with a key of \p Workspace; with a key that no
  /// configuration ever held if that is not set.
  void onSent(Time Now, const std::string &Id, std::size_t Host,
              std::optional<std::string> Workspace);
  /// The key with which the request is sent has been taken away.
  void onSentWithRevokedKey(Time Now, const std::string &Id, std::size_t Host,
                            Time RevokedAt);
  /// A server runs a request that names \p Workspace.
  void onExecuted(Time Now, const std::string &Id, const std::string &Workspace,
                  bool HasKey);
  void onEnded(const std::string &Id, unsigned Status);

  /// Descriptions of all violations, those of the quota of \p Limited included.
  std::vector<std::string> findViolations(const std::string &Limited) const;
  bool knows(const std::string &Id) const { return Requests.contains(Id); }
  std::size_t executions() const { return ExecutionCount; }
  std::size_t refusals() const { return RefusalCount; }

private:
  struct SentRequest {
    std::size_t Host = 0;
    std::optional<std::string> Workspace;
    /// Set if the key had been taken away before.
    std::optional<Time> RevokedAt;
  };

  const SoakQuota Quota;
  const DisturbedHook WasDisturbed;
  std::map<std::string, SentRequest> Requests;
  /// When servers ran requests of each workspace.
  std::map<std::string, std::vector<Time>> Executions;
  std::vector<std::string> Violations;
  std::size_t ExecutionCount = 0;
  std::size_t RefusalCount = 0;
};

} // namespace mimosacart
