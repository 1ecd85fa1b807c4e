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

class RequestDeadlineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestDeadlineTest);
  CPPUNIT_TEST(Remaining_AfterDeadline_IsZero);
  CPPUNIT_TEST(Remaining_BeforeDeadline_Decreases);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Remaining_AfterDeadline_IsZero() {
    ManualClock clock;
    RequestDeadline deadline =
        RequestDeadline::FromRemaining(clock.Now(), milliseconds(10));
    clock.Advance(milliseconds(11));
    CPPUNIT_ASSERT(deadline.Remaining(clock.Now()) == Duration::zero());
    CPPUNIT_ASSERT(deadline.Expired(clock.Now()));
  }
  void Remaining_BeforeDeadline_Decreases() {
    ManualClock clock;
    RequestDeadline deadline =
        RequestDeadline::FromRemaining(clock.Now(), milliseconds(10));
    clock.Advance(milliseconds(4));
    CPPUNIT_ASSERT(deadline.Remaining(clock.Now()) == milliseconds(6));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestDeadlineTest);

class ErrorCodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ErrorCodeTest);
  CPPUNIT_TEST(ParseErrorCode_NameOfEachCode_ReturnsCode);
  CPPUNIT_TEST(ParseErrorCode_UnknownName_ReturnsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParseErrorCode_NameOfEachCode_ReturnsCode() {
    std::set<std::string_view> names;
    for (ErrorCode code : AllErrorCodes()) {
      CPPUNIT_ASSERT(ParseErrorCode(ToString(code)) == code);
      CPPUNIT_ASSERT(names.insert(ToString(code)).second);
    }
    CPPUNIT_ASSERT(AllErrorCodes().back() == ErrorCode::kInternal);
  }
  void ParseErrorCode_UnknownName_ReturnsNothing() {
    CPPUNIT_ASSERT(!ParseErrorCode("no_such_code").has_value());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ErrorCodeTest);

class IdleTimerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdleTimerTest);
  CPPUNIT_TEST(MayEnd_IdlePeriodNotOver_IsFalse);
  CPPUNIT_TEST(MayEnd_AfterNewWork_RestartsIdlePeriod);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MayEnd_IdlePeriodNotOver_IsFalse() {
    ManualClock clock;
    IdleTimer timer{milliseconds(3000)};
    CPPUNIT_ASSERT(!timer.HasElapsed(clock.Now(), 0));
    clock.Advance(milliseconds(2999));
    CPPUNIT_ASSERT(!timer.HasElapsed(clock.Now(), 0));
    clock.Advance(milliseconds(1));
    CPPUNIT_ASSERT(timer.HasElapsed(clock.Now(), 0));
  }
  void MayEnd_AfterNewWork_RestartsIdlePeriod() {
    ManualClock clock;
    IdleTimer timer{milliseconds(3000)};
    timer.HasElapsed(clock.Now(), 0);
    clock.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(!timer.HasElapsed(clock.Now(), 1));
    clock.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(!timer.HasElapsed(clock.Now(), 0));
    clock.Advance(milliseconds(3000));
    CPPUNIT_ASSERT(timer.HasElapsed(clock.Now(), 0));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(IdleTimerTest);

class ShardedMapTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardedMapTest);
  CPPUNIT_TEST(Insert_ExistingKey_KeepsFirstValue);
  CPPUNIT_TEST(Take_Twice_SecondReturnsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Insert_ExistingKey_KeepsFirstValue() {
    ShardedMap<RequestId, int> map;
    CPPUNIT_ASSERT(map.Insert(RequestId("a"), 1));
    CPPUNIT_ASSERT(!map.Insert(RequestId("a"), 2));
    CPPUNIT_ASSERT(map.Find(RequestId("a")) == 1);
  }
  void Take_Twice_SecondReturnsNothing() {
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
