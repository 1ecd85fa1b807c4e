// Runs many schedules and prints which rules they violated.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "explore/runner.h"
#include "explore/world.h"
#include "peridotshelf/history/codec.h"

namespace {

using peridotshelf::explore::kAllMechanisms;
using peridotshelf::explore::Mechanism;

/// Runs `seeds` schedules from `first_seed` on and prints the violations of
/// up to `max_shown` of them and the totals. Returns the number of schedules
/// with violations or leaks.
int64_t Explore(uint32_t first_seed, int64_t seeds, int64_t max_shown,
                const peridotshelf::explore::Mechanisms& without) {
  peridotshelf::explore::Totals totals;
  for (int64_t i = 0; i < seeds; ++i) {
    const auto seed = first_seed + static_cast<uint32_t>(i);
    const auto run = peridotshelf::explore::RunSchedule(
        peridotshelf::explore::MakeSchedule(seed), without);
    totals.Add(run);
    if (run.IsClean() || totals.failed > max_shown) continue;
    std::cout << "seed " << seed << "\n";
    for (const auto& violation : run.violations) {
      std::cout << "  " << violation << "\n";
    }
    if (!run.leaks.empty()) std::cout << "  leaked: " << run.leaks << "\n";
  }
  std::cout << totals;
  return totals.failed;
}

/// Prints the history of one schedule in the format that `check-history` reads,
/// and the faults of the schedule on stderr.
void PrintHistory(uint32_t seed,
                  const peridotshelf::explore::Mechanisms& without) {
  const auto schedule = peridotshelf::explore::MakeSchedule(seed);
  for (const auto& fault : schedule.faults) std::cerr << fault << "\n";
  peridotshelf::explore::World world(schedule, without);
  world.Run();
  for (const auto& event : world.history()) {
    std::cout << peridotshelf::history::FormatEvent(event) << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Runs schedules of faults in virtual time and checks the invariants.");
  uint32_t first_seed = 1;
  int64_t seeds = 1'000;
  int64_t max_shown = 3;
  std::vector<std::string> names;
  app.add_option("--first", first_seed, "The first seed.");
  app.add_option("--seeds", seeds, "Number of schedules to run.");
  app.add_option("--shown", max_shown,
                 "Maximum number of failing schedules to print.");
  app.add_option("--without", names, "Mechanisms to disable.");
  bool dump = false;
  app.add_flag("--dump", dump, "Print the history of the first seed only.");
  CLI11_PARSE(app, argc, argv);
  peridotshelf::explore::Mechanisms without;
  for (const Mechanism mechanism : kAllMechanisms) {
    for (const std::string& name : names) {
      if (name == ToString(mechanism)) without.insert(mechanism);
    }
  }
  if (without.size() != names.size()) {
    std::cerr << "unknown mechanism\n";
    return EXIT_FAILURE;
  }
  if (dump) {
    PrintHistory(first_seed, without);
    return EXIT_SUCCESS;
  }
  return Explore(first_seed, seeds, max_shown, without) == 0 ? EXIT_SUCCESS
                                                             : EXIT_FAILURE;
}
