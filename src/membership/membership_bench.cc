// Prints what gossip costs and how fast it is, by the number of members, in
// virtual time: bytes of payload a second for each member when all is quiet
// and with one death a second, and the time until a newer control version has
// been heard of by all.
#include <cstdio>

#include "membership/virtual_fleet.h"

namespace peridotshelf::membership {
namespace {

using std::chrono::seconds;

/// Mean payload bytes that one member sends and receives in a second.
double BytesPerSecond(VirtualFleet& fleet, size_t first, size_t members,
                      int64_t span_s) {
  size_t total = 0;
  for (size_t i = first; i < members; ++i) total += fleet.bytes(i);
  return static_cast<double>(total) / static_cast<double>(members - first) /
         static_cast<double>(span_s);
}

double QuietRate(size_t members) {
  constexpr int64_t kSpan = 20;
  VirtualFleet fleet(members);
  fleet.Run(seconds(3));
  fleet.ResetBytes();
  fleet.Run(seconds(kSpan));
  return BytesPerSecond(fleet, 0, members, kSpan);
}

double RateWithDeaths(size_t members) {
  constexpr size_t kDeaths = 10;
  VirtualFleet fleet(members);
  fleet.Run(seconds(3));
  fleet.ResetBytes();
  for (size_t i = 0; i < kDeaths; ++i) {
    fleet.SetStopped(i, true);
    fleet.Run(seconds(1));
  }
  return BytesPerSecond(fleet, kDeaths, members, kDeaths);
}

/// Seconds until all members have heard of a version that one holds, when each
/// that hears of it adopts it.
double SpreadTime(size_t members) {
  constexpr ControlVersion kNewest = 9;
  VirtualFleet fleet(members);
  fleet.Run(seconds(3));
  fleet.at(0).SetControlVersion(kNewest);
  auto all_heard = [&] {
    bool all = true;
    for (size_t i = 1; i < members; ++i) {
      const ControlVersion heard = fleet.at(i).newest_version();
      all = all && heard == kNewest;
      fleet.at(i).SetControlVersion(heard);
    }
    return all;
  };
  return std::chrono::duration<double>(fleet.RunUntil(all_heard, seconds(120)))
      .count();
}

void PrintTable() {
  std::printf(
      "| members | quiet, B/s | one death a second, B/s | version at all, s "
      "|\n|---|---|---|---|\n");
  for (size_t members : {20, 60, 200, 390, 990}) {
    std::printf("| %zu | %.0f | %.0f | %.2f |\n", members, QuietRate(members),
                RateWithDeaths(members), SpreadTime(members));
  }
}

}  // namespace
}  // namespace peridotshelf::membership

int main() {
  peridotshelf::membership::PrintTable();
  return 0;
}
