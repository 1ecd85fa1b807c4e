#include "peridotshelf/control/snapshot_schedule.h"

#include <functional>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// A fleet that shares the duty; each tick is one second.
struct DutyFleet {
  explicit DutyFleet(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      members.emplace_back("h" + std::to_string(i));
      duties.emplace_back(members.back());
    }
  }
  /// Ticks once; `can_append` says whose append reaches the log.
  void Tick(const std::function<bool(size_t)>& can_append) {
    const int64_t seen = snapshot_offset;
    for (size_t i = 0; i < duties.size(); ++i) {
      if (!duties[i].IsDue(applied_offset, seen, members, clock.Now()))
        continue;
      if (!can_append(i)) continue;
      snapshot_offset = ++applied_offset;
      appended_at.push_back(clock.Now());
    }
    clock.Advance(seconds(1));
  }
  void Run(Duration span, const std::function<bool(size_t)>& can_append) {
    const TimePoint end = clock.Now() + span;
    while (clock.Now() < end) Tick(can_append);
  }

  ManualClock clock;
  std::vector<HostId> members;
  std::vector<SnapshotSchedule> duties;
  int64_t applied_offset = 1;
  int64_t snapshot_offset = 0;
  std::vector<TimePoint> appended_at;
};

class SnapshotDutyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotDutyTest);
  CPPUNIT_TEST(Fleet_Calm_AppendsOncePerInterval);
  CPPUNIT_TEST(Fleet_FirstInTurnCutOff_NextOneAppends);
  CPPUNIT_TEST(Fleet_NobodyReachesLog_AppendsAfterOutage);
  CPPUNIT_TEST(Records_TooMany_AreCoveredEarly);
  CPPUNIT_TEST(Process_NotListed_StillAppendsAlone);
  CPPUNIT_TEST(State_Empty_IsNeverAppended);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Fleet_Calm_AppendsOncePerInterval() {
    DutyFleet fleet(40);
    fleet.Run(minutes(61), [](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(size_t{6}, fleet.appended_at.size());
  }
  void Fleet_FirstInTurnCutOff_NextOneAppends() {
    DutyFleet fleet(40);
    fleet.Run(minutes(120), [](size_t i) { return i >= 20; });
    CPPUNIT_ASSERT(fleet.appended_at.size() >= 10);
    TimePoint last = fleet.appended_at[0];
    for (const TimePoint at : fleet.appended_at) {
      CPPUNIT_ASSERT(at - last <= minutes(11));
      last = at;
    }
  }
  void Fleet_NobodyReachesLog_AppendsAfterOutage() {
    DutyFleet fleet(10);
    fleet.Run(minutes(30), [](size_t) { return false; });
    fleet.Run(minutes(2), [](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.appended_at.size());
  }
  void Records_TooMany_AreCoveredEarly() {
    DutyFleet fleet(10);
    fleet.Run(seconds(5), [](size_t) { return true; });
    fleet.applied_offset += 300;
    fleet.Run(seconds(60), [](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.appended_at.size());
  }
  void Process_NotListed_StillAppendsAlone() {
    DutyFleet fleet(1);
    fleet.members = {HostId("other"), HostId("another")};
    fleet.Run(minutes(11), [](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.appended_at.size());
  }
  void State_Empty_IsNeverAppended() {
    DutyFleet fleet(3);
    fleet.applied_offset = 0;
    fleet.Run(minutes(30), [](size_t) { return true; });
    CPPUNIT_ASSERT(fleet.appended_at.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotDutyTest);

}  // namespace
}  // namespace peridotshelf::control
