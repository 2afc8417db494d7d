/// \file
/// `mimosacartd`: one entry host.
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
DEFINE_bool(check, false, "check the settings, say what would be done, exit");

namespace {

using namespace mimosacart;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
/// A second SIGTERM ended a planned stop early.
constexpr int ExitForced = 3;

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

/// Reads and checks the settings file; errors are told by \p Complain.
std::optional<HostSettings>
readSettings(const std::function<void(const std::string &)> &Complain) {
  const auto Text = readTextFile(FLAGS_settings);
  if (!Text) {
    Complain(FLAGS_settings + ": the file cannot be read");
    return std::nullopt;
  }
  const auto Settings = parseHostSettings(*Text, FLAGS_settings);
  if (Settings.has_value())
    return Settings.value();
  for (const FieldError &Error : Settings.error())
    Complain(format(Error));
  return std::nullopt;
}

/// Tells of changes of the settings file, with or without a signal.
class SettingsWatch {
public:
  SettingsWatch(asio::io_context &Context, std::function<void()> Changed)
      : Timer(Context), Changed(std::move(Changed)), Seen(lastWrite()) {
    watch();
  }

private:
  static std::filesystem::file_time_type lastWrite() {
    std::error_code Missing;
    return std::filesystem::last_write_time(FLAGS_settings, Missing);
  }

  void watch() {
    Timer.expires_after(CheckInterval);
    Timer.async_wait([this](boost::system::error_code Error) {
      if (Error)
        return;
      const auto Latest = lastWrite();
      if (Latest != Seen) {
        Seen = Latest;
        Changed();
      }
      watch();
    });
  }

  static constexpr auto CheckInterval = std::chrono::seconds(2);

  asio::steady_timer Timer;
  const std::function<void()> Changed;
  std::filesystem::file_time_type Seen;
};

template <typename Process> int serve(const HostSettings &Settings) {
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
    const auto Next = readSettings(
        [&Host](const std::string &Reason) { Host.rejectReload(Reason); });
    if (Next)
      Host.reload(*Next);
  };
  const SettingsWatch Watch(Context, Reload);
  asio::signal_set Signals(Context, SIGTERM, SIGINT, SIGHUP);
  unsigned Received = 0;
  std::function<void(boost::system::error_code, int)> OnSignal =
      [&](boost::system::error_code Error, int Number) {
        if (Error)
          return;
        Signals.async_wait(OnSignal);
        if (Number == SIGHUP) {
          Reload();
          return;
        }
        // The platform may send SIGTERM again, which must not cut requests;
        // it ends a process for good with SIGKILL.
        const bool Impatient = !Settings.Direct || Number == SIGINT;
        if (++Received > 1 && Impatient) {
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

/// The library itself would end with an error status after its help.
bool asksForHelp() {
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
  if (asksForHelp()) {
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
  // A reader of the logs that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return Settings->Direct ? serve<DirectHostProcess>(*Settings)
                          : serve<EntryHostProcess>(*Settings);
}
