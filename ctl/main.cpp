/// \file
/// `mimosacartctl`, the operators' command-line tool.
#include "ctl/verbs.h"

#include "settings/text_file.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(settings, "",
              "TOML file with the addresses of the platform and the hosts");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_int64(expect_generation, -1,
             "apply only if this generation is in force; 0 means that none is");
DEFINE_int32(wait_ms, 10'000,
             "milliseconds that apply waits for the file to be in force");

namespace {

using namespace mimosacart;

constexpr const char *Usage =
    "configures and inspects a fleet of entry hosts\n"
    "  mimosacartctl validate FILE               check a configuration file\n"
    "  mimosacartctl --settings S diff FILE      show what applying it would "
    "change\n"
    "  mimosacartctl --settings S apply FILE     submit it and wait until it "
    "is in force\n"
    "  mimosacartctl --settings S status         show hosts and backend "
    "servers\n"
    "  mimosacartctl --settings S history        list accepted files, latest "
    "first\n"
    "  mimosacartctl --settings S explain TRACE  show the spans of one "
    "request\n"
    "exit status: 0 done, 1 no answer, 2 bad input, 3 refused,\n"
    "4 another file was accepted first, 5 unknown whether accepted,\n"
    "6 accepted but not in force on every host that answers";

ExitStatus reportBadInput(const std::string &Message) {
  fmt::print(stderr, "mimosacartctl: {}; see --help\n", Message);
  return ExitStatus::BadInput;
}

ExitStatus run(int Argc, char **Argv) {
  if (Argc < 2)
    return reportBadInput("a verb is required");
  const std::string Verb = Argv[1];
  const std::string Argument = Argc > 2 ? Argv[2] : "";
  const bool TakesArgument = Verb == "validate" || Verb == "diff" ||
                             Verb == "apply" || Verb == "explain";
  if (!TakesArgument && Verb != "status" && Verb != "history")
    return reportBadInput(fmt::format("unknown verb \"{}\"", Verb));
  if (TakesArgument != (Argc == 3))
    return reportBadInput(fmt::format("{} takes {} argument", Verb,
                                      TakesArgument ? "one" : "no"));
  if (FLAGS_output != "table" && FLAGS_output != "json")
    return reportBadInput("--output must be table or json");
  if (Verb == "validate")
    return runValidate(Argument);
  if (FLAGS_settings.empty())
    return reportBadInput(fmt::format("{} needs --settings FILE", Verb));
  const auto Text = readTextFile(FLAGS_settings);
  if (!Text)
    return reportBadInput(
        fmt::format("{}: the file cannot be read", FLAGS_settings));
  const auto Settings = parseOperatorSettings(*Text, FLAGS_settings);
  if (Settings.has_error()) {
    for (const FieldError &Error : Settings.error())
      fmt::print(stderr, "{}\n", format(Error));
    return ExitStatus::BadInput;
  }
  VerbOptions Options;
  Options.Format =
      FLAGS_output == "json" ? OutputFormat::Json : OutputFormat::Table;
  Options.Wait = std::chrono::milliseconds(FLAGS_wait_ms);
  if (FLAGS_expect_generation >= 0)
    Options.ExpectedGeneration =
        Generation(static_cast<std::uint64_t>(FLAGS_expect_generation));
  OperatorClient Client(Settings.value());
  if (Verb == "diff")
    return runDiff(Client, Argument);
  if (Verb == "apply")
    return runApply(Client, Argument, Options);
  if (Verb == "status")
    return runStatus(Client, Options);
  if (Verb == "history")
    return runHistory(Client, Options);
  return runExplain(Client, Argument, Options);
}

/// Returns whether --help is given. gflags' own handling of --help exits with
/// an error status.
bool isHelpRequested() {
  std::string Value;
  return gflags::GetCommandLineOption("help", &Value) && Value == "true";
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetVersionString(MIMOSACART_VERSION);
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineNonHelpFlags(&Argc, &Argv, true);
  if (isHelpRequested()) {
    gflags::ShowUsageWithFlagsRestrict("mimosacartctl", "main.cpp");
    return static_cast<int>(ExitStatus::Done);
  }
  gflags::HandleCommandLineHelpFlags();
  return static_cast<int>(run(Argc, Argv));
}
