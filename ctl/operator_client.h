/// \file
/// Blocking calls to the platform and to entry hosts.
#pragma once

#include "net/http_client.h"
#include "platform/platform_client.h"
#include "settings/host_settings.h"

#include <memory>
#include <string>

namespace mimosacart {

/// Outcome of `apply`.
enum class ApplyOutcome : std::uint8_t {
  Accepted,
  /// The file was not accepted; nothing changed.
  Refused,
  /// Another file was accepted first.
  LostRace,
  /// The platform's answer was lost, and later reads did not show whether the
  /// file was accepted.
  Unknown,
};

/// Result of `apply`.
struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Unknown;
  /// The accepted configuration, or the one that was accepted first, or, if the
  /// outcome is unknown, the one submitted.
  AcceptedConfiguration Accepted;
  /// Reason if the file was not accepted or the outcome is unknown.
  std::string Message;
};

/// Makes calls one at a time and blocks until each is done.
class OperatorClient {
public:
  explicit OperatorClient(OperatorSettings ClientSettings);
  ~OperatorClient();
  OperatorClient(const OperatorClient &) = delete;
  OperatorClient &operator=(const OperatorClient &) = delete;

  PlatformResult<HeadRow> readHead();
  PlatformResult<std::string> readObject(const std::string &Digest);

  /// Stores \p Bytes and submits them as the next generation. If \p Expected is
  /// set, submits them only if that is the current generation; 0 stands for
  /// none.
  ApplyResult apply(const std::string &Bytes,
                    std::optional<Generation> Expected);

  /// Returns the body of \p Path at the admin address \p Address of a host;
  /// nothing if the host does not answer with status 200.
  std::optional<std::string> readAdmin(const std::string &Address,
                                       const std::string &Path);

  const OperatorSettings &settings() const { return Settings; }

private:
  /// The event loop and the clients that run on it.
  struct EventLoop;

  /// Calls \p Start with a completion hook and runs the event loop until the
  /// hook is called.
  template <typename T, typename StartFunction>
  PlatformResult<T> runUntilDone(StartFunction Start);
  /// Reads the head row to find out whether \p Submitted was accepted.
  ApplyResult resolveUncertainWrite(const AcceptedConfiguration &Submitted);

  const OperatorSettings Settings;
  std::unique_ptr<EventLoop> Loop;
};

} // namespace mimosacart
