/// \file
/// `mimosacart_soak`: performs one run for each seed and prints the violated
/// guarantees.
#include "soak/soak.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of seeds, run one after another");
DEFINE_uint64(seconds, 20, "length of each run in seconds");
DEFINE_uint64(hosts, 3, "number of entry hosts");
DEFINE_double(rate, 80, "requests per second");
DEFINE_uint64(memory_mb, 128, "memory that each host may use");
DEFINE_bool(tell_memory, true, "whether the hosts are told of it");
DEFINE_uint64(endless, 3,
              "connections to each host on which callers send without end");
DEFINE_bool(retry_trouble, false,
            "make hosts use up their retries, with herd restarts and pauses");
DEFINE_bool(cut_trouble, false,
            "cut hosts off from each other, the store and servers");
DEFINE_bool(
    workspaces, false,
    "callers need keys, and send some that are not valid or over a quota");
DEFINE_double(retry_slack, 50, "fixed part of the fleet's limit on retries");
DEFINE_string(program, "build/daemon/mimosacartd", "path of mimosacartd");
DEFINE_string(folder, "build/soak-out",
              "folder for the hosts' settings files and logs");

int main(int Argc, char **Argv) {
  using namespace mimosacart;
  gflags::SetUsageMessage(
      "runs real entry hosts under random faults\n"
      "exit status: 0 if all promises were kept, 1 if some were broken");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  bool AllPromisesKept = true;
  for (std::uint64_t Seed = FLAGS_seed; Seed < FLAGS_seed + FLAGS_seeds;
       ++Seed) {
    SoakOptions Options;
    Options.Seed = Seed;
    Options.Length = std::chrono::seconds(FLAGS_seconds);
    Options.HostCount = FLAGS_hosts;
    Options.RequestsPerSecond = FLAGS_rate;
    Options.MemoryMb = FLAGS_memory_mb;
    Options.TellMemory = FLAGS_tell_memory;
    Options.EndlessCallers = FLAGS_endless;
    Options.RetryTrouble = FLAGS_retry_trouble;
    Options.CutTrouble = FLAGS_cut_trouble;
    Options.Workspaces = FLAGS_workspaces;
    Options.Retries.Slack = FLAGS_retry_slack;
    Options.Program = FLAGS_program;
    Options.Folder = fmt::format("{}/{}", FLAGS_folder, Seed);
    Soak Run(Options);
    const std::vector<std::string> Violations = Run.run();
    for (const std::string &Violation : Violations)
      fmt::print("broken {}\n", Violation);
    const PromiseChecker &Checker = Run.checker();
    fmt::print(
        "seed {}: {} requests, {} served, {} at limited servers, {} "
        "pauses, {} answers of leaving servers, {} refusals sent twice, "
        "{} repeats, at most {:.2f} of the limit, {} keyed runs, {} over "
        "quota, peak of {} MB, {} promises broken\n",
        Seed, Checker.requestCount(), Checker.servedCount(),
        Checker.wishes().limitedArrivals(), Checker.wishes().pauses(),
        Checker.wishes().leavingAnswers(), Run.refusalCopies(),
        Run.retries().repeats(), Run.retries().mostUsed(),
        Run.keys().executions(), Run.keys().refusals(), Run.peakMemoryMb(),
        Violations.size());
    AllPromisesKept = AllPromisesKept && Violations.empty();
  }
  return AllPromisesKept ? 0 : 1;
}
