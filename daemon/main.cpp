/// \file
/// `mimosacartd`: one entry host.
#include "daemon/entry_host_process.h"
#include "net/asio.h"
#include "settings/host_settings.h"
#include "settings/text_file.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>

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

int serve(const HostSettings &Settings) {
  asio::io_context Context(1);
  int ExitStatus = ExitOk;
  EntryHostProcess Host(Context, Settings, [&Context] { Context.stop(); });
  const auto Started = Host.start();
  if (Started.has_error()) {
    fmt::print(stderr, "mimosacartd: an address cannot be used: {}\n",
               Started.error().message());
    return ExitFailed;
  }
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  unsigned Received = 0;
  std::function<void(boost::system::error_code, int)> OnSignal =
      [&](boost::system::error_code Error, int /*Number*/) {
        if (Error)
          return;
        if (++Received > 1) {
          ExitStatus = ExitForced;
          Context.stop();
          return;
        }
        Host.stop();
        Signals.async_wait(OnSignal);
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
  const auto Text = readTextFile(FLAGS_settings);
  if (!Text) {
    fmt::print(stderr, "mimosacartd: {}: the file cannot be read\n",
               FLAGS_settings);
    return ExitBadSettings;
  }
  const auto Settings = parseHostSettings(*Text, FLAGS_settings);
  if (Settings.has_error()) {
    for (const FieldError &Error : Settings.error())
      fmt::print(stderr, "{}\n", format(Error));
    return ExitBadSettings;
  }
  if (FLAGS_check) {
    printPlan(Settings.value());
    return ExitOk;
  }
  return serve(Settings.value());
}
