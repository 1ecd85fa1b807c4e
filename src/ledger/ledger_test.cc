#include "peridotshelf/ledger/ledger.h"

#include <chrono>

#include "peridotshelf/ledger/service_times.h"
#include "peridotshelf/ledger/tombstones.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::ledger {
namespace {

using policy::SizeClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

Allocation MakeAllocation(int number, int64_t tokens, SizeClass size_class) {
  Allocation allocation;
  allocation.attempt = {RequestId("r"), number};
  allocation.owner = ProcessId("entry");
  allocation.tokens = tokens;
  allocation.size_class = size_class;
  return allocation;
}

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(FindObstacle_MediumAboveUnreservedMemory_ReturnsMemory);
  CPPUNIT_TEST(FindObstacle_OnlyLongAboveUnreservedMemory_ReturnsNone);
  CPPUNIT_TEST(FindObstacle_SecondLongPrefill_ReturnsLimitUntilFirstToken);
  CPPUNIT_TEST(FindObstacle_ShortInReserve_ReturnsNone);
  CPPUNIT_TEST(Adopt_BeyondCapacity_BlocksUntilReleased);
  CPPUNIT_TEST(BeginCancel_BeforeRelease_KeepsMemory);
  CPPUNIT_TEST(EstimateWait_MemoryInUse_ReturnsWhenEnoughIsFree);
  CPPUNIT_TEST(EstimateWait_RequestAhead_AddsItsDuration);
  CPPUNIT_TEST(WaitPredictionStats_LateStarts_RaisePredictions);
  CPPUNIT_TEST(Tombstones_SecondRecord_KeepsFirst);
  CPPUNIT_TEST_SUITE_END();

  Ledger m_ledger{{1000, 10}};
  ClassLimits m_limits{0.2, 1};

  void AddAllocation(int number, int64_t tokens, SizeClass size_class) {
    CPPUNIT_ASSERT(
        m_ledger.Reserve(MakeAllocation(number, tokens, size_class)));
    CPPUNIT_ASSERT(m_ledger.IsBalanced());
  }

 public:
  void FindObstacle_MediumAboveUnreservedMemory_ReturnsMemory() {
    AddAllocation(1, 700, SizeClass::kMedium);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(100, SizeClass::kMedium, m_limits) ==
                   Obstacle::kNone);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(101, SizeClass::kMedium, m_limits) ==
                   Obstacle::kMemory);
  }
  void FindObstacle_OnlyLongAboveUnreservedMemory_ReturnsNone() {
    CPPUNIT_ASSERT(m_ledger.FindObstacle(950, SizeClass::kLong, m_limits) ==
                   Obstacle::kNone);
  }
  void FindObstacle_SecondLongPrefill_ReturnsLimitUntilFirstToken() {
    AddAllocation(1, 100, SizeClass::kLong);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(100, SizeClass::kLong, m_limits) ==
                   Obstacle::kPrefillLimit);
    m_ledger.EndPrefill({RequestId("r"), 1});
    CPPUNIT_ASSERT(m_ledger.FindObstacle(100, SizeClass::kLong, m_limits) ==
                   Obstacle::kNone);
  }
  void FindObstacle_ShortInReserve_ReturnsNone() {
    AddAllocation(1, 800, SizeClass::kMedium);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(200, SizeClass::kShort, m_limits) ==
                   Obstacle::kNone);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(201, SizeClass::kShort, m_limits) ==
                   Obstacle::kMemory);
  }
  void Adopt_BeyondCapacity_BlocksUntilReleased() {
    m_ledger.Adopt(MakeAllocation(1, 1500, SizeClass::kLong));
    CPPUNIT_ASSERT(m_ledger.free().tokens == -500);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(1, SizeClass::kShort, m_limits) ==
                   Obstacle::kMemory);
    m_ledger.Release({RequestId("r"), 1});
    CPPUNIT_ASSERT(m_ledger.free() == m_ledger.capacity());
  }
  void BeginCancel_BeforeRelease_KeepsMemory() {
    AddAllocation(1, 400, SizeClass::kShort);
    m_ledger.BeginCancel({RequestId("r"), 1});
    CPPUNIT_ASSERT(m_ledger.free().tokens == 600);
    CPPUNIT_ASSERT(m_ledger.ExpiredAllocations(TimePoint::max()).empty());
    m_ledger.Release({RequestId("r"), 1});
    CPPUNIT_ASSERT(m_ledger.free().tokens == 1000);
  }
  void EstimateWait_MemoryInUse_ReturnsWhenEnoughIsFree() {
    const PlannedRequest running[] = {{300, seconds(9)}, {300, seconds(4)}};
    CPPUNIT_ASSERT(EstimateWait(running, {}, 100, 5, 400) == seconds(4));
    CPPUNIT_ASSERT(EstimateWait(running, {}, 100, 5, 401) == seconds(9));
    CPPUNIT_ASSERT(EstimateWait(running, {}, 900, 0, 10) == seconds(4));
  }
  void EstimateWait_RequestAhead_AddsItsDuration() {
    const PlannedRequest running[] = {{500, seconds(4)}};
    const PlannedRequest ahead[] = {{500, seconds(3)}};
    CPPUNIT_ASSERT(EstimateWait(running, ahead, 0, 9, 500) == seconds(7));
  }
  void WaitPredictionStats_LateStarts_RaisePredictions() {
    WaitPredictionStats stats;
    for (int i = 0; i < 50; ++i) {
      stats.Add(stats.ApplyCorrection(seconds(1)), seconds(3));
    }
    CPPUNIT_ASSERT(stats.ApplyCorrection(seconds(1)) > milliseconds(2700));
    CPPUNIT_ASSERT(stats.ApplyCorrection(seconds(1)) < milliseconds(3300));
    CPPUNIT_ASSERT(stats.count() == 50);
    CPPUNIT_ASSERT(stats.late_starts() > 0);
  }
  void Tombstones_SecondRecord_KeepsFirst() {
    const AttemptId attempt{RequestId("r"), 1};
    Tombstones tombstones{seconds(10)};
    const TimePoint now{seconds(100)};
    tombstones.Add(attempt, false, now);
    tombstones.Add(attempt, true, now);
    CPPUNIT_ASSERT(tombstones.HasStarted(attempt) == false);
    tombstones.Expire(now + seconds(9));
    CPPUNIT_ASSERT(tombstones.size() == 1);
    tombstones.Expire(now + seconds(10));
    CPPUNIT_ASSERT(tombstones.size() == 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

}  // namespace
}  // namespace peridotshelf::ledger
