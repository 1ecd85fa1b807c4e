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

Allocation MakeHold(int number, int64_t tokens, SizeClass size_class) {
  Allocation hold;
  hold.attempt = {RequestId("r"), number};
  hold.owner = ProcessId("entry");
  hold.tokens = tokens;
  hold.size_class = size_class;
  return hold;
}

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(WhyNot_MediumBeyondItsPart_IsMemory);
  CPPUNIT_TEST(WhyNot_LongAloneAboveItsPart_IsNone);
  CPPUNIT_TEST(WhyNot_SecondLongPrefill_WaitsForTheFirstToken);
  CPPUNIT_TEST(WhyNot_ShortInReserve_IsNone);
  CPPUNIT_TEST(Adopt_BeyondCapacity_BlocksUntilReleased);
  CPPUNIT_TEST(Release_WhileCancelling_FreesOnlyThen);
  CPPUNIT_TEST(EstimateWait_MemoryTaken_IsTheEndThatFreesEnough);
  CPPUNIT_TEST(EstimateWait_WorkAhead_AddsItsDuration);
  CPPUNIT_TEST(WaitRecord_StartsLate_RaisesPredictions);
  CPPUNIT_TEST(Tombstones_SecondRecord_KeepsTheFirst);
  CPPUNIT_TEST_SUITE_END();

  Ledger m_ledger{{1000, 10}};
  ClassLimits m_limits{0.2, 1};

  void AddHold(int number, int64_t tokens, SizeClass size_class) {
    CPPUNIT_ASSERT(m_ledger.Reserve(MakeHold(number, tokens, size_class)));
    CPPUNIT_ASSERT(m_ledger.IsBalanced());
  }

 public:
  void WhyNot_MediumBeyondItsPart_IsMemory() {
    AddHold(1, 700, SizeClass::kMedium);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(100, SizeClass::kMedium, m_limits) ==
                   Obstacle::kNone);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(101, SizeClass::kMedium, m_limits) ==
                   Obstacle::kMemory);
  }
  void WhyNot_LongAloneAboveItsPart_IsNone() {
    CPPUNIT_ASSERT(m_ledger.FindObstacle(950, SizeClass::kLong, m_limits) ==
                   Obstacle::kNone);
  }
  void WhyNot_SecondLongPrefill_WaitsForTheFirstToken() {
    AddHold(1, 100, SizeClass::kLong);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(100, SizeClass::kLong, m_limits) ==
                   Obstacle::kPrefillLimit);
    m_ledger.EndPrefill({RequestId("r"), 1});
    CPPUNIT_ASSERT(m_ledger.FindObstacle(100, SizeClass::kLong, m_limits) ==
                   Obstacle::kNone);
  }
  void WhyNot_ShortInReserve_IsNone() {
    AddHold(1, 800, SizeClass::kMedium);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(200, SizeClass::kShort, m_limits) ==
                   Obstacle::kNone);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(201, SizeClass::kShort, m_limits) ==
                   Obstacle::kMemory);
  }
  void Adopt_BeyondCapacity_BlocksUntilReleased() {
    m_ledger.Adopt(MakeHold(1, 1500, SizeClass::kLong));
    CPPUNIT_ASSERT(m_ledger.free().tokens == -500);
    CPPUNIT_ASSERT(m_ledger.FindObstacle(1, SizeClass::kShort, m_limits) ==
                   Obstacle::kMemory);
    m_ledger.Release({RequestId("r"), 1});
    CPPUNIT_ASSERT(m_ledger.free() == m_ledger.capacity());
  }
  void Release_WhileCancelling_FreesOnlyThen() {
    AddHold(1, 400, SizeClass::kShort);
    m_ledger.BeginCancel({RequestId("r"), 1});
    CPPUNIT_ASSERT(m_ledger.free().tokens == 600);
    CPPUNIT_ASSERT(m_ledger.ExpiredAllocations(TimePoint::max()).empty());
    m_ledger.Release({RequestId("r"), 1});
    CPPUNIT_ASSERT(m_ledger.free().tokens == 1000);
  }
  void EstimateWait_MemoryTaken_IsTheEndThatFreesEnough() {
    const PlannedWork running[] = {{300, seconds(9)}, {300, seconds(4)}};
    CPPUNIT_ASSERT(EstimateWait(running, {}, 100, 5, 400) == seconds(4));
    CPPUNIT_ASSERT(EstimateWait(running, {}, 100, 5, 401) == seconds(9));
    CPPUNIT_ASSERT(EstimateWait(running, {}, 900, 0, 10) == seconds(4));
  }
  void EstimateWait_WorkAhead_AddsItsDuration() {
    const PlannedWork running[] = {{500, seconds(4)}};
    const PlannedWork ahead[] = {{500, seconds(3)}};
    CPPUNIT_ASSERT(EstimateWait(running, ahead, 0, 9, 500) == seconds(7));
  }
  void WaitRecord_StartsLate_RaisesPredictions() {
    WaitPredictionStats record;
    for (int i = 0; i < 50; ++i) {
      record.Add(record.Correct(seconds(1)), seconds(3));
    }
    CPPUNIT_ASSERT(record.Correct(seconds(1)) > milliseconds(2700));
    CPPUNIT_ASSERT(record.Correct(seconds(1)) < milliseconds(3300));
    CPPUNIT_ASSERT(record.count() == 50);
    CPPUNIT_ASSERT(record.late() > 0);
  }
  void Tombstones_SecondRecord_KeepsTheFirst() {
    const AttemptId attempt{RequestId("r"), 1};
    Tombstones tombstones{seconds(10)};
    const TimePoint now{seconds(100)};
    tombstones.Add(attempt, false, now);
    tombstones.Add(attempt, true, now);
    CPPUNIT_ASSERT(tombstones.Started(attempt) == false);
    tombstones.Expire(now + seconds(9));
    CPPUNIT_ASSERT(tombstones.size() == 1);
    tombstones.Expire(now + seconds(10));
    CPPUNIT_ASSERT(tombstones.size() == 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

}  // namespace
}  // namespace peridotshelf::ledger
