/// \file
/// A real `mimosacartd` process that the soak starts, signals and restarts.
#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>

namespace mimosacart {

/// Owns one process; the destructor kills that process and no other.
class HostProcess {
public:
  HostProcess(std::string Program, std::string SettingsPath,
              std::string LogPath);
  ~HostProcess();
  HostProcess(const HostProcess &) = delete;
  HostProcess &operator=(const HostProcess &) = delete;

  /// Starts the program and returns once it runs in place of the copy of this
  /// process, whose memory and descriptors are not its own. Its output is
  /// appended to the log file.
  void start();
  /// Sends \p Signal to the process if one was started and its end has not been
  /// detected.
  void signal(int Signal) const;
  /// Whether the process runs. If it has ended, reaps it and stores its status.
  bool running();
  /// Largest resident memory of the running process, in megabytes; 0 if none
  /// runs.
  std::size_t peakMemoryMb() const;
  /// Exit status of the last process that ended, in the form of waitpid().
  int lastStatus() const { return LastStatus; }

private:
  const std::string Program;
  const std::string SettingsPath;
  const std::string LogPath;
  /// -1 if no process runs.
  pid_t ProcessId = -1;
  int LastStatus = 0;
};

} // namespace mimosacart
