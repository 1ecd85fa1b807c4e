// Compares strategies for choosing the process that appends the next snapshot,
// in virtual time.
#include <cmath>
#include <cstdio>

#include "bench/snapshot_schedule_sim.h"

namespace peridotshelf::bench {
namespace {

constexpr size_t kMaxProcesses = 990;

template <class Strategy>
void PrintRow(const SnapshotScenario& scenario) {
  const SnapshotStats stats = SnapshotFleet<Strategy>(scenario).Run();
  const double days = scenario.hours / 24;
  std::printf("| %.*s | %zu | %.*s | %.1f | %.1f | %.0f | %.0f | %.0f |\n",
              static_cast<int>(Strategy::kName.size()), Strategy::kName.data(),
              scenario.processes, static_cast<int>(scenario.name.size()),
              scenario.name.data(), static_cast<double>(stats.snapshots) / days,
              static_cast<double>(stats.duplicates) / days,
              static_cast<double>(stats.other_appends) / days, stats.mean_gap,
              stats.max_gap);
  std::fflush(stdout);
}

std::vector<SnapshotScenario> MakeScenarios(size_t processes) {
  SnapshotScenario calm{"calm", processes};
  SnapshotScenario churn{"restarts and pauses", processes};
  churn.restarts_per_day = 0.15;
  churn.pauses_per_day = 1;
  SnapshotScenario partitioned{"a fifth cut off", processes};
  partitioned.partitioned_fraction = 0.2;
  SnapshotScenario outages{"outages of 30 min", processes};
  outages.outage_period = 6 * 3600;
  outages.outage = 1800;
  return {calm, churn, partitioned, outages};
}

int Main() {
  std::printf(
      "| way | processes | world | snapshots a day | of them doubled | other "
      "appends a day | mean gap s | worst gap s |\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (const size_t processes : {size_t{20}, size_t{200}, kMaxProcesses}) {
    for (const SnapshotScenario& scenario : MakeScenarios(processes)) {
      PrintRow<JitteredTimer>(scenario);
      PrintRow<Rendezvous>(scenario);
      // Skipped in the largest fleet, where the claims alone would be millions
      // of deliveries.
      if (processes < kMaxProcesses) PrintRow<InductionByClaims>(scenario);
    }
  }
  return 0;
}

}  // namespace
}  // namespace peridotshelf::bench

int main() { return peridotshelf::bench::Main(); }
