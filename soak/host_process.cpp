#include "soak/host_process.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mimosacart {

namespace {

constexpr int MaxDescriptor = 4096;

} // namespace

HostProcess::HostProcess(std::string Program, std::string SettingsPath,
                         std::string LogPath)
    : Program(std::move(Program)), SettingsPath(std::move(SettingsPath)),
      LogPath(std::move(LogPath)) {}

HostProcess::~HostProcess() {
  if (!running())
    return;
  kill(Id, SIGKILL);
  waitpid(Id, &Status, 0);
}

void HostProcess::start() {
  Id = fork();
  if (Id < 0)
    throw std::runtime_error("no process can be started");
  if (Id > 0)
    return;
  constexpr int LogMode = 0644;
  const int Log = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  // The stand-ins' sockets must end with this process, not with the hosts.
  for (int Inherited = STDERR_FILENO + 1; Inherited < MaxDescriptor;
       ++Inherited)
    close(Inherited);
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const std::string Settings = "--settings=" + SettingsPath;
  execl(Program.c_str(), Program.c_str(), Settings.c_str(), nullptr);
  _exit(127);
}

void HostProcess::signal(int Signal) const {
  if (Id > 0)
    kill(Id, Signal);
}

bool HostProcess::running() {
  if (Id <= 0)
    return false;
  if (waitpid(Id, &Status, WNOHANG) == 0)
    return true;
  Id = -1;
  return false;
}

} // namespace mimosacart
