/// \file
/// Callers with keys: of a workspace with a quota that they exceed, unknown
/// ones, and one that is taken away in the middle of the run.
#include "soak/soak.h"

#include <fmt/format.h>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

/// Their mean interval: 2.5 times the quota.
constexpr double MeanIntervalMs = 20;
constexpr const char *LimitedKey = "key-limited";
constexpr const char *RevokedKey = "key-revoked";
constexpr const char *UnknownKey = "key-unknown";

} // namespace

nlohmann::json Soak::makeWorkspaces() const {
  using Json = nlohmann::json;
  Json OpenKeys = {OpenWorkspaceKey};
  if (!RevokedAt)
    OpenKeys.push_back(RevokedKey);
  return {{"columns", {"name", "apiKeys", "ratePerS", "burst"}},
          {"rows",
           {{OpenWorkspace, OpenKeys, nullptr, nullptr},
            {LimitedWorkspace,
             {LimitedKey},
             Quota.RequestsPerSecond,
             Quota.Burst}}}};
}

void Soak::scheduleWorkspaceTrouble() {
  if (!Options.Workspaces)
    return;
  WorkspaceRandom.seed(Options.Seed * 3 + 1);
  runAfter(1000ms, [this] { sendKeyedRequests(); });
  runAfter(Options.Length / 2, [this] {
    RevokedAt = std::chrono::steady_clock::now();
    printEvent("a key is taken away");
    publishConfiguration(OnceService);
  });
}

void Soak::sendKeyedRequests() {
  if (!IsSending)
    return;
  sendKeyedRequest();
  const double DelayMs = std::exponential_distribution<double>(
      1 / MeanIntervalMs)(WorkspaceRandom);
  runAfter(std::chrono::milliseconds(static_cast<long>(DelayMs)),
           [this] { sendKeyedRequests(); });
}

void Soak::sendKeyedRequest() {
  const auto Draw = [this](std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(
        WorkspaceRandom);
  };
  const std::size_t Host = Draw(Hosts.size());
  const std::string Id =
      fmt::format("w-{}-{}", Options.Seed, ++LastRequestNumber);
  const auto Now = std::chrono::steady_clock::now();
  std::string Key = LimitedKey;
  // One of ten is unknown, one of ten has the key that is taken away.
  const std::size_t Kind = Draw(10);
  if (Kind == 0)
    Key = UnknownKey;
  else if (Kind == 1)
    Key = RevokedKey;
  if (Kind == 1 && RevokedAt)
    Keys.onSentWithRevokedKey(Now, Id, Host, *RevokedAt);
  else if (Kind == 0)
    Keys.onSent(Now, Id, Host, std::nullopt);
  else
    Keys.onSent(Now, Id, Host, Kind == 1 ? OpenWorkspace : LimitedWorkspace);
  HttpCall Call;
  Call.Address = Hosts[Host].CallerAddress;
  Call.ConnectTimeout = 1s;
  Call.Timeout = 4s;
  Call.MaxIdle = 10s;
  Call.Request = {"GET",
                  fmt::format("/read/{}", LastRequestNumber),
                  {{"Host", "soak.example"},
                   {"X-Request-Id", Id},
                   {"X-Deadline-Ms", "1000"},
                   {"X-Tenant-Id", "forged"},
                   {"Authorization", "Bearer " + Key}},
                  "",
                  ""};
  Retries.onRequest(Now, ReadService);
  // A key that is valid when the request is sent may be taken away before it is
  // read.
  const bool MayBeRefused = Kind == 1;
  CallerClient.call(std::move(Call),
                    [this, Id, MayBeRefused](const HttpResult &Result) {
                      if (Result.has_value() && !MayBeRefused)
                        Keys.onEnded(Id, Result.value().Status);
                    });
}

} // namespace mimosacart
