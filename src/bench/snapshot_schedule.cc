// Compares ways of sharing the duty to append snapshots, in virtual time.
#include <cmath>
#include <cstdio>

#include "bench/snapshot_schedule_sim.h"

namespace peridotshelf::bench {
namespace {

constexpr size_t kLargestFleet = 990;

template <class Way>
void Report(const SnapshotWorld& world) {
  const SnapshotTally tally = SnapshotFleet<Way>(world).Run();
  const double day = world.hours / 24;
  std::printf("| %.*s | %zu | %.*s | %.1f | %.1f | %.0f | %.0f | %.0f |\n",
              static_cast<int>(Way::kName.size()), Way::kName.data(),
              world.processes, static_cast<int>(world.name.size()),
              world.name.data(), static_cast<double>(tally.snapshots) / day,
              static_cast<double>(tally.doubled) / day,
              static_cast<double>(tally.other_appends) / day, tally.mean_gap,
              tally.worst_gap);
  std::fflush(stdout);
}

std::vector<SnapshotWorld> Worlds(size_t processes) {
  SnapshotWorld calm{"calm", processes};
  SnapshotWorld churn{"restarts and pauses", processes};
  churn.restarts_per_day = 0.15;
  churn.pauses_per_day = 1;
  SnapshotWorld cut{"a fifth cut off", processes};
  cut.cut_off = 0.2;
  SnapshotWorld outages{"outages of 30 min", processes};
  outages.outage_period = 6 * 3600;
  outages.outage = 1800;
  return {calm, churn, cut, outages};
}

int Main() {
  std::printf(
      "| way | processes | world | snapshots a day | of them doubled | other "
      "appends a day | mean gap s | worst gap s |\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (const size_t processes : {size_t{20}, size_t{200}, kLargestFleet}) {
    for (const SnapshotWorld& world : Worlds(processes)) {
      Report<JitteredTimer>(world);
      Report<Rendezvous>(world);
      // Its claims alone are millions of deliveries in the largest fleet.
      if (processes < kLargestFleet) Report<InductionByClaims>(world);
    }
  }
  return 0;
}

}  // namespace
}  // namespace peridotshelf::bench

int main() { return peridotshelf::bench::Main(); }
