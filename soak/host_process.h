/// \file
/// One real `mimosacartd` that the soak starts, signals and starts again.
#pragma once

#include <string>
#include <sys/types.h>

namespace mimosacart {

/// Ends its process, and only that one, when it goes out of scope.
class HostProcess {
public:
  HostProcess(std::string Program, std::string SettingsPath,
              std::string LogPath);
  ~HostProcess();
  HostProcess(const HostProcess &) = delete;
  HostProcess &operator=(const HostProcess &) = delete;

  void start();
  /// Sends \p Signal if the process runs.
  void signal(int Signal) const;
  /// Whether the process runs; notes its end.
  bool running();
  /// Status of the last end, as waitpid() gives it.
  int lastStatus() const { return Status; }

private:
  const std::string Program;
  const std::string SettingsPath;
  const std::string LogPath;
  pid_t Id = -1;
  int Status = 0;
};

} // namespace mimosacart
