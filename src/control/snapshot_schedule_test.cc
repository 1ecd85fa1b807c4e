#include "peridotshelf/control/snapshot_schedule.h"

#include <functional>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Processes that take turns to append snapshots; each tick is one second.
struct Fleet {
  explicit Fleet(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      members.emplace_back("h" + std::to_string(i));
      schedules.emplace_back(members.back());
    }
  }
  /// Ticks once. `can_append` returns whether the append of a process succeeds.
  void Tick(const std::function<bool(size_t)>& can_append) {
    const int64_t seen_offset = snapshot_offset;
    for (size_t i = 0; i < schedules.size(); ++i) {
      if (!schedules[i].IsDue(applied_offset, seen_offset, members,
                              clock.Now()))
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
  std::vector<SnapshotSchedule> schedules;
  int64_t applied_offset = 1;
  int64_t snapshot_offset = 0;
  std::vector<TimePoint> appended_at;
};

class SnapshotScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotScheduleTest);
  CPPUNIT_TEST(Fleet_LogReachable_AppendsOncePerInterval);
  CPPUNIT_TEST(Fleet_FirstMembersCutOff_NextMemberAppends);
  CPPUNIT_TEST(Fleet_LogUnreachable_AppendsAfterOutage);
  CPPUNIT_TEST(Records_AboveLimit_TriggerEarlySnapshot);
  CPPUNIT_TEST(Process_NotInMemberList_StillAppends);
  CPPUNIT_TEST(State_Empty_IsNeverAppended);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Fleet_LogReachable_AppendsOncePerInterval() {
    Fleet fleet(40);
    fleet.Run(minutes(61), [](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(size_t{6}, fleet.appended_at.size());
  }
  void Fleet_FirstMembersCutOff_NextMemberAppends() {
    Fleet fleet(40);
    fleet.Run(minutes(120), [](size_t i) { return i >= 20; });
    CPPUNIT_ASSERT(fleet.appended_at.size() >= 10);
    TimePoint last = fleet.appended_at[0];
    for (const TimePoint at : fleet.appended_at) {
      CPPUNIT_ASSERT(at - last <= minutes(11));
      last = at;
    }
  }
  void Fleet_LogUnreachable_AppendsAfterOutage() {
    Fleet fleet(10);
    fleet.Run(minutes(30), [](size_t) { return false; });
    fleet.Run(minutes(2), [](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.appended_at.size());
  }
  void Records_AboveLimit_TriggerEarlySnapshot() {
    Fleet fleet(10);
    fleet.Run(seconds(5), [](size_t) { return true; });
    fleet.applied_offset += 300;
    fleet.Run(seconds(60), [](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.appended_at.size());
  }
  void Process_NotInMemberList_StillAppends() {
    Fleet fleet(1);
    fleet.members = {HostId("other"), HostId("another")};
    fleet.Run(minutes(11), [](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.appended_at.size());
  }
  void State_Empty_IsNeverAppended() {
    Fleet fleet(3);
    fleet.applied_offset = 0;
    fleet.Run(minutes(30), [](size_t) { return true; });
    CPPUNIT_ASSERT(fleet.appended_at.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotScheduleTest);

}  // namespace
}  // namespace peridotshelf::control
