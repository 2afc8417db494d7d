#include "soak/host_process.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <limits>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mimosacart {

namespace {

/// Waits until the writing end of a pipe has been closed, and closes
/// \p Descriptor, its reading end.
void waitForEnd(int Descriptor) {
  char Byte = 0;
  while (read(Descriptor, &Byte, 1) < 0 && errno == EINTR) {
  }
  close(Descriptor);
}

} // namespace

HostProcess::HostProcess(std::string Program, std::string SettingsPath,
                         std::string LogPath)
    : Program(std::move(Program)), SettingsPath(std::move(SettingsPath)),
      LogPath(std::move(LogPath)) {}

HostProcess::~HostProcess() {
  if (!running())
    return;
  kill(ProcessId, SIGKILL);
  waitpid(ProcessId, &LastStatus, 0);
}

void HostProcess::start() {
  std::array<int, 2> Started{};
  if (pipe2(Started.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("cannot open a pipe");
  ProcessId = fork();
  if (ProcessId < 0)
    throw std::runtime_error("cannot fork a host process");
  if (ProcessId > 0) {
    close(Started[1]);
    waitForEnd(Started[0]);
    return;
  }
  constexpr int LogMode = 0644;
  const int LogDescriptor =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
  dup2(LogDescriptor, STDOUT_FILENO);
  dup2(LogDescriptor, STDERR_FILENO);
  // Hosts must not inherit the stand-ins' sockets, which would otherwise stay
  // open after the soak process ends.
  close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(),
              CLOSE_RANGE_CLOEXEC);
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const std::string SettingsArgument = "--settings=" + SettingsPath;
  execl(Program.c_str(), Program.c_str(), SettingsArgument.c_str(), nullptr);
  _exit(127);
}

void HostProcess::signal(int Signal) const {
  if (ProcessId > 0)
    kill(ProcessId, Signal);
}

bool HostProcess::running() {
  if (ProcessId <= 0)
    return false;
  if (waitpid(ProcessId, &LastStatus, WNOHANG) == 0)
    return true;
  ProcessId = -1;
  return false;
}

std::size_t HostProcess::peakMemoryMb() const {
  constexpr std::size_t KilobytesPerMegabyte = 1024;
  if (ProcessId <= 0)
    return 0;
  std::ifstream Status("/proc/" + std::to_string(ProcessId) + "/status");
  std::string Word;
  std::size_t Kilobytes = 0;
  while (Status >> Word)
    if (Word == "VmHWM:" && Status >> Kilobytes)
      return Kilobytes / KilobytesPerMegabyte;
  return 0;
}

} // namespace mimosacart
