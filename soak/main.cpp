/// \file
/// `mimosacart_soak`: plays seeds and prints the promises that they broke.
#include "soak/soak.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "how many seeds, one after the other");
DEFINE_uint64(seconds, 20, "length of each run");
DEFINE_uint64(hosts, 3, "entry hosts");
DEFINE_double(rate, 80, "requests a second");
DEFINE_string(program, "build/daemon/mimosacartd", "path of mimosacartd");
DEFINE_string(folder, "build/soak-out", "folder for settings and logs");

int main(int Argc, char **Argv) {
  using namespace mimosacart;
  gflags::SetUsageMessage("plays real entry hosts under random faults\n"
                          "exit status: 0 all promises kept, 1 some broken");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  bool AllKept = true;
  for (std::uint64_t Seed = FLAGS_seed; Seed < FLAGS_seed + FLAGS_seeds;
       ++Seed) {
    SoakOptions Options;
    Options.Seed = Seed;
    Options.Length = std::chrono::seconds(FLAGS_seconds);
    Options.Hosts = FLAGS_hosts;
    Options.RequestsPerSecond = FLAGS_rate;
    Options.Program = FLAGS_program;
    Options.Folder = fmt::format("{}/{}", FLAGS_folder, Seed);
    Soak Played(Options);
    const std::vector<std::string> Broken = Played.run();
    for (const std::string &Each : Broken)
      fmt::print("broken {}\n", Each);
    fmt::print("seed {}: {} requests, {} served, {} promises broken\n", Seed,
               Played.seen().requestCount(), Played.seen().servedCount(),
               Broken.size());
    AllKept = AllKept && Broken.empty();
  }
  return AllKept ? 0 : 1;
}
