/// \file
/// `mimosacartd` runs one entry host.
#include "daemon/direct_host_process.h"
#include "daemon/entry_host_process.h"
#include "net/asio.h"
#include "settings/host_settings.h"
#include "settings/text_file.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <functional>
#include <optional>

DEFINE_string(settings, "", "TOML file with the settings of this host");
DEFINE_bool(check, false,
            "check the settings, print what the host would do, and exit");

namespace {

using namespace mimosacart;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
/// A second stop signal ended a planned stop early.
constexpr int ExitForced = 3;

/// Prints what a host with these settings would do.
void printPlan(const HostSettings &Settings) {
  fmt::print("{}: the settings are valid\n"
             "entry host {} in data centre {}\n"
             "would answer callers on {}\n"
             "would answer peers on {}\n"
             "would answer operators on {}\n"
             "would read configuration from the platform at {}\n"
             "would join the fleet through {}\n",
             FLAGS_settings, Settings.Name.value(), Settings.DataCentre,
             Settings.CallerAddress, Settings.PeerAddress,
             Settings.AdminAddress, Settings.PlatformAddress,
             fmt::join(Settings.SeedAddresses, ", "));
}

/// Reads and validates the settings file. Calls \p ReportError for each error.
std::optional<HostSettings>
readSettings(const std::function<void(const std::string &)> &ReportError) {
  const auto Text = readTextFile(FLAGS_settings);
  if (!Text) {
    ReportError(FLAGS_settings + ": the file cannot be read");
    return std::nullopt;
  }
  const auto Settings = parseHostSettings(*Text, FLAGS_settings);
  if (Settings.has_value())
    return Settings.value();
  for (const FieldError &Error : Settings.error())
    ReportError(format(Error));
  return std::nullopt;
}

/// Polls the modification time of the settings file, so that changes take
/// effect without a signal.
class SettingsWatcher {
public:
  SettingsWatcher(asio::io_context &Context, std::function<void()> OnChange)
      : Timer(Context), OnChange(std::move(OnChange)),
        LastSeen(readModificationTime()) {
    scheduleCheck();
  }

private:
  static std::filesystem::file_time_type readModificationTime() {
    std::error_code Ignored;
    return std::filesystem::last_write_time(FLAGS_settings, Ignored);
  }

  void scheduleCheck() {
    Timer.expires_after(CheckInterval);
    Timer.async_wait([this](boost::system::error_code Error) {
      if (Error)
        return;
      const auto Latest = readModificationTime();
      if (Latest != LastSeen) {
        LastSeen = Latest;
        OnChange();
      }
      scheduleCheck();
    });
  }

  static constexpr auto CheckInterval = std::chrono::seconds(2);

  asio::steady_timer Timer;
  const std::function<void()> OnChange;
  std::filesystem::file_time_type LastSeen;
};

/// Runs a host until it has stopped; returns the exit status.
template <typename Process> int runHost(const HostSettings &Settings) {
  asio::io_context Context(1);
  int ExitStatus = ExitOk;
  Process Host(Context, Settings, [&Context] { Context.stop(); });
  const auto Started = Host.start();
  if (Started.has_error()) {
    fmt::print(stderr, "mimosacartd: an address cannot be used: {}\n",
               Started.error().message());
    return ExitFailed;
  }
  const auto Reload = [&Host] {
    const auto NewSettings = readSettings(
        [&Host](const std::string &Reason) { Host.rejectReload(Reason); });
    if (NewSettings)
      Host.reload(*NewSettings);
  };
  const SettingsWatcher Watcher(Context, Reload);
  asio::signal_set Signals(Context, SIGTERM, SIGINT, SIGHUP);
  unsigned StopSignals = 0;
  std::function<void(boost::system::error_code, int)> OnSignal =
      [&](boost::system::error_code Error, int Signal) {
        if (Error)
          return;
        Signals.async_wait(OnSignal);
        if (Signal == SIGHUP) {
          Reload();
          return;
        }
        // The platform may send SIGTERM more than once to a host that calls
        // discovered servers. This must not interrupt requests; to force the
        // end, the platform sends SIGKILL.
        const bool CanForceExit = !Settings.Direct || Signal == SIGINT;
        if (++StopSignals > 1 && CanForceExit) {
          ExitStatus = ExitForced;
          Context.stop();
          return;
        }
        Host.stop();
      };
  Signals.async_wait(OnSignal);
  Context.run();
  return ExitStatus;
}

/// Whether --help was given. main() prints the help itself, because gflags
/// would exit with an error status afterwards.
bool isHelpRequested() {
  std::string Value;
  return gflags::GetCommandLineOption("help", &Value) && Value == "true";
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetVersionString(MIMOSACART_VERSION);
  gflags::SetUsageMessage(
      "runs one entry host\n"
      "  mimosacartd --settings FILE [--check]\n"
      "exit status: 0 stopped as planned, 1 an address is taken,\n"
      "2 bad settings or arguments, 3 a planned stop was cut short");
  gflags::ParseCommandLineNonHelpFlags(&Argc, &Argv, true);
  if (isHelpRequested()) {
    gflags::ShowUsageWithFlagsRestrict("mimosacartd", "main.cpp");
    return ExitOk;
  }
  gflags::HandleCommandLineHelpFlags();
  if (FLAGS_settings.empty() || Argc > 1) {
    fmt::print(stderr,
               "mimosacartd: --settings FILE is required; see --help\n");
    return ExitBadSettings;
  }
  const auto Settings = readSettings([](const std::string &Reason) {
    fmt::print(stderr, "mimosacartd: {}\n", Reason);
  });
  if (!Settings)
    return ExitBadSettings;
  if (FLAGS_check) {
    printPlan(*Settings);
    return ExitOk;
  }
  // The process must survive when the reader of its log output goes away.
  std::signal(SIGPIPE, SIG_IGN);
  return Settings->Direct ? runHost<DirectHostProcess>(*Settings)
                          : runHost<EntryHostProcess>(*Settings);
}
