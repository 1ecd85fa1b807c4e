#include <chrono>
#include <set>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/base/idle_timer.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/base/request_deadline.h"
#include "peridotshelf/base/sharded_map.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf {
namespace {

using std::chrono::milliseconds;

class BudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BudgetTest);
  CPPUNIT_TEST(Remaining_AfterDeadline_IsZero);
  CPPUNIT_TEST(Remaining_BeforeDeadline_Shrinks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Remaining_AfterDeadline_IsZero() {
    ManualClock clock;
    RequestDeadline budget =
        RequestDeadline::FromRemaining(clock.Now(), milliseconds(10));
    clock.Advance(milliseconds(11));
    CPPUNIT_ASSERT(budget.Remaining(clock.Now()) == Duration::zero());
    CPPUNIT_ASSERT(budget.Expired(clock.Now()));
  }
  void Remaining_BeforeDeadline_Shrinks() {
    ManualClock clock;
    RequestDeadline budget =
        RequestDeadline::FromRemaining(clock.Now(), milliseconds(10));
    clock.Advance(milliseconds(4));
    CPPUNIT_ASSERT(budget.Remaining(clock.Now()) == milliseconds(6));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);

class ErrorCodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ErrorCodeTest);
  CPPUNIT_TEST(Name_OfEachCode_ParsesBack);
  CPPUNIT_TEST(Name_Unknown_IsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Name_OfEachCode_ParsesBack() {
    std::set<std::string_view> names;
    for (ErrorCode code : AllErrorCodes()) {
      CPPUNIT_ASSERT(ParseErrorCode(ToString(code)) == code);
      CPPUNIT_ASSERT(names.insert(ToString(code)).second);
    }
    CPPUNIT_ASSERT(AllErrorCodes().back() == ErrorCode::kInternal);
  }
  void Name_Unknown_IsRejected() {
    CPPUNIT_ASSERT(!ParseErrorCode("no_such_code").has_value());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ErrorCodeTest);

class IdleWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdleWatchTest);
  CPPUNIT_TEST(End_AtFirstIdleMoment_IsNotAllowed);
  CPPUNIT_TEST(End_AfterWorkReturned_WaitsAnew);
  CPPUNIT_TEST_SUITE_END();

 public:
  void End_AtFirstIdleMoment_IsNotAllowed() {
    ManualClock clock;
    IdleTimer watch{milliseconds(3000)};
    CPPUNIT_ASSERT(!watch.MayEnd(clock.Now(), 0));
    clock.Advance(milliseconds(2999));
    CPPUNIT_ASSERT(!watch.MayEnd(clock.Now(), 0));
    clock.Advance(milliseconds(1));
    CPPUNIT_ASSERT(watch.MayEnd(clock.Now(), 0));
  }
  void End_AfterWorkReturned_WaitsAnew() {
    ManualClock clock;
    IdleTimer watch{milliseconds(3000)};
    watch.MayEnd(clock.Now(), 0);
    clock.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(!watch.MayEnd(clock.Now(), 1));
    clock.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(!watch.MayEnd(clock.Now(), 0));
    clock.Advance(milliseconds(3000));
    CPPUNIT_ASSERT(watch.MayEnd(clock.Now(), 0));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(IdleWatchTest);

class ShardedMapTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardedMapTest);
  CPPUNIT_TEST(Insert_TakenKey_KeepsFirstValue);
  CPPUNIT_TEST(Take_Twice_SecondIsEmpty);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Insert_TakenKey_KeepsFirstValue() {
    ShardedMap<RequestId, int> map;
    CPPUNIT_ASSERT(map.Insert(RequestId("a"), 1));
    CPPUNIT_ASSERT(!map.Insert(RequestId("a"), 2));
    CPPUNIT_ASSERT(map.Find(RequestId("a")) == 1);
  }
  void Take_Twice_SecondIsEmpty() {
    ShardedMap<RequestId, int> map;
    map.Insert(RequestId("a"), 1);
    CPPUNIT_ASSERT(map.Take(RequestId("a")) == 1);
    CPPUNIT_ASSERT(!map.Take(RequestId("a")).has_value());
    CPPUNIT_ASSERT(map.Size() == 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ShardedMapTest);

}  // namespace
}  // namespace peridotshelf
