/// \file
/// What the operators' verbs need: blocking calls to platform and hosts.
#pragma once

#include "net/http_client.h"
#include "platform/platform_client.h"
#include "settings/host_settings.h"

#include <memory>
#include <string>

namespace mimosacart {

/// How an `apply` ended.
enum class ApplyEnd : std::uint8_t {
  Accepted,
  /// The file was not accepted: nothing changed.
  Refused,
  /// Another file was accepted first.
  LostRace,
  /// The platform's answer was lost and could not be found out.
  Unknown,
};

/// Result of an `apply`.
struct ApplyResult {
  ApplyEnd End = ApplyEnd::Unknown;
  /// The generation accepted, or the one that won.
  AcceptedConfiguration Accepted;
  std::string Message;
};

/// Makes one call after the other and waits for each.
class OperatorClient {
public:
  explicit OperatorClient(OperatorSettings Settings);
  ~OperatorClient();
  OperatorClient(const OperatorClient &) = delete;
  OperatorClient &operator=(const OperatorClient &) = delete;

  PlatformResult<HeadRow> readHead();
  PlatformResult<std::string> readObject(const std::string &Digest);

  /// Stores \p Bytes and makes them the next generation. If \p Expected is
  /// set, only after that generation.
  ApplyResult apply(const std::string &Bytes,
                    std::optional<Generation> Expected);

  /// Body of \p Path on a host's admin address; nothing if it is silent.
  std::optional<std::string> readAdmin(const std::string &Address,
                                       const std::string &Path);

  const OperatorSettings &settings() const { return Settings; }

private:
  struct Loop;

  /// Runs the loop until \p Start's hook was called.
  template <typename T, typename Function>
  PlatformResult<T> wait(Function Start);
  ApplyResult settleLostAnswer(const AcceptedConfiguration &Submitted);

  const OperatorSettings Settings;
  std::unique_ptr<Loop> Running;
};

} // namespace mimosacart
