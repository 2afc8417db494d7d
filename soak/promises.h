/// \file
/// Checks the load balancer's guarantees against what callers and backend
/// servers observed.
#pragma once

#include "soak/soak_server.h"
#include "soak/wish_checker.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosacart {

using SoakTime = std::chrono::steady_clock::time_point;

/// A caller's request and what the caller and the backend servers observed of
/// it.
struct ObservedRequest {
  std::string Id;
  bool Idempotent = false;
  /// Index of the entry host that the request was sent to.
  std::size_t Host = 0;
  SoakTime SentAt;
  std::optional<SoakTime> EndedAt;
  /// HTTP status; 0 if the connection ended without an answer.
  unsigned Status = 0;
  std::string Body;
  /// The connection to the entry host failed, so the host read no request.
  bool ConnectFailed = false;
  /// How many times a backend server started to execute the request.
  unsigned ExecutionCount = 0;
  /// Ids of the backend servers that answered the request.
  std::set<std::string> AnsweredBy;
  /// Services whose servers executed the request.
  std::set<std::string> Services;
};

/// What a disturbance concerns.
enum class DisturbanceKind : std::uint8_t {
  /// A host's process is killed or stopped, or starts.
  Process,
  /// Like Process, as a planned operation.
  PlannedStop,
  Reload,
  /// The link of a host to the store, or of all hosts to a server.
  Link,
  Store,
  Server
};

/// A period in which a fault was injected or a planned stop, reload or restart
/// took place.
struct Disturbance {
  std::string Description;
  SoakTime StartsAt;
  SoakTime EndsAt;
  /// Index of the affected entry host; empty if all hosts are affected.
  std::optional<std::size_t> Host;
  DisturbanceKind Kind = DisturbanceKind::Process;

  bool affects(std::size_t Index) const { return !Host || *Host == Index; }
  /// A planned operation, such as a stop or a reload, rather than a fault.
  bool isPlanned() const {
    return Kind == DisturbanceKind::PlannedStop ||
           Kind == DisturbanceKind::Reload;
  }
  /// A process did not run, or messages may have been late.
  bool isInterruption() const {
    return Kind == DisturbanceKind::Process ||
           Kind == DisturbanceKind::PlannedStop ||
           Kind == DisturbanceKind::Link;
  }
};

/// Records the observed requests and disturbances and reports violated
/// guarantees.
class PromiseChecker {
public:
  /// Request timeout of every configured route.
  static constexpr auto RouteTimeout = std::chrono::milliseconds(1500);

  /// Records a request that is about to be sent.
  ObservedRequest &addRequest(ObservedRequest Request);
  /// Records that a backend server started to execute a request.
  void onExecutionStarted(const ServerEvent &Event);
  /// Records that a request reached a backend server.
  void onArrived(const ServerEvent &Event);
  /// Records that a backend server sends its answer.
  void onAnswerSent(const ServerEvent &Event);
  /// Records the answer that the caller got, or status 0 if it got none.
  void onRequestEnded(const std::string &Id, unsigned Status,
                      const std::string &Body, bool ConnectFailed);
  /// Records that a published configuration routes requests of this kind to
  /// \p Service.
  void allowService(bool Idempotent, const std::string &Service);
  /// From \p From on, reports each request that \p Server executes, unless a
  /// fault affected the entry host of the request.
  void forbidServer(const std::string &Server, SoakTime From);
  /// Records a violation that the soak itself has found.
  void addViolation(std::string Description) {
    Violations.push_back(std::move(Description));
  }
  void addDisturbance(Disturbance Added) {
    Disturbances.push_back(std::move(Added));
  }

  /// Descriptions of all violations. From \p RecoveredAt on, every host must
  /// have recovered and apply the last configuration, which routes
  /// non-idempotent requests to \p OnceService.
  std::vector<std::string> findViolations(SoakTime RecoveredAt,
                                          std::size_t HostCount,
                                          const std::string &OnceService) const;
  /// What servers asked for and which requests reached them.
  WishChecker &wishes() { return Wishes; }
  const WishChecker &wishes() const { return Wishes; }
  /// Whether a disturbance affected \p Host between \p From and \p To; planned
  /// ones count only if \p IncludePlanned.
  bool wasDisturbed(std::size_t Host, SoakTime From, SoakTime To,
                    bool IncludePlanned) const;
  std::size_t requestCount() const { return Requests.size(); }
  /// Number of requests that got a 2xx status.
  std::size_t servedCount() const;

private:
  /// Whether an interruption affects \p Host at \p At.
  bool wasInterrupted(std::size_t Host, SoakTime At) const;
  /// Description of the guarantee that \p Request violates, or empty.
  std::string checkRequest(const ObservedRequest &Request) const;
  std::string checkPlannedStop(const ObservedRequest &Request) const;
  std::vector<std::string> checkRecovery(SoakTime RecoveredAt,
                                         std::size_t HostCount,
                                         const std::string &OnceService) const;

  std::map<std::string, ObservedRequest> Requests;
  /// Services allowed for each kind of request, by Idempotent.
  std::map<bool, std::set<std::string>> AllowedServices;
  /// When each drained server, by its id, must receive no more requests.
  std::map<std::string, SoakTime> ForbiddenServers;
  std::vector<Disturbance> Disturbances;
  WishChecker Wishes{[this](std::size_t Host, SoakTime From, SoakTime To) {
                       return wasDisturbed(Host, From, To, true);
                     },
                     [this](std::size_t Host, SoakTime At) {
                       return wasInterrupted(Host, At);
                     }};
  /// Violations detected while the run was in progress.
  std::vector<std::string> Violations;
};

} // namespace mimosacart
