// Runs many schedules and says which rules they broke.
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

/// Prints what was found; the number of schedules that broke a rule.
int64_t Explore(uint32_t first, int64_t seeds, int64_t shown,
                const peridotshelf::explore::Mechanisms& without) {
  peridotshelf::explore::Totals totals;
  for (int64_t i = 0; i < seeds; ++i) {
    const auto seed = first + static_cast<uint32_t>(i);
    const auto run = peridotshelf::explore::RunSchedule(
        peridotshelf::explore::MakeSchedule(seed), without);
    totals.Add(run);
    if (run.Clean() || totals.broken > shown) continue;
    std::cout << "seed " << seed << "\n";
    for (const auto& violation : run.violations) {
      std::cout << "  " << violation << "\n";
    }
    if (!run.held.empty()) std::cout << "  held: " << run.held << "\n";
  }
  std::cout << totals;
  return totals.broken;
}

/// Prints the history of one schedule, as `check-history` reads it.
void Dump(uint32_t seed, const peridotshelf::explore::Mechanisms& without) {
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
  CLI::App app("Runs schedules of faults in virtual time.");
  uint32_t first = 1;
  int64_t seeds = 1'000;
  int64_t shown = 3;
  std::vector<std::string> names;
  app.add_option("--first", first, "First seed.");
  app.add_option("--seeds", seeds, "Schedules to run.");
  app.add_option("--shown", shown, "Broken schedules shown.");
  app.add_option("--without", names, "Mechanisms to leave out.");
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
    Dump(first, without);
    return EXIT_SUCCESS;
  }
  return Explore(first, seeds, shown, without) == 0 ? EXIT_SUCCESS
                                                    : EXIT_FAILURE;
}
